package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/distance"
)

var start = time.Unix(1_000, 0)

const testWindow = 8 * time.Second

// atMillis returns the time that is the given number of milliseconds after the start.
func atMillis(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// spendRepeatedly requests the amount every 10 ms in the given period, in milliseconds, and returns
// what was granted.
func spendRepeatedly(server *Server, from, until int, amount float64, limit Limit, shareCount int) float64 {
	granted := 0.0
	for at := from; at < until; at += 10 {
		if server.Spend(atMillis(at), "t", amount, limit, shareCount).Granted {
			granted += amount
		}
	}
	return granted
}

func TestShareGrantsItsRateAndAccruedBurst(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Window: testWindow, Rate: 3000, Burst: 3000}
	server := NewServer(start)
	granted := spendRepeatedly(server, 5000, 13000, 100, limit, 3)
	g.Expect(granted).To(BeNumerically("~", 8*1000+1000, 200), "a third of what accrues in eight seconds and of the burst")
}

// A tenant that requests more than its limit for a long time is granted what the window allows, its
// rate plus its burst once per window, and at a steady rate.
func TestServerGrantsMaxPerWindowAtSteadyRate(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 4000}
	spendRepeatedly(server, 0, 20000, 100, limit, 1)
	var seconds []float64
	for second := 20; second < 36; second++ {
		seconds = append(seconds, spendRepeatedly(server, second*1000, (second+1)*1000, 100, limit, 1))
	}
	total := 0.0
	for _, spent := range seconds[:8] {
		total += spent
	}
	g.Expect(total).To(BeNumerically("~", limit.MaxPerWindow(), 600))
	g.Expect(total).To(BeNumerically("<=", limit.MaxPerWindow()+100))
	g.Expect(seconds).To(HaveEach(BeNumerically("~", 1500, 500)))
}

func TestExhaustedForEndsWhenWindowHasCapacity(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(start)
	limit := Limit{Window: testWindow, Rate: 100, Burst: 10000}
	g.Expect(server.Spend(atMillis(200000), "t", 10800, limit, 1).Granted).To(BeTrue())
	refused := server.Spend(atMillis(200000), "t", 1, limit, 1)
	g.Expect(refused.Granted).To(BeFalse())
	g.Expect(refused.ExhaustedFor).To(BeNumerically("~", testWindow, 300*time.Millisecond))
	g.Expect(server.Spend(atMillis(200000).Add(refused.ExhaustedFor), "t", 1, limit, 1).Granted).To(BeTrue())
}

func TestRestartedServerDoesNotGrantBurstAgain(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Window: testWindow, Rate: 3000, Burst: 30000}
	before := spendRepeatedly(NewServer(start), 5000, 9000, 100, limit, 1)
	restarted := spendRepeatedly(NewServer(atMillis(9000)), 9000, 13000, 100, limit, 1)
	g.Expect(before + restarted).To(BeNumerically("<=", limit.MaxPerWindow()+200))
	g.Expect(restarted).To(BeNumerically("~", 4*3000, 200), "the base rate without burst")
}

// Guards against a tolerance that is used up more than once: a tenant that spends all it is granted
// stays within the tolerance over three restarts of its server in one window.
func TestRestartsWithinAWindowStayWithinTheTolerance(t *testing.T) {
	g := NewWithT(t)
	const tolerance, amount = 0.1, 100.0
	limit := Limit{Window: testWindow, Rate: 3000, Burst: 30000}
	granted := spendRepeatedly(NewServer(start), 5000, 7000, amount, limit, 1)
	for _, restartedAt := range []int{7000, 9000, 11000} {
		granted += spendRepeatedly(NewServerWithTolerance(atMillis(restartedAt), tolerance), restartedAt, restartedAt+2000, amount, limit, 1)
	}
	g.Expect(granted).To(BeNumerically("<=", limit.MaxPerWindow()*(1+tolerance)+4*amount))
}

// Guards against refusals of tenants below their limits after the loss of all servers. Callers that
// were held up for half a second retry within 30 ms, before the new buckets have accrued much.
func TestTenantsBelowTheirLimitAreServedAfterTheLossOfAllServers(t *testing.T) {
	const routers, tolerance, amount = 80, 0.1, 2000.0
	limit := Limit{Window: testWindow, Rate: 1_113_275, Burst: 1_113_275}
	s := newSimulation(routers, limit, 1)
	s.restartAll(atMillis(13500), tolerance)
	heldUp := int(0.6 * 0.5 * limit.Rate / amount)
	for i := range heldUp {
		s.request(atMillis(13600+i*30/heldUp), i%routers, amount, func() bool { return false })
	}
	if s.refusals > 0 {
		t.Fatalf("%d of %d requests refused", s.refusals, s.requests)
	}
}

