package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/platform"
)

// limited is a configuration whose one tenant has the limit.
func limited(version int, limit map[string]any) map[string]any {
	spec := config(version, defaultRoutes(), goodKey)
	tenant := spec["tenants"].([]map[string]any)[0]
	for name, value := range limit {
		tenant[name] = value
	}
	return spec
}

func tokenLimit(rate, burst float64) map[string]any {
	return map[string]any{"rate_per_s": rate, "burst": burst, "unit": "tokens", "plain_tokens": 10}
}

func counts(value string) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set(platform.HeaderTokens, value) }
}

// limitedFleet has three keepers of limits and more routers that ask them.
func limitedFleet(t *testing.T, others int, limit map[string]any) (f *fleet, routers []*router) {
	f = newFleet(t)
	f.store.Put(configKind, configName, limited(1, limit))
	f.runner("p1", "plain")
	seeds := []string{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
	for i := range len(seeds) + others {
		routers = append(routers, f.servingRouter(fmt.Sprintf("r%d", i), func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), seeds
			if i < len(seeds) {
				settings.PeerAddress = seeds[i]
			}
		}))
	}
	return f, routers
}

// spendFor calls each router in turn until the time is over and returns what was
// served and the refusals.
func spendFor(routers []*router, tokens int, length time.Duration) (served int, refused []answer) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		for _, r := range routers {
			switch got := r.call("/safe/x", counts(strconv.Itoa(tokens)+",0")); got.status {
			case http.StatusOK:
				served += tokens
			case http.StatusTooManyRequests, http.StatusServiceUnavailable:
				refused = append(refused, got)
			}
		}
	}
	return served, refused
}

func TestTokensOfATenantAreCountedOverAllRouters(t *testing.T) {
	t.Parallel()
	const rate, burst, tokens = 6000, 3000, 300
	f, routers := limitedFleet(t, 2, tokenLimit(rate, burst))
	began := time.Now()
	served, refused := spendFor(routers, tokens, 2*time.Second)
	length := time.Since(began).Seconds()
	f.g.Expect(served).To(BeNumerically("<=", rate*length+burst+3*tokens), "each of three parts overspends by one request at most")
	f.g.Expect(served).To(BeNumerically(">=", 0.8*rate*length))
	f.g.Expect(refused).NotTo(BeEmpty())
	retryAfter, err := strconv.ParseFloat(refused[0].header.Get("Retry-After"), 64)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(retryAfter).To(And(BeNumerically(">", 0), BeNumerically("<", 2)))
	f.g.Expect(routers[4].log.String()).To(And(ContainSubstring(`"by":"keeper"`), ContainSubstring("the tenant's limit is reached")))
}

func TestLostKeeperTakesItsPartAlongAndNoMore(t *testing.T) {
	t.Parallel()
	const rate, tokens = 6000, 300
	f, routers := limitedFleet(t, 2, tokenLimit(rate, 300))
	spendFor(routers[3:], tokens, 300*time.Millisecond)
	routers[0].Kill()
	began := time.Now()
	served, _ := spendFor(routers[3:], tokens, 2*time.Second)
	length := time.Since(began).Seconds()
	f.g.Expect(served).To(BeNumerically("<=", rate*length*2/3+300+3*tokens))
	f.g.Expect(served).To(BeNumerically(">=", 0.5*rate*length), "the other two parts are used up")
}

func TestRoutersWithoutKeepersSpendAPart(t *testing.T) {
	t.Parallel()
	const rate, tokens = 6000, 300
	f, routers := limitedFleet(t, 2, tokenLimit(rate, 3000))
	spendFor(routers, tokens, time.Second)
	for _, keeper := range routers[:3] {
		keeper.Kill()
	}
	began := time.Now()
	served, refused := spendFor(routers[3:], tokens, time.Second)
	length := time.Since(began).Seconds()
	f.g.Expect(served).To(BeNumerically(">", 0), "not everything is refused")
	f.g.Expect(served).To(BeNumerically("<=", 0.6*rate*length), "two of five routers")
	f.g.Expect(refused).NotTo(BeEmpty())
	f.g.Expect(refused[len(refused)-1].status).To(Equal(http.StatusServiceUnavailable), "nobody knows whether the limit is reached")
	var waited int
	for _, refusal := range refused {
		if refusal.duration >= 100*time.Millisecond {
			waited++
		}
	}
	f.g.Expect(waited).To(BeNumerically("<=", len(refused)/10), "nobody waits for lost keepers, but for one call in 0.3 s that looks whether they are back")
}

