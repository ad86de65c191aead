// Package prompt renders chat messages into the single prompt text that engines complete and that
// is split into cache blocks.
package prompt

import "strings"

// Message is one chat message whose content is plain text.
type Message struct {
	Role string
	Text string
}

// Render concatenates the messages under role markers and ends with an opening assistant marker.
// Conversations that start with the same messages produce texts that start with the same bytes, so
// that they share cached blocks.
func Render(messages []Message) string {
	var rendered strings.Builder
	for _, message := range messages {
		rendered.WriteString("<|" + message.Role + "|>\n" + message.Text + "\n")
	}
	rendered.WriteString("<|assistant|>\n")
	return rendered.String()
}
