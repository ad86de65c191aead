package jsonsplit

import "unicode/utf8"

// MaxReasonBytes bounds the reason why a part is not used. Errors of decoders repeat parts of the text.
const MaxReasonBytes = 200

// Reason returns the text of an error for logs.
func Reason(err error) string {
	text := err.Error()
	if len(text) <= MaxReasonBytes {
		return text
	}
	return Truncate(text, MaxReasonBytes) + "..."
}

// Truncate returns at most the given number of bytes of the text, without a part of a character.
func Truncate(text string, size int) string {
	for size > 0 && !utf8.RuneStart(text[size]) {
		size--
	}
	return text[:size]
}
