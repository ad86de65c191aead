package wire

import (
	"bufio"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a machine that starts and first gets all the calls that timed out while it could not be
// reached, from each of many routers.
func TestCallsThatTimedOutAreNotWritten(t *testing.T) {
	g := NewWithT(t)
	local, remote := net.Pipe()
	defer remote.Close()
	queue, stop := make(chan queuedFrame, 3), make(chan struct{})
	frame := func(sequence uint64, expiresAt time.Time) queuedFrame {
		data, err := AppendFrame(nil, heartbeat(sequence))
		g.Expect(err).NotTo(HaveOccurred())
		return queuedFrame{data, expiresAt}
	}
	queue <- frame(1, time.Now().Add(-time.Second))
	queue <- frame(2, time.Now().Add(time.Minute))
	queue <- frame(3, time.Time{})
	go writeFrames(local, queue, stop)
	defer close(stop)
	reader := bufio.NewReader(remote)
	for _, want := range []uint64{2, 3} {
		envelope, err := ReadFrame(reader)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(envelope.GetHeartbeat().GetSequence()).To(Equal(want))
	}
}

// Guards against a machine without power whose return is noticed late, because a dial that began before it is
// waited for.
func TestDialTimeoutsBeginShort(t *testing.T) {
	g, first := NewWithT(t), newPeer(nil, "", newSilenceDetector(silenceTimeout), minDialTimeout)
	second := newPeer(nil, "", newSilenceDetector(silenceTimeout), first.nextDialTimeout())
	g.Expect(second.dialTimeout).To(Equal(2 * minDialTimeout))
	third := newPeer(nil, "", newSilenceDetector(silenceTimeout), second.nextDialTimeout())
	g.Expect(third.dialTimeout).To(Equal(maxDialTimeout))
	third.wasConnected.Store(true)
	g.Expect(third.nextDialTimeout()).To(Equal(minDialTimeout))
}
