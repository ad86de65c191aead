package gateway_test

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/platform"
)

// dialTimeouts lets the first dial to an address time out once it is armed.
type dialTimeouts struct {
	address  atomic.Pointer[string]
	timeouts atomic.Int64
}

func (d *dialTimeouts) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if armed := d.address.Load(); armed != nil && *armed == address && d.timeouts.CompareAndSwap(0, 1) {
		timeout, cancel := context.WithTimeout(ctx, httpconn.DefaultDialTimeout)
		defer cancel()
		<-timeout.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: timeout.Err()}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// Guards against a limited runner that gets no request for a quarter of a minute, and thus never tells its
// limit, because one connection to it timed out on a busy machine.
func TestRunnerUnreachableOnceGetsRequestsAgain(t *testing.T) {
	t.Parallel()
	const backAfter = 3 * time.Second
	f := &signalFleet{fleet: newFleet(t)}
	dials := &dialTimeouts{}
	f.dial = dials.dial
	f.configure(1, defaultRoutes(), validKey)
	for _, id := range []string{"e0", "e1", "e2", "e3", "e4", "e5"} {
		f.engines = append(f.engines, f.runner(id, "engines"))
	}
	f.routers = []*router{f.servingRouter("alone", nil)}
	for _, engine := range f.engines {
		f.routers[0].waitForLog(`"runner":"` + engine.ID + `"`)
	}
	f.sendLoad(f.routers, time.Second)
	limited := f.busiest(1)
	announce(limited, platform.HeaderServerLimit, strconv.Itoa(runnerLimit))
	dials.address.Store(&limited[0].Address)
	limited[0].CloseIdleConnections()
	announcedAt := time.Now()
	got := f.sendLoad(f.routers, backAfter+limitWindow)
	f.g.Expect(dials.timeouts.Load()).To(Equal(int64(1)), "the fault was injected")
	f.g.Expect(got.succeeded).To(Equal(got.sent))
	f.g.Expect(arrivalsAfter(limited[0], announcedAt.Add(backAfter))).To(BeNumerically(">", 0))
}
