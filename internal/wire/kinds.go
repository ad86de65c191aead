package wire

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxKindNumber bounds the field numbers of an envelope's bodies.
const maxKindNumber = 64

// bodies describes the kinds of messages that an envelope may hold.
var bodies = sync.OnceValue(func() protoreflect.OneofDescriptor {
	return (&Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")
})

// KindCount is the number and total size of the frames of one kind that were sent.
type KindCount struct {
	Kind          string
	Frames, Bytes uint64
}

// kindCounters counts the sent frames by the field number of their body.
type kindCounters [maxKindNumber]struct{ frames, bytes atomic.Uint64 }

func (k *kindCounters) add(envelope *Envelope, bytes int) {
	field := envelope.ProtoReflect().WhichOneof(bodies())
	if field == nil || field.Number() >= maxKindNumber {
		return
	}
	k[field.Number()].frames.Add(1)
	k[field.Number()].bytes.Add(uint64(bytes))
}

// SentByKind returns the counts of all kinds of messages that were sent.
func (c *Counters) SentByKind() (counts []KindCount) {
	for number := range protoreflect.FieldNumber(maxKindNumber) {
		field := bodies().Fields().ByNumber(number)
		if frames := c.kinds[number].frames.Load(); field != nil && frames > 0 {
			counts = append(counts, KindCount{Kind: string(field.Name()), Frames: frames, Bytes: c.kinds[number].bytes.Load()})
		}
	}
	return counts
}

// countSent counts a frame that was queued for sending.
func (c *Counters) countSent(envelope *Envelope, bytes int) {
	c.FramesSent.Add(1)
	c.BytesSent.Add(uint64(bytes))
	c.kinds.add(envelope, bytes)
}
