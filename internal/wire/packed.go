package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"
)

// Sizes of packed changes.
const (
	// packFrom is the size in bytes from which changes are compressed.
	packFrom = 4 << 10
	// maxUnpacked bounds what a packed message may unpack to, in bytes.
	maxUnpacked = 64 << 20
)

// PackCopyDelta encodes changes of one kind, compressed if they are large.
func PackCopyDelta(kind uint32, delta *ConfigDelta) (*CopyDelta, error) {
	if proto.Size(delta) < packFrom {
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

// UnpackCopyDelta returns the changes in the message.
func UnpackCopyDelta(message *CopyDelta) (*ConfigDelta, error) {
	if len(message.GetPacked()) == 0 {
		return message.GetDelta(), nil
	}
	reader := flate.NewReader(bytes.NewReader(message.GetPacked()))
	encoded, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxUnpacked {
		return nil, ErrFrameTooLarge
	}
	delta := &ConfigDelta{}
	return delta, proto.Unmarshal(encoded, delta)
}
