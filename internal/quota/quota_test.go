package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000, 0)

const testWindow = 8 * time.Second

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// spendAll asks for the amount each 10 ms until the moment and returns what was granted.
func spendAll(k *Keeper, from, until int, amount float64, limit Limit, parts int) float64 {
	granted := 0.0
	for at := from; at < until; at += 10 {
		if k.Ask(after(at), "t", amount, limit, parts).Granted {
			granted += amount
		}
	}
	return granted
}

func TestPartGrantsItsRateAndWhatWasSavedUp(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Window: testWindow, Rate: 3000, Burst: 3000}
	k := NewKeeper(start)
	granted := spendAll(k, 5000, 13000, 100, limit, 3)
	g.Expect(granted).To(BeNumerically("~", 8*1000+1000, 200), "a third of eight seconds and of the burst")
}

// A tenant that wants more than its limit for long gets what the window allows, its
// rate and its burst once a window, and gets it steadily.
func TestWhatTheWindowAllowsIsGrantedSteadily(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 4000}
	spendAll(k, 0, 20000, 100, limit, 1)
	var seconds []float64
	for second := 20; second < 36; second++ {
		seconds = append(seconds, spendAll(k, second*1000, (second+1)*1000, 100, limit, 1))
	}
	total := 0.0
	for _, spent := range seconds[:8] {
		total += spent
	}
	g.Expect(total).To(BeNumerically("~", limit.Most(), 600))
	g.Expect(total).To(BeNumerically("<=", limit.Most()+100))
	g.Expect(seconds).To(HaveEach(BeNumerically("~", 1500, 500)))
}

func TestRefusedCallerIsToldWhenTheWindowHasRoom(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(start)
	limit := Limit{Window: testWindow, Rate: 100, Burst: 10000}
	g.Expect(k.Ask(after(200000), "t", 10800, limit, 1).Granted).To(BeTrue())
	refused := k.Ask(after(200000), "t", 1, limit, 1)
	g.Expect(refused.Granted).To(BeFalse())
	g.Expect(refused.EmptyFor).To(BeNumerically("~", testWindow, 300*time.Millisecond))
	g.Expect(k.Ask(after(200000).Add(refused.EmptyFor), "t", 1, limit, 1).Granted).To(BeTrue())
}

func TestRestartedKeeperDoesNotGrantTheBurstAgain(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Window: testWindow, Rate: 3000, Burst: 30000}
	before := spendAll(NewKeeper(start), 5000, 9000, 100, limit, 1)
	restarted := spendAll(NewKeeper(after(9000)), 9000, 13000, 100, limit, 1)
	g.Expect(before + restarted).To(BeNumerically("<=", limit.Most()+200))
	g.Expect(restarted).To(BeNumerically("~", 4*3000, 200), "its rate, and nothing saved up")
}

func TestLowerLimitBindsAtOnceAndAnOlderOneNeverReturns(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(start)
	high, low := Limit{Window: testWindow, Rate: 10000, Burst: 10000, Revision: 5}, Limit{Window: testWindow, Rate: 1000, Burst: 1000, Revision: 6}
	spendAll(k, 5000, 6000, 100, high, 1)
	g.Expect(k.Ask(after(6000), "t", 2000, low, 1).Granted).To(BeTrue(), "what is left of the burst")
	granted := spendAll(k, 6010, 8010, 100, high, 1)
	g.Expect(granted).To(BeNumerically("<=", 2*1000), "a router with the older configuration asks for the same part")
}

// A tenant's large prompts beside its small ones: 39,600 tokens are the largest
// prompts of the catch-up service, 826 its middle questions. A bucket that let only
// requests in that are covered would never see so much saved up.
func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(start)
	limit := Limit{Window: testWindow, Rate: 20000, Burst: 20000}
	large := 0
	for at := 5000; at < 15000; at += 10 {
		k.Ask(after(at), "t", 826, limit, 1)
		if at%250 == 0 && k.Ask(after(at), "t", 39600, limit, 1).Granted {
			large++
		}
	}
	g.Expect(large).To(BeNumerically(">=", 1))
}

