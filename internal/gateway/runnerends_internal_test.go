package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// Two requests deadlocked, after which the router answered nothing. A request begins with the
// gateway's mutex held, and waited for the mutex of the crash detector. Another one, whose response
// had broken off, held that mutex and waited for the gateway's to look up its runner. Found by a
// soak test, once in 25 runs of 30 s, just after a runner had crashed.
func TestLivenessCheckDoesNotBlockRequests(t *testing.T) {
	g := NewWithT(t)
	gateway := &Gateway{runners: backend.NewSet("z")}
	detector := newCrashDetector(gateway)
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	go detector.check(backend.Runner{ID: "r1"})
	time.Sleep(50 * time.Millisecond)
	began := make(chan struct{})
	go func() {
		detector.begin(&quarantine.Run{Runner: quarantine.Runner{ID: "r2"}})
		close(began)
	}()
	g.Eventually(began, time.Second).Should(BeClosed())
}
