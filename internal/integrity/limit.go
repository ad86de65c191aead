package integrity

import (
	"errors"
	"io"
)

// ErrTooLong means that a message is longer than allowed.
var ErrTooLong = errors.New("integrity: the message is too long")

// LimitedReader bounds the bytes that are read between two calls of Reset, one for each message of a stream.
type LimitedReader struct {
	reader      io.Reader
	limit, left int64
}

// NewLimitedReader returns a reader of at most limit bytes until the first Reset.
func NewLimitedReader(reader io.Reader, limit int64) *LimitedReader {
	return &LimitedReader{reader: reader, limit: limit, left: limit}
}

// Reset begins a new message.
func (l *LimitedReader) Reset() { l.left = l.limit }

// Read implements io.Reader.
func (l *LimitedReader) Read(buffer []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.reader.Read(buffer[:min(int64(len(buffer)), l.left)])
	l.left -= int64(n)
	return n, err
}