func TestRefusedCallersAreToldMomentsWithRoom(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 1000}
	g.Expect(k.Ask(after(5000), "t", 2000, limit, 1).Granted).To(BeTrue())
	var moments []time.Duration
	for range 3 {
		refused := k.Ask(after(5000), "t", 500, limit, 1)
		g.Expect(refused.Granted).To(BeFalse())
		g.Expect(refused.EmptyFor).To(BeNumerically("~", time.Second, time.Millisecond))
		moments = append(moments, refused.RetryAfter)
	}
	g.Expect(moments).To(HaveExactElements(
		BeNumerically("~", time.Second, time.Millisecond), BeNumerically("~", 1500*time.Millisecond, time.Millisecond),
		BeNumerically("~", 2*time.Second, time.Millisecond)))
	for _, moment := range moments {
		// A millisecond for the rounding of times.
		g.Expect(k.Ask(after(5000).Add(moment+time.Millisecond), "t", 500, limit, 1).Granted).To(BeTrue(), "who returns when told is served")
	}
}

func TestUnusedGrantIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 1000}
	k.Ask(after(5000), "t", 5000, limit, 1)
	k.Return(after(5000), "t", 5000)
	g.Expect(k.Ask(after(5000), "t", 5000, limit, 1).Granted).To(BeTrue())
	k.Return(after(5001), "stranger", 5000)
	k.Return(after(5001), "t", -5000)
	g.Expect(k.Ask(after(5001), "t", 1, limit, 1).Granted).To(BeFalse())
}

func TestKeeperForgetsTenantsThatOweNothing(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(start)
	limit := Limit{Window: testWindow, Rate: 1000, Burst: 1000}
	k.Ask(after(5000), "t", 100, limit, 1)
	k.Ask(after(5000), "debtor", 60000, limit, 1)
	k.Ask(after(25000), "other", 1, limit, 1)
	g.Expect(k.Tenants()).To(Equal(2), "the debtor and the one that asks")
}

func newAsker(self string) *Asker {
	a := NewAsker(self, "z1", rand.New(rand.NewPCG(1, 2)))
	a.Keepers().Set([]string{"k1", "k2", "k3"})
	return a
}

func TestRefusalHoldsForOthersForAMoment(t *testing.T) {
	g := NewWithT(t)
	a := newAsker("r")
	for _, keeper := range []string{"k1", "k2", "k3"} {
		a.Refused(start, keeper, "t", Answer{EmptyFor: time.Second, RetryAfter: 2 * time.Second})
	}
	order, retryAfter := a.Order(start, "t")
	g.Expect(order).To(BeEmpty())
	g.Expect(retryAfter).To(Equal(2 * time.Second))
	order, _ = a.Order(start, "other")
	g.Expect(order).To(HaveLen(3), "another tenant's parts")
	order, _ = a.Order(start.Add(emptyTime), "t")
	g.Expect(order).To(HaveLen(3))
}

// 13 of 79 routers are cut off from all keepers for 3.5 s, after which their
// configuration is no longer proved, and one tenant wants seven times its limit
// everywhere: the share of machines and the strength of the deployment's sheet.
func TestRoutersAloneSpendNoMoreThanTheirPart(t *testing.T) {
	g := NewWithT(t)
	const routers, cutOff, size = 79, 13, 9200.0
	limit := Limit{Window: testWindow, Rate: 139000, Burst: 139000}
	alone := 0.0
	for i := range cutOff {
		a := NewAsker("r", "z", rand.New(rand.NewPCG(1, uint64(i))))
		for at := 0; at < 3000; at += 1000 {
			a.Granted(after(at), "t", limit.Rate/routers)
			a.Heard(after(at))
		}
		for at := 3000; at < 6500; at += 100 {
			if a.Alone(after(at), "t", size, limit, routers).Granted {
				alone += size
			}
		}
	}
	fair := limit.Rate * 3.5 * cutOff / routers
	g.Expect(alone).To(BeNumerically("<=", 1.5*fair))
	g.Expect(alone).To(BeNumerically(">", 0.2*fair), "not everything is refused")
}

