package engineapi

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
)

// ErrMalformedFrame means that an output stream contains a malformed frame, or a line
// longer than maxLineBytes.
var ErrMalformedFrame = errors.New("malformed frame on the engine's stream")

// maxLineBytes is the maximum length of one line of a stream, and of the body of a
// refusal.
const maxLineBytes = 1 << 20

// Frame is one server-sent event of an output stream. Its byte slices are
// valid until the next read.
type Frame struct {
	// Event is "" for output, else EventStart or EventEnd.
	Event string
	// Request and Attempt identify the attempt that the frame belongs to.
	Request []byte
	Attempt uint32
	// Offset is the position of the frame's first output token in the whole output.
	Offset int
	// Count is the number of output tokens in the frame.
	Count int
	// Data is the event's undecoded data.
	Data []byte
}

// FrameReader reads the frames of an output stream without decoding their data.
type FrameReader struct {
	reader *bufio.Reader
	// id and data are buffers for the current frame.
	id   []byte
	data []byte
}

// NewFrameReader returns a FrameReader that reads from reader.
func NewFrameReader(reader *bufio.Reader) *FrameReader { return &FrameReader{reader: reader} }

// Buffered reports whether at least a part of the next frame has been received, so
// that the caller can write several frames at once.
func (f *FrameReader) Buffered() bool { return f.reader.Buffered() > 0 }

// Next reads the next frame into frame. It returns ErrMalformedFrame or the error of
// the underlying reader.
func (f *FrameReader) Next(frame *Frame) error {
	*frame = Frame{}
	f.data = f.data[:0]
	hasLines := false
	for {
		line, err := f.readLine()
		if err != nil {
			return err
		}
		switch {
		case len(line) == 0:
			if !hasLines {
				continue
			}
			frame.Data = f.data
			return parseID(f.id, frame)
		case bytes.HasPrefix(line, []byte("data: ")):
			f.data = append(f.data, line[len("data: "):]...)
			if len(f.data) > maxLineBytes {
				return ErrMalformedFrame
			}
		case bytes.HasPrefix(line, []byte("id: ")):
			f.id = append(f.id[:0], line[len("id: "):]...)
		case bytes.HasPrefix(line, []byte("event: ")):
			frame.Event = internEventName(line[len("event: "):])
		default:
			return ErrMalformedFrame
		}
		hasLines = true
	}
}

// internEventName returns the name as a string, without allocation for known names.
func internEventName(name []byte) string {
	switch string(name) {
	case EventStart:
		return EventStart
	case EventEnd:
		return EventEnd
	}
	return string(name)
}

// readLine returns the next line without its line ending. It is valid until the next
// read.
func (f *FrameReader) readLine() ([]byte, error) {
	line, err := f.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return f.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLongLine reads the rest of a line that exceeds the reader's buffer and returns
// the whole line.
func (f *FrameReader) readLongLine(prefix []byte) ([]byte, error) {
	line := append([]byte(nil), prefix...)
	for {
		rest, err := f.reader.ReadSlice('\n')
		line = append(line, rest...)
		if len(line) > maxLineBytes {
			return nil, ErrMalformedFrame
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// parseID parses an id of the form "request/attempt/offset/count" into frame. The
// request may contain slashes.
func parseID(id []byte, frame *Frame) error {
	rest := id
	count, rest, ok := cutTrailingNumber(rest)
	if !ok {
		return ErrMalformedFrame
	}
	offset, rest, ok := cutTrailingNumber(rest)
	if !ok {
		return ErrMalformedFrame
	}
	attempt, rest, ok := cutTrailingNumber(rest)
	if !ok || len(rest) == 0 {
		return ErrMalformedFrame
	}
	frame.Count, frame.Offset, frame.Attempt, frame.Request = count, offset, uint32(attempt), rest
	return nil
}

// cutTrailingNumber parses the decimal number after the last '/' of id and returns it
// with the part before the '/'. The number may have ten digits at most.
func cutTrailingNumber(id []byte) (number int, rest []byte, ok bool) {
	slash := bytes.LastIndexByte(id, '/')
	if slash < 0 || slash == len(id)-1 || len(id)-slash > 11 {
		return 0, nil, false
	}
	for _, digit := range id[slash+1:] {
		if digit < '0' || digit > '9' {
			return 0, nil, false
		}
		number = number*10 + int(digit-'0')
	}
	return number, id[:slash], true
}

// AppendFrame appends a frame in wire format to buffer and returns the result.
func AppendFrame(buffer []byte, event, request string, attempt uint32, offset, count int, data []byte) []byte {
	if event != "" {
		buffer = append(buffer, "event: "...)
		buffer = append(buffer, event...)
		buffer = append(buffer, '\n')
	}
	buffer = append(buffer, "id: "...)
	buffer = append(buffer, request...)
	for _, number := range []int{int(attempt), offset, count} {
		buffer = append(buffer, '/')
		buffer = strconv.AppendInt(buffer, int64(number), 10)
	}
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}
