package engineapi

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
)

// ErrFrame means that a stream holds a line that is not a frame.
var ErrFrame = errors.New("malformed frame on the engine's stream")

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// Frame is one server-sent event of an output stream. Its byte slices are
// valid until the next read.
type Frame struct {
	// Event is "" for output, else EventStart or EventEnd.
	Event string
	// Request and Attempt say what the frame belongs to; Offset is the first
	// output token in it and Count their number.
	Request []byte
	Attempt uint32
	Offset  int
	Count   int
	Data    []byte
}

// FrameReader reads frames without decoding their data.
type FrameReader struct {
	reader *bufio.Reader
	id     []byte
	data   []byte
}

// NewFrameReader returns a reader of frames.
func NewFrameReader(reader *bufio.Reader) *FrameReader { return &FrameReader{reader: reader} }

// Buffered tells whether a further frame has at least begun to arrive, so that
// the caller can write several frames at once.
func (f *FrameReader) Buffered() bool { return f.reader.Buffered() > 0 }

// Next reads one frame into frame.
func (f *FrameReader) Next(frame *Frame) error {
	*frame = Frame{}
	f.data = f.data[:0]
	seen := false
	for {
		line, err := f.readLine()
		if err != nil {
			return err
		}
		switch {
		case len(line) == 0:
			if !seen {
				continue
			}
			frame.Data = f.data
			return parseID(f.id, frame)
		case bytes.HasPrefix(line, []byte("data: ")):
			f.data = append(f.data, line[len("data: "):]...)
		case bytes.HasPrefix(line, []byte("id: ")):
			f.id = append(f.id[:0], line[len("id: "):]...)
		case bytes.HasPrefix(line, []byte("event: ")):
			frame.Event = eventName(line[len("event: "):])
		default:
			return ErrFrame
		}
		seen = true
	}
}

func eventName(name []byte) string {
	switch string(name) {
	case EventStart:
		return EventStart
	case EventEnd:
		return EventEnd
	}
	return string(name)
}

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

func (f *FrameReader) readLongLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		rest, err := f.reader.ReadSlice('\n')
		line = append(line, rest...)
		if len(line) > maxLineBytes {
			return nil, ErrFrame
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

// parseID reads "request/attempt/offset/count".
func parseID(id []byte, frame *Frame) error {
	rest := id
	count, rest, ok := cutNumber(rest)
	if !ok {
		return ErrFrame
	}
	offset, rest, ok := cutNumber(rest)
	if !ok {
		return ErrFrame
	}
	attempt, rest, ok := cutNumber(rest)
	if !ok || len(rest) == 0 {
		return ErrFrame
	}
	frame.Count, frame.Offset, frame.Attempt, frame.Request = count, offset, uint32(attempt), rest
	return nil
}

// cutNumber takes a decimal number behind the last '/' off the end of id.
func cutNumber(id []byte) (number int, rest []byte, ok bool) {
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

// AppendFrame appends a frame in wire form to buffer.
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
