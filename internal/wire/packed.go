package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"
)

// Sizes of encoded configuration deltas, in bytes.
const (
	// compressionThreshold is the minimum size of a delta that is compressed.
	compressionThreshold = 4 << 10
	// maxDecompressedBytes bounds the size of a decompressed delta.
	maxDecompressedBytes = 64 << 20
)

// PackCopyDelta returns the message for a delta of one kind of objects. A delta of at least
// compressionThreshold bytes is compressed with DEFLATE.
func PackCopyDelta(kind uint32, delta *ConfigDelta) (*CopyDelta, error) {
	if proto.Size(delta) < compressionThreshold {
		return &CopyDelta{Kind: kind, Delta: delta}, nil
	}
	encoded, err := proto.Marshal(delta)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return &CopyDelta{Kind: kind, Packed: packed.Bytes()}, nil
}

// UnpackCopyDelta returns the delta in the message. It returns ErrFrameTooLarge if the delta
// decompresses to more than maxDecompressedBytes.
func UnpackCopyDelta(message *CopyDelta) (*ConfigDelta, error) {
	if len(message.GetPacked()) == 0 {
		return message.GetDelta(), nil
	}
	reader := flate.NewReader(bytes.NewReader(message.GetPacked()))
	encoded, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxDecompressedBytes {
		return nil, ErrFrameTooLarge
	}
	delta := &ConfigDelta{}
	return delta, proto.Unmarshal(encoded, delta)
}