func TestLossOfAllKeepersIsNoLicence(t *testing.T) {
	g := NewWithT(t)
	const routers, size = 79, 9200.0
	limit := Limit{Window: testWindow, Rate: 53000, Burst: 69000}
	granted := 0.0
	for i := range routers {
		a := NewAsker("r", "z", rand.New(rand.NewPCG(3, uint64(i))))
		a.Heard(after(0))
		for at := 0; at < 8000; at += 200 {
			if a.Alone(after(at), "t", size, limit, routers).Granted {
				granted += size
			}
		}
	}
	g.Expect(granted).To(BeNumerically("<=", limit.Most()))
}

// All machines restart and the keepers are the last: for half a second 73 routers get the
// requests of a tenant at four tenths of its limit and hear from no keeper. They grant about
// the half of the limit that they may spend alone, each since its start.
func TestRoutersAloneSpendTheirPartFromTheStart(t *testing.T) {
	g := NewWithT(t)
	const routers, size, outage, starts = 73, 3000.0, 500, 20
	limit := Limit{Window: testWindow, Rate: 972000, Burst: 972000}
	granted, asked := 0.0, 0.0
	for seed := range uint64(starts) {
		random := rand.New(rand.NewPCG(5, seed))
		askers := make([]*Asker, routers)
		for i := range askers {
			askers[i] = NewAsker("r", "z", rand.New(rand.NewPCG(seed, uint64(i))))
			askers[i].Heard(after(0))
		}
		for at := 0.0; at < outage; at += random.ExpFloat64() * size / (0.4 * limit.Rate / 1000) {
			asked += size
			if askers[random.IntN(routers)].Alone(after(int(at)), "t", size, limit, routers).Granted {
				granted += size
			}
		}
	}
	allowed := limit.Rate * aloneShare * outage / 1000 * starts
	t.Logf("granted %.2f of what is asked, %.2f of what is allowed", granted/asked, granted/allowed)
	g.Expect(granted).To(BeNumerically("<=", allowed))
	g.Expect(granted).To(BeNumerically(">", asked/3))
}

// A request that comes after a pause finds the allowance of that pause at most, so that
// rare requests are not allowed for twice.
func TestAllowanceAloneIsNotGivenTwice(t *testing.T) {
	g := NewWithT(t)
	const routers, size = 10, 1000.0
	limit := Limit{Window: testWindow, Rate: 4000, Burst: 40000}
	granted, plays, seconds := 0.0, 50, 60
	for seed := range plays {
		a := NewAsker("r", "z", rand.New(rand.NewPCG(9, uint64(seed))))
		a.Heard(after(0))
		for at := 100; at < seconds*1000; at += 2100 {
			if a.Alone(after(at), "t", size, limit, routers).Granted {
				granted += size
			}
		}
	}
	g.Expect(granted).To(BeNumerically("<=", limit.Rate*aloneShare/routers*float64(seconds*plays)))
}

// Parts that refuse tell what they granted, so that their sum shows whether the tenant had
// room over all of them.
func TestRefusalsTellWhatWasSpent(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 300, Burst: 300, Window: 8 * time.Second}
	first, second := NewKeeper(start.Add(-time.Minute)), NewKeeper(start.Add(-time.Minute))
	g.Expect(first.Ask(start, "t", 200, limit, 2).Granted).To(BeTrue())
	answer := first.Ask(start, "t", 200, limit, 2)
	g.Expect(answer.Granted).To(BeFalse())
	g.Expect(answer.Spent).To(Equal(200.0))
	g.Expect(second.Ask(start, "t", 200, limit, 2).Spent).To(BeZero())
	g.Expect(limit.Allows(400, 200)).To(BeTrue())
	g.Expect(limit.Allows(2600, 200)).To(BeFalse())
}
