package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that crashes runners three times more after a configuration has passed its key on to another tenant, also after the
// loss of all routers.
func TestRequestStaysQuarantinedAfterItsKeyIsPassedOn(t *testing.T) {
	for name, isLost := range map[string]bool{"calm": false, "loss of all routers": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPoisonedFleet(t, 10, false)
			p.configureHolders(2, keyHolders{"tenant-one": {validKey}, "tenant-two": {foreignKey}})
			p.startRouters(2)
			p.crashRunners(3)
			for _, r := range p.routers {
				r.waitForLog("content is not sent any more")
			}
			p.configureHolders(3, keyHolders{"tenant-one": {secondKey}, "tenant-two": {foreignKey, validKey}}, p.routers...)
			if isLost {
				p.expectStoredCrashes(3)
				for _, r := range p.routers {
					r.Kill()
				}
				p.routers = nil
				p.startRouters(2)
				for _, r := range p.routers {
					p.g.Eventually(func() int { return len(r.Status().Quarantined) }, 3*time.Second, 10*time.Millisecond).Should(Equal(1))
				}
			}
			for i := range 4 {
				p.g.Expect(p.routers[i%2].call("/once/x", withBody(poisonBody)).status).To(Equal(http.StatusServiceUnavailable))
			}
			crashes, _ := p.crashCount()
			p.g.Expect(crashes).To(Equal(3))
			p.g.Expect(p.routers[0].call("/once/x", withBody("another body")).status).To(Equal(http.StatusOK))
		})
	}
}
