package integrity

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformedHead means that the head of a response is not certain to tell how its body is framed.
var ErrMalformedHead = errors.New("integrity: malformed response head")

// minStatus is the lowest status code.
const minStatus = 100

// CheckHead returns an error that wraps ErrMalformedHead if the raw head has a form that package net/http accepts, but in which a
// field for the framing may be disregarded. The body would then seem to end with its connection.
func CheckHead(response *http.Response, head []byte) error {
	if response.StatusCode < minStatus {
		return fmt.Errorf("%w: status %d", ErrMalformedHead, response.StatusCode)
	}
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(fields) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(name, " \t"):
			// White space before the colon, or a line that continues the previous one.
			return fmt.Errorf("%w: white space in the name of a field", ErrMalformedHead)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")) && !response.ProtoAtLeast(1, 1):
			return fmt.Errorf("%w: transfer encoding in %s", ErrMalformedHead, response.Proto)
		}
	}
	return nil
}