func TestLowerLimitAppliesImmediatelyAndOlderRevisionIsIgnored(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(start)
	high, low := Limit{Window: testWindow, Rate: 10000, Burst: 10000, Revision: 5}, Limit{Window: testWindow, Rate: 1000, Burst: 1000, Revision: 6}
	spendRepeatedly(server, 5000, 6000, 100, high, 1)
	g.Expect(server.Spend(atMillis(6000), "t", 2000, low, 1).Granted).To(BeTrue(), "the rest of the burst")
	granted := spendRepeatedly(server, 6010, 8010, 100, high, 1)
	g.Expect(granted).To(BeNumerically("<=", 2*1000), "a router with the older configuration spends from the same share")
}

// A tenant sends large prompts besides small ones. 39,600 tokens is the size of the largest prompts
// of the catch-up service, 826 the size of its median question. A bucket that only grants requests
// which its level covers would never accrue enough for a large one.
func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(start)
	limit := Limit{Window: testWindow, Rate: 20000, Burst: 20000}
	large := 0
	for at := 5000; at < 15000; at += 10 {
		server.Spend(atMillis(at), "t", 826, limit, 1)
		if at%250 == 0 && server.Spend(atMillis(at), "t", 39600, limit, 1).Granted {
			large++
		}
	}
	g.Expect(large).To(BeNumerically(">=", 1))
}

func TestRetryAfterStaggersRefusedCallers(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 1000}
	g.Expect(server.Spend(atMillis(5000), "t", 2000, limit, 1).Granted).To(BeTrue())
	var delays []time.Duration
	for range 3 {
		refused := server.Spend(atMillis(5000), "t", 500, limit, 1)
		g.Expect(refused.Granted).To(BeFalse())
		g.Expect(refused.ExhaustedFor).To(BeNumerically("~", time.Second, time.Millisecond))
		delays = append(delays, refused.RetryAfter)
	}
	g.Expect(delays).To(HaveExactElements(
		BeNumerically("~", time.Second, time.Millisecond), BeNumerically("~", 1500*time.Millisecond, time.Millisecond),
		BeNumerically("~", 2*time.Second, time.Millisecond)))
	for _, delay := range delays {
		// One millisecond allows for rounding.
		g.Expect(server.Spend(atMillis(5000).Add(delay+time.Millisecond), "t", 500, limit, 1).Granted).To(BeTrue(), "a retry at the given time is granted")
	}
}

func TestRefundRestoresBucketLevel(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 1000}
	server.Spend(atMillis(5000), "t", 5000, limit, 1)
	server.Refund(atMillis(5000), "t", 5000)
	g.Expect(server.Spend(atMillis(5000), "t", 5000, limit, 1).Granted).To(BeTrue())
	server.Refund(atMillis(5001), "unknown", 5000)
	server.Refund(atMillis(5001), "t", -5000)
	g.Expect(server.Spend(atMillis(5001), "t", 1, limit, 1).Granted).To(BeFalse())
}

func TestServerDropsFullBuckets(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 1000}
	server.Spend(atMillis(5000), "t", 100, limit, 1)
	server.Spend(atMillis(5000), "overdrawn", 60000, limit, 1)
	server.Spend(atMillis(25000), "other", 1, limit, 1)
	g.Expect(server.TenantCount()).To(Equal(2), "the overdrawn tenant and the requesting one")
}

// newRequester returns a requester in zone z1 with the servers k1, k2 and k3.
func newRequester(self string) *Requester {
	requester := NewRequester(self, "z1", distance.New(distance.Config{}), rand.New(rand.NewPCG(1, 2)))
	requester.Servers().Set([]string{"k1", "k2", "k3"})
	return requester
}

func TestRefusalIsCachedBriefly(t *testing.T) {
	g := NewWithT(t)
	requester := newRequester("r")
	for _, server := range []string{"k1", "k2", "k3"} {
		requester.RecordRefusal(start, server, "t", Result{ExhaustedFor: time.Second, RetryAfter: 2 * time.Second})
	}
	order, retryAfter := requester.Order(start, "t")
	g.Expect(order).To(BeEmpty())
	g.Expect(retryAfter).To(Equal(2 * time.Second))
	order, _ = requester.Order(start, "other")
	g.Expect(order).To(HaveLen(3), "refusals do not apply to other tenants")
	order, _ = requester.Order(start.Add(maxRefusalValidity), "t")
	g.Expect(order).To(HaveLen(3))
}

