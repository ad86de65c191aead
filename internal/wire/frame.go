package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// Frame layout: 4 bytes big-endian length of what follows, 1 byte protocol
// version, then the encoded Envelope.
const (
	// ProtocolVersion is the version byte of every frame.
	ProtocolVersion = 1
	// MaxFrameBytes bounds a frame after its length field. A full configuration
	// of 22,000 tenants is about 8 MB.
	MaxFrameBytes = 32 << 20

	lengthBytes = 4
)

// Errors of malformed frames. Each of them closes the connection it came on.
var (
	ErrFrameTooLarge  = errors.New("frame is longer than the limit")
	ErrFrameEmpty     = errors.New("frame has no version byte")
	ErrFrameVersion   = errors.New("frame has an unknown protocol version")
	ErrFrameMalformed = errors.New("frame does not hold an envelope")
)

// AppendFrame appends the envelope as one frame to buffer.
func AppendFrame(buffer []byte, envelope *Envelope) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0, ProtocolVersion)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, envelope)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	length := len(buffer) - start - lengthBytes
	if length > MaxFrameBytes {
		return nil, trace.Wrap(ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(length))
	return buffer, nil
}

// ReadFrame reads one frame. io.EOF means that the peer closed between frames;
// any other error means that the connection can no longer be used.
func ReadFrame(reader *bufio.Reader) (*Envelope, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 {
		return nil, ErrFrameEmpty
	}
	if length > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	payload, err := readPayload(reader, int(length))
	if err != nil {
		return nil, err
	}
	if payload[0] != ProtocolVersion {
		return nil, ErrFrameVersion
	}
	envelope := &Envelope{}
	if err := proto.Unmarshal(payload[1:], envelope); err != nil {
		return nil, ErrFrameMalformed
	}
	if envelope.GetBody() == nil {
		return nil, ErrFrameMalformed
	}
	return envelope, nil
}

// readPayload grows its buffer as bytes arrive, so that a false length field
// cannot make the process allocate what was never sent.
func readPayload(reader io.Reader, length int) ([]byte, error) {
	const step = 64 << 10
	payload := make([]byte, 0, min(length, step))
	for len(payload) < length {
		chunk := min(length-len(payload), step)
		start := len(payload)
		payload = append(payload, make([]byte, chunk)...)
		if _, err := io.ReadFull(reader, payload[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return payload, nil
}
