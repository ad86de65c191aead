package gateway

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Guards against records that are never sent again to a receiver that left the list and came back while a delivery to it was under way.
func TestRecordsAreSentAgainToAReceiverThatCameBack(t *testing.T) {
	g := NewWithT(t)
	b := newBroadcaster(&Gateway{ports: Ports{Clock: clock.New()}}, func(time.Time, []string) *wire.Envelope { return nil })
	b.due([]string{"a"}, map[string]bool{"first": true})
	b.due(nil, nil)
	b.due([]string{"a"}, map[string]bool{"second": true})
	lost := errors.New("no reply")
	b.endDelivery("a", map[string]bool{"first": true}, lost)
	b.endDelivery("a", map[string]bool{"second": true}, lost)
	_, waits := b.retryDelay()
	g.Expect(waits).To(BeTrue())
}
