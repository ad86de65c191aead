package backpressure

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// design is a way to keep all routers together to a limit.
type design interface {
	// grants tells whether the router may send to the runner now, while the routers on its
	// side of a cut reach the schedulers of that side only.
	grants(now time.Time, router int, cut bool) bool
}

// fleetSize is the routers of a fleet, three of which are schedulers if there are as many.
type fleetSize struct{ routers, schedulers int }

// side is the side of a cut that the router is on: a third of all, with one scheduler.
func (f fleetSize) side(router int) int {
	if router%3 == 0 {
		return 0
	}
	return 1
}

// partsOfSchedulers is the design of this package.
type partsOfSchedulers struct {
	fleetSize
	rate  float64
	parts []*Permits
}

func newPartsOfSchedulers(size fleetSize, rate float64) *partsOfSchedulers {
	d := &partsOfSchedulers{fleetSize: size, rate: rate}
	for range size.schedulers {
		permits := NewPermits()
		permits.SetParts(start.Add(-time.Minute), size.schedulers)
		d.parts = append(d.parts, permits)
	}
	return d
}

func (d *partsOfSchedulers) grants(now time.Time, router int, _ bool) bool {
	// The nearest scheduler is in the router's own zone, and on its side of a cut.
	permits := d.parts[router%d.schedulers]
	if permits.Wait(now, runner, d.rate) > 0 {
		return false
	}
	permits.Take(now, runner, d.rate)
	return true
}

// shareOfEachRouter cuts the limit into as many parts as there are routers, which ask nobody.
type shareOfEachRouter struct {
	rate  float64
	parts []*Permits
}

func newShareOfEachRouter(size fleetSize, rate float64, random *rand.Rand) *shareOfEachRouter {
	d := &shareOfEachRouter{rate: rate}
	for range size.routers {
		permits := NewPermits()
		permits.SetParts(start.Add(-time.Minute), size.routers)
		// Routers that begin at once would send as many requests as they are.
		permits.from = start.Add(time.Duration(random.Float64() * float64(interval(rate/float64(size.routers)))))
		d.parts = append(d.parts, permits)
	}
	return d
}

func (d *shareOfEachRouter) grants(now time.Time, router int, _ bool) bool {
	if d.parts[router].Wait(now, runner, d.rate) > 0 {
		return false
	}
	d.parts[router].Take(now, runner, d.rate)
	return true
}

// oneGrantor has one scheduler grant all of the limit. Another one takes its place for the
// routers that do not reach it, once they have waited for what it granted before.
type oneGrantor struct {
	fleetSize
	rate    float64
	grantor [2]*Permits
	cutAt   time.Time
}

func newOneGrantor(size fleetSize, rate float64) *oneGrantor {
	d := &oneGrantor{fleetSize: size, rate: rate}
	for i := range d.grantor {
		d.grantor[i] = NewPermits()
		d.grantor[i].SetAlone()
	}
	return d
}

func (d *oneGrantor) grants(now time.Time, router int, cut bool) bool {
	permits := d.grantor[0]
	switch {
	case !cut:
		d.cutAt = time.Time{}
	case d.cutAt.IsZero():
		d.cutAt = now
	}
	if cut && d.side(router) == 1 {
		if now.Sub(d.cutAt) < handoverTime {
			return false
		}
		permits = d.grantor[1]
	}
	if permits.Wait(now, runner, d.rate) > 0 {
		return false
	}
	permits.Take(now, runner, d.rate)
	return true
}

// result is what a runner got: the most in any window, and the part of its limit.
type result struct {
	most int
	use  float64
}

const simulated = 120 * time.Second

// simulate plays requests at random moments, the most at few routers, with a third of the
// routers cut off from the others in the middle third of the time.
func simulate(d design, size fleetSize, rate, demand float64, cuts bool, random *rand.Rand) result {
	weights, sum := make([]float64, size.routers), 0.0
	for i := range weights {
		sum += 1 / math.Sqrt(float64(i+1))
		weights[i] = sum
	}
	w := &world{}
	for now := start; now.Before(start.Add(simulated)); {
		now = now.Add(time.Duration(random.ExpFloat64() / (demand * rate) * float64(time.Second)))
		router, drawn := 0, random.Float64()*sum
		for weights[router] < drawn {
			router++
		}
		passed := now.Sub(start)
		cut := cuts && passed > simulated/3 && passed < 2*simulated/3
		if d.grants(now, router, cut) {
			w.arrived = append(w.arrived, now)
		}
	}
	return result{most: w.most(), use: float64(len(w.arrived)) / (rate * simulated.Seconds())}
}

func TestWaysToKeepALimit(t *testing.T) {
	for _, routers := range []int{1, 7, 300} {
		for _, rate := range []float64{0.5, 1, 20} {
			for _, cuts := range []bool{false, true} {
				g, size := NewWithT(t), fleetSize{routers: routers, schedulers: min(routers, 3)}
				random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
				const demand = 20
				parts := simulate(newPartsOfSchedulers(size, rate), size, rate, demand, cuts, random())
				share := simulate(newShareOfEachRouter(size, rate, random()), size, rate, demand, cuts, random())
				one := simulate(newOneGrantor(size, rate), size, rate, demand, cuts, random())
				t.Logf("%3d routers, %4.1f a second, cut %-5v: allowed %d; parts of schedulers %d, %.2f; share of each router %d, %.2f; one grantor %d, %.2f",
					routers, rate, cuts, allowedIn(rate), parts.most, parts.use, share.most, share.use, one.most, one.use)
				g.Expect(parts.most).To(BeNumerically("<=", allowedIn(rate)))
				g.Expect(parts.use).To(BeNumerically(">", 0.75))
			}
		}
	}
}
