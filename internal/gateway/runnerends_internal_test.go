package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// A router answered nothing any more: one request began while the gateway's mutex was held,
// as it always is then, and waited for that of the runners' ends; another one, whose answer had
// broken off, held this one and waited for the first to look up its runner. Found by the
// soak, once in 25 runs of 30 s, a moment after a runner had ended.
func TestLookingIntoARunnersEndHoldsNoRequestUp(t *testing.T) {
	g := NewWithT(t)
	gateway := &Gateway{runners: backend.NewSet("z")}
	ends := newRunnerEnds(gateway)
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	go ends.check(backend.Runner{ID: "r1"})
	time.Sleep(50 * time.Millisecond)
	began := make(chan struct{})
	go func() {
		ends.begin(time.Now(), backend.Runner{ID: "r2"}, quarantine.ContentID{})
		close(began)
	}()
	g.Eventually(began, time.Second).Should(BeClosed())
}
