package hostile_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/endless"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// streamCrowd is the number of callers at a runner whose responses do not end. They read what they get.
const streamCrowd = 400

// Guards against routers that run out of memory under many responses at once whose heads, bodies or events do not end.
func TestResponsesWithoutEndStayWithinMemory(t *testing.T) {
	for _, kind := range append(endless.Heads, endless.Bodies(platform.HeaderResponseStamp+": bad\r\n"+platform.HeaderRequestID+": hostile\r\n")...) {
		t.Run(kind.Name, func(t *testing.T) {
			m := startMachine(t)
			bad, err := endless.Start(kind)
			m.g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(bad.Close)
			runner, err := runnerstand.Start(runnerstand.Config{ID: "bad", Service: "endless", Zone: "z", Incarnation: 1})
			m.g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(runner.Close)
			entry := runner.DirectoryEntry("ready")
			entry["address"] = bad.Address
			m.store.Put(platform.KindRunners, runner.ID, entry)
			m.crowd(streamCrowd, m.front, []byte(requestHead("/endless/x")+"Content-Length: 0\r\n\r\n"), nil)
			m.g.Eventually(bad.Calls, testTime).Should(BeNumerically(">", 0))
			m.crowd(streamCrowd, m.front, []byte(requestHead("/endless/x")+"Content-Length: 0\r\n\r\n"), nil)
			m.expectSound()
		})
	}
}
