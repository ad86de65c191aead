package wire

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against messages between routers that are taken for whole although their connection ended at any byte.
func TestFrameThatStopsAtAnyByteIsNotRead(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	frame, err := AppendFrame(nil, heartbeat(1))
	g.Expect(err).NotTo(HaveOccurred())
	frames := append(bytes.Clone(frame), frame...)
	for n := range len(frames) + 1 {
		reader := bufio.NewReader(bytes.NewReader(frames[:n]))
		for range n / len(frame) {
			_, err := ReadFrame(reader)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := ReadFrame(reader)
		if n%len(frame) == 0 {
			g.Expect(err).To(Equal(io.EOF))
			continue
		}
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "%d bytes", n)
	}
}
