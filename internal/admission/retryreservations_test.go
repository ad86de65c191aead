package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// bulkWithTicket returns a bulk request with the ticket.
func bulkWithTicket(ticket uint64) Request {
	request := bulk
	request.Ticket = ticket
	return request
}

// refuseMany refuses count requests at once and returns their retry times.
func refuseMany(shedder *LoadShedder, now time.Time, count int) []time.Duration {
	var retryTimes []time.Duration
	for i := range count {
		retryTimes = append(retryTimes, shedder.RecordDecision(now, bulkWithTicket(uint64(i+1)), 2*bulkTarget, true, 250*time.Millisecond))
	}
	return retryTimes
}

// admitMany admits the request 50 times per second for 30 seconds and returns the time at the end.
func admitMany(shedder *LoadShedder, request Request) time.Time {
	now := epoch
	for range 1500 {
		now = now.Add(20 * time.Millisecond)
		shedder.RecordDecision(now, request, 0, false, 0)
	}
	return now
}

func TestRetryTimesAreSpreadWithinCallerDeadlines(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := admitMany(shedder, bulk)
	retryTimes := refuseMany(shedder, now, 100)
	perInterval := map[time.Duration]int{}
	for _, after := range retryTimes {
		g.Expect(after).To(BeNumerically(">=", 250*time.Millisecond))
		g.Expect(after).To(BeNumerically("<=", bulk.TimeLeft/3), "a caller waits for at most a third of its remaining time")
		perInterval[after/(100*time.Millisecond)]++
	}
	for interval, callers := range perInterval {
		g.Expect(callers).To(BeNumerically("<=", 30), "callers that retry in the same 100 ms interval %d", interval)
	}
}

// The number of reservations corresponds to the rank's recent admission rate, and all reserved
// times leave enough time to answer within the latency target.
func TestReservationsFollowAdmissionRateOfRank(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := admitMany(shedder, bulk)
	refuseMany(shedder, now, 200)
	reservations := shedder.TakeReservations()
	g.Expect(float64(len(reservations))).To(BeNumerically("~", 50*reservedShare*(maxReservationShare*bulkTarget.Seconds()-0.25), 3))
	for _, reservation := range reservations {
		g.Expect(reservation.After).To(BeNumerically("<=", time.Duration(maxReservationShare*float64(bulkTarget))))
	}
	g.Expect(shedder.TakeReservations()).To(BeEmpty(), "each reservation is returned once")
}

func TestRetryAtReservedTimeKeepsFullBound(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := admitMany(shedder, bulk)
	after := refuseMany(shedder, now, 1)[0]
	retryTime := sendUrgent(shedder, now, after, 2*urgentTarget)
	g.Expect(tightestBound(shedder, retryTime, bulk, busyLoad)).To(BeNumerically("<", bulk.MaxQueue/4), "other requests of its rank have a tightened bound")
	limit := shedder.QueueLimit(retryTime, bulkWithTicket(1), busyLoad)
	g.Expect(limit.Returned).To(BeTrue())
	g.Expect(limit.MaxQueue).To(Equal(bulk.MaxQueue))
	g.Expect(shedder.QueueLimit(retryTime, bulkWithTicket(1), busyLoad).Returned).To(BeFalse(), "a reservation is redeemed once")
}

func TestReservationOfAnotherSchedulerIsRedeemed(t *testing.T) {
	g := NewWithT(t)
	first, second := newTestShedder(), newTestShedder()
	now := admitMany(first, bulk)
	after := refuseMany(first, now, 1)[0]
	for _, reservation := range first.TakeReservations() {
		second.AddReservation(now, reservation)
	}
	g.Expect(second.QueueLimit(now.Add(after), bulkWithTicket(1), busyLoad).Returned).To(BeTrue())
}

// A caller ignores its retry time and retries three times at once. It cannot redeem its
// reservation early and takes no further times from others.
func TestImmediateRetriesGainNothing(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := admitMany(shedder, bulk)
	first := refuseMany(shedder, now, 1)[0]
	for range 3 {
		now = now.Add(time.Millisecond)
		g.Expect(shedder.QueueLimit(now, bulkWithTicket(1), busyLoad).Returned).To(BeFalse())
		again := shedder.RecordDecision(now, bulkWithTicket(1), 2*bulkTarget, true, 250*time.Millisecond)
		g.Expect(again).To(BeNumerically("<=", first))
	}
	next := shedder.RecordDecision(now, bulkWithTicket(2), 2*bulkTarget, true, 250*time.Millisecond)
	g.Expect(next).To(BeNumerically("~", first, 40*time.Millisecond))
}

func TestRetryAfterFitsIntoRemainingTime(t *testing.T) {
	g := NewWithT(t)
	shedder := NewLoadShedder(rand.New(rand.NewPCG(1, 2)))
	impatient := bulkWithTicket(1)
	impatient.TimeLeft = 300 * time.Millisecond
	g.Expect(shedder.RecordDecision(epoch, impatient, bulkTarget, true, 250*time.Millisecond)).To(BeNumerically("<=", 100*time.Millisecond))
}
