package wire

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

func TestPackCopyDeltaRoundTrip(t *testing.T) {
	g := NewWithT(t)
	for _, objects := range []int{0, 1, 200} {
		delta := &ConfigDelta{FromRevision: 3, ThroughRevision: 9, Full: objects > 1}
		for range objects {
			delta.Objects = append(delta.Objects, &ConfigObject{Kind: "k", Name: "n", Version: 4, Spec: []byte(strings.Repeat("spec ", 20))})
		}
		message, err := PackCopyDelta(2, delta)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(message.GetPacked()) > 0).To(Equal(objects > 1))
		g.Expect(proto.Size(message)).To(BeNumerically("<", 4<<10))
		unpacked, err := UnpackCopyDelta(message)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(unpacked, delta)).To(BeTrue())
	}
}

func TestUnpackCopyDeltaRejectsCorruptData(t *testing.T) {
	g := NewWithT(t)
	for _, corrupt := range [][]byte{{1}, []byte("not compressed at all")} {
		_, err := UnpackCopyDelta(&CopyDelta{Packed: corrupt})
		g.Expect(err).To(HaveOccurred())
	}
}