func TestLoweredLimitBindsAndARaisedOneServes(t *testing.T) {
	t.Parallel()
	f, routers := limitedFleet(t, 1, tokenLimit(1e6, 1e6))
	served, refused := spendFor(routers, 300, 200*time.Millisecond)
	f.g.Expect(served).To(BeNumerically(">", 0))
	f.g.Expect(refused).To(BeEmpty())
	f.store.Put(configKind, configName, limited(2, tokenLimit(900, 0)))
	for _, r := range routers {
		r.waitForConfig(2)
	}
	served, refused = spendFor(routers, 300, time.Second)
	f.g.Expect(served).To(BeNumerically("<=", 900+4*300))
	f.g.Expect(refused).NotTo(BeEmpty())
	f.store.Put(configKind, configName, limited(3, nil))
	for _, r := range routers {
		r.waitForConfig(3)
	}
	_, refused = spendFor(routers, 300, 200*time.Millisecond)
	f.g.Expect(refused).To(BeEmpty(), "no limit any more")
}

func TestRequestsAreCountedAsTheyTellTheirTokens(t *testing.T) {
	t.Parallel()
	for _, example := range []struct {
		name, counts string
		amount       int
	}{
		{"sum of prompt and answer", "60,40", 100},
		{"none told", "", 10},
		{"negative", "-5,10", 10},
		{"no numbers", "many,few", 10},
		{"one number only", "50", 10},
		{"nothing at all", "0,0", 0},
	} {
		t.Run(example.name, func(t *testing.T) {
			f := newFleet(t)
			f.store.Put(configKind, configName, limited(1, tokenLimit(50, 0)))
			f.runner("p1", "plain")
			r := f.servingRouter("r", nil)
			f.g.Expect(r.call("/safe/x", counts(example.counts)).status).To(Equal(http.StatusOK))
			// The tenant owes the amount, which its rate takes this long to bring in.
			refused := r.call("/safe/x", counts("400,0"))
			if example.amount == 0 {
				f.g.Expect(refused.status).To(Equal(http.StatusOK))
				return
			}
			f.g.Expect(refused.status).To(Equal(http.StatusTooManyRequests))
			retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(retryAfter).To(BeNumerically("~", float64(example.amount)/50, 0.15))
		})
	}
}

func TestRequestBeyondAnyLimitIsRefusedWithoutAPromise(t *testing.T) {
	t.Parallel()
	f, routers := limitedFleet(t, 0, tokenLimit(1000, 1000))
	for _, huge := range []string{"500000,1", "9223372036854775807,9223372036854775807", "99999999999999999999999,1"} {
		got := routers[0].call("/safe/x", counts(huge))
		f.g.Expect(got.status).To(Equal(http.StatusTooManyRequests), huge)
		f.g.Expect(got.header.Get("Retry-After")).To(BeEmpty(), huge)
	}
	f.g.Expect(routers[0].call("/safe/x", counts("100,1")).status).To(Equal(http.StatusOK), "it owes nothing")
}

func TestLimitInRequestsCountsRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.Put(configKind, configName, limited(1, map[string]any{"rate_per_s": 5, "burst": 0}))
	f.runner("p1", "plain")
	r := f.servingRouter("r", nil)
	served, began := 0, time.Now()
	for time.Since(began) < time.Second {
		if r.call("/safe/x", counts("9000,9")).status == http.StatusOK {
			served++
		}
	}
	f.g.Expect(served).To(BeNumerically("~", 6, 2))
	f.g.Expect(r.call("/public/x", nil).status).To(Equal(http.StatusOK), "public routes have no tenant")
}
