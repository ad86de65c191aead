// Package prompt renders chat messages to the one text that engines complete
// and that cache blocks are made of.
package prompt

import "strings"

// Message is one chat message with its content as plain text.
type Message struct {
	Role string
	Text string
}

// Render joins messages so that equal leading messages give equal leading text.
func Render(messages []Message) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString("<|" + message.Role + "|>\n" + message.Text + "\n")
	}
	text.WriteString("<|assistant|>\n")
	return text.String()
}
