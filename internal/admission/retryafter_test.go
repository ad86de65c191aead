package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refuse records a refusal of the request and returns its retry time.
func refuse(shedder *LoadShedder, now time.Time, request Request, earliest time.Duration) time.Duration {
	return shedder.RecordDecision(now, request, 2*request.LatencyTarget, true, earliest)
}

// bulkRequest returns a bulk request with the ticket.
func bulkRequest(ticket uint64) Request {
	request := bulk
	request.Ticket = ticket
	return request
}

// Callers with a short, a long and an unknown remaining time are all given a usable retry time.
func TestRetryAfterIsWithinBounds(t *testing.T) {
	g := NewWithT(t)
	const earliest = 250 * time.Millisecond
	for _, left := range []time.Duration{0, time.Second, 5 * time.Second, 5 * time.Minute} {
		shedder := newTestShedder()
		for i := range 100 {
			request := bulkRequest(uint64(i + 1))
			request.TimeLeft = left
			g.Expect(refuse(shedder, epoch, request, earliest)).To(And(BeNumerically(">=", earliest), BeNumerically("<=", maxRetryAfter)), "time left %v", left)
		}
	}
}

// A caller that retries before its reserved time neither loses its reservation nor takes another
// one.
func TestEarlyRetryKeepsItsReservation(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	for i := range 300 {
		shedder.RecordDecision(epoch.Add(time.Duration(i)*10*time.Millisecond), bulk, 0, false, 0)
	}
	now := epoch.Add(3 * time.Second)
	first := refuse(shedder, now, bulkRequest(1), 250*time.Millisecond)
	for i := range 100 {
		refuse(shedder, now, bulkRequest(uint64(i+2)), 250*time.Millisecond)
	}
	g.Expect(refuse(shedder, now.Add(time.Millisecond), bulkRequest(1), 250*time.Millisecond)).To(Equal(first - time.Millisecond))
}

// Requests of a tenant above its fair share take no reservations from tenants within theirs.
func TestTenantAboveFairShareGetsNoReservation(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	excessive := bulkRequest(1)
	excessive.Excess = 4
	refuse(shedder, epoch, excessive, 250*time.Millisecond)
	g.Expect(shedder.TakeReservations()).To(BeEmpty())
	refuse(shedder, epoch, bulkRequest(2), 250*time.Millisecond)
	g.Expect(shedder.TakeReservations()).To(HaveLen(1))
}