// 13 of 79 routers cannot reach any server for 3.5 s, after which their configuration is no longer
// proven to be current, and one tenant requests seven times its limit everywhere. These are the
// proportions and the load of the deployment's specification.
func TestLocalDecisionsStayWithinRouterShare(t *testing.T) {
	g := NewWithT(t)
	const routers, partitioned, size = 79, 13, 9200.0
	limit := Limit{Window: testWindow, Rate: 139000, Burst: 139000}
	spentLocally := 0.0
	for i := range partitioned {
		requester := NewRequester("r", "z", distance.New(distance.Config{}), rand.New(rand.NewPCG(1, uint64(i))))
		for at := 0; at < 3000; at += 1000 {
			requester.RecordGrant(atMillis(at), "t", limit.Rate/routers)
			requester.RecordContact(atMillis(at))
		}
		for at := 3000; at < 6500; at += 100 {
			if requester.DecideLocally(atMillis(at), "t", size, limit, routers).Granted {
				spentLocally += size
			}
		}
	}
	fair := limit.Rate * 3.5 * partitioned / routers
	g.Expect(spentLocally).To(BeNumerically("<=", 1.5*fair))
	g.Expect(spentLocally).To(BeNumerically(">", 0.2*fair), "some requests are granted")
}

func TestLossOfAllServersDoesNotExceedLimit(t *testing.T) {
	g := NewWithT(t)
	const routers, size = 79, 9200.0
	limit := Limit{Window: testWindow, Rate: 53000, Burst: 69000}
	granted := 0.0
	for i := range routers {
		requester := NewRequester("r", "z", distance.New(distance.Config{}), rand.New(rand.NewPCG(3, uint64(i))))
		requester.RecordContact(atMillis(0))
		for at := 0; at < 8000; at += 200 {
			if requester.DecideLocally(atMillis(at), "t", size, limit, routers).Granted {
				granted += size
			}
		}
	}
	g.Expect(granted).To(BeNumerically("<=", limit.MaxPerWindow()))
}

// All machines restart and the quota servers are the last. For half a second 73 routers get the
// requests of a tenant at 40% of its limit without contact to a server. They grant about the half
// of the limit that local decisions may spend, each since its start.
func TestLocalDecisionsGrantShareFromStart(t *testing.T) {
	g := NewWithT(t)
	const routers, size, outage, starts = 73, 3000.0, 500, 20
	limit := Limit{Window: testWindow, Rate: 972000, Burst: 972000}
	granted, requested := 0.0, 0.0
	for seed := range uint64(starts) {
		random := rand.New(rand.NewPCG(5, seed))
		requesters := make([]*Requester, routers)
		for i := range requesters {
			requesters[i] = NewRequester("r", "z", distance.New(distance.Config{}), rand.New(rand.NewPCG(seed, uint64(i))))
			requesters[i].RecordContact(atMillis(0))
		}
		for at := 0.0; at < outage; at += random.ExpFloat64() * size / (0.4 * limit.Rate / 1000) {
			requested += size
			if requesters[random.IntN(routers)].DecideLocally(atMillis(int(at)), "t", size, limit, routers).Granted {
				granted += size
			}
		}
	}
	allowed := limit.Rate * localShareFraction * outage / 1000 * starts
	t.Logf("granted %.2f of the requested amount, %.2f of the allowed amount", granted/requested, granted/allowed)
	g.Expect(granted).To(BeNumerically("<=", allowed))
	g.Expect(granted).To(BeNumerically(">", requested/3))
}

// A request after a pause is granted at most the allowance of that pause, so that infrequent
// requests do not get the same allowance twice.
func TestLocalAllowanceIsNotGrantedTwice(t *testing.T) {
	g := NewWithT(t)
	const routers, size = 10, 1000.0
	limit := Limit{Window: testWindow, Rate: 4000, Burst: 40000}
	granted, runs, seconds := 0.0, 50, 60
	for seed := range runs {
		requester := NewRequester("r", "z", distance.New(distance.Config{}), rand.New(rand.NewPCG(9, uint64(seed))))
		requester.RecordContact(atMillis(0))
		for at := 100; at < seconds*1000; at += 2100 {
			if requester.DecideLocally(atMillis(at), "t", size, limit, routers).Granted {
				granted += size
			}
		}
	}
	g.Expect(granted).To(BeNumerically("<=", limit.Rate*localShareFraction/routers*float64(seconds*runs)))
}

// Servers that refuse a request report what they granted, so that the sum shows whether the whole
// limit would have allowed it.
func TestRefusalsReportSpentAmount(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 300, Burst: 300, Window: 8 * time.Second}
	first, second := NewServer(start.Add(-time.Minute)), NewServer(start.Add(-time.Minute))
	g.Expect(first.Spend(start, "t", 200, limit, 2).Granted).To(BeTrue())
	result := first.Spend(start, "t", 200, limit, 2)
	g.Expect(result.Granted).To(BeFalse())
	g.Expect(result.Spent).To(Equal(200.0))
	g.Expect(second.Spend(start, "t", 200, limit, 2).Spent).To(BeZero())
	g.Expect(limit.Allows(400, 200)).To(BeTrue())
	g.Expect(limit.Allows(2600, 200)).To(BeFalse())
}
