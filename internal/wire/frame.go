package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// A frame consists of a 4-byte big-endian length of the rest of the frame, a 1-byte protocol
// version and the encoded Envelope.
const (
	// ProtocolVersion is the version byte of every frame.
	ProtocolVersion = 1
	// MaxFrameBytes bounds a frame without its length field. A full configuration of 22,000
	// tenants takes about 8 MB.
	MaxFrameBytes = 32 << 20

	lengthFieldBytes = 4
)

// Errors of malformed frames. Each of them closes the connection on which the frame arrived.
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
	length := len(buffer) - start - lengthFieldBytes
	if length > MaxFrameBytes {
		return nil, trace.Wrap(ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(length))
	return buffer, nil
}

// ReadFrame reads one frame. It returns io.EOF if the peer closed the connection between two
// frames. After any other error the connection can no longer be used.
func ReadFrame(reader *bufio.Reader) (*Envelope, error) {
	var header [lengthFieldBytes]byte
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

// readPayload reads length bytes. It grows its buffer as bytes arrive, so that a false length
// field cannot make the process allocate memory for bytes that are never sent.
func readPayload(reader io.Reader, length int) ([]byte, error) {
	const maxChunkBytes = 64 << 10
	payload := make([]byte, 0, min(length, maxChunkBytes))
	for len(payload) < length {
		chunkBytes := min(length-len(payload), maxChunkBytes)
		start := len(payload)
		payload = append(payload, make([]byte, chunkBytes)...)
		if _, err := io.ReadFull(reader, payload[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return payload, nil
}
