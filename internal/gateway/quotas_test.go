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

// limitedConfig returns a configuration whose only tenant has the limit.
func limitedConfig(version int, limit map[string]any) map[string]any {
	spec := config(version, defaultRoutes(), validKey)
	tenant := spec["tenants"].([]map[string]any)[0]
	for name, value := range limit {
		tenant[name] = value
	}
	return spec
}

func tokenLimit(rate, burst float64) map[string]any {
	return map[string]any{"rate_per_s": rate, "burst": burst, "unit": "tokens", "plain_tokens": 10}
}

func withTokenCounts(counts string) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set(platform.HeaderTokenCounts, counts) }
}

// newLimitedFleet returns a fleet with three quota servers, which are the seeds, and followers that
// query them.
func newLimitedFleet(t *testing.T, followers int, limit map[string]any) (f *fleet, routers []*router) {
	f = newFleet(t)
	f.store.Put(configKind, configName, limitedConfig(1, limit))
	f.runner("p1", "plain")
	seeds := []string{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
	for i := range len(seeds) + followers {
		routers = append(routers, f.servingRouter(fmt.Sprintf("r%d", i), func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), seeds
			if i < len(seeds) {
				settings.PeerAddress = seeds[i]
			}
		}))
	}
	return f, routers
}

// sendFor calls the routers in turn for the duration, and returns the number of served tokens and
// the refusals.
func sendFor(routers []*router, tokens int, duration time.Duration) (served int, refused []callResponse) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for _, r := range routers {
			switch got := r.call("/safe/x", withTokenCounts(strconv.Itoa(tokens)+",0")); got.status {
			case http.StatusOK:
				served += tokens
			case http.StatusTooManyRequests, http.StatusServiceUnavailable:
				refused = append(refused, got)
			}
		}
	}
	return served, refused
}

func TestTenantTokensAreCountedAcrossRouters(t *testing.T) {
	t.Parallel()
	const rate, burst, tokens = 6000, 3000, 300
	f, routers := newLimitedFleet(t, 2, tokenLimit(rate, burst))
	start := time.Now()
	served, refused := sendFor(routers, tokens, 2*time.Second)
	elapsed := time.Since(start).Seconds()
	f.g.Expect(served).To(BeNumerically("<=", rate*elapsed+burst+3*tokens), "each of the three quota servers overspends by at most one request")
	f.g.Expect(served).To(BeNumerically(">=", 0.8*rate*elapsed))
	f.g.Expect(refused).NotTo(BeEmpty())
	retryAfter, err := strconv.ParseFloat(refused[0].header.Get("Retry-After"), 64)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(retryAfter).To(And(BeNumerically(">", 0), BeNumerically("<", 2)))
	f.g.Expect(routers[4].log.String()).To(And(ContainSubstring(`"by":"keeper"`), ContainSubstring("the tenant's limit is reached")))
}

func TestLostQuotaServerRemovesOnlyItsShare(t *testing.T) {
	t.Parallel()
	const rate, tokens = 6000, 300
	f, routers := newLimitedFleet(t, 2, tokenLimit(rate, 300))
	sendFor(routers[3:], tokens, 300*time.Millisecond)
	routers[0].Kill()
	start := time.Now()
	served, _ := sendFor(routers[3:], tokens, 2*time.Second)
	elapsed := time.Since(start).Seconds()
	f.g.Expect(served).To(BeNumerically("<=", rate*elapsed*2/3+300+3*tokens))
	f.g.Expect(served).To(BeNumerically(">=", 0.5*rate*elapsed), "the shares of the other two quota servers are used")
}

func TestRoutersWithoutQuotaServersGrantAShare(t *testing.T) {
	t.Parallel()
	const rate, tokens = 6000, 300
	f, routers := newLimitedFleet(t, 2, tokenLimit(rate, 3000))
	sendFor(routers, tokens, time.Second)
	for _, server := range routers[:3] {
		server.Kill()
	}
	start := time.Now()
	served, refused := sendFor(routers[3:], tokens, time.Second)
	elapsed := time.Since(start).Seconds()
	f.g.Expect(served).To(BeNumerically(">", 0), "some requests are served")
	f.g.Expect(served).To(BeNumerically("<=", 0.6*rate*elapsed), "the shares of two of five routers")
	f.g.Expect(refused).NotTo(BeEmpty())
	f.g.Expect(refused[len(refused)-1].status).To(Equal(http.StatusServiceUnavailable), "without quota servers it is unknown whether the limit is reached")
	var slow int
	for _, refusal := range refused {
		if refusal.duration >= 100*time.Millisecond {
			slow++
		}
	}
	f.g.Expect(slow).To(BeNumerically("<=", len(refused)/10), "calls do not wait for lost quota servers, except one per 0.3 s that checks whether they are back")
}

func TestChangedLimitsTakeEffect(t *testing.T) {
	t.Parallel()
	f, routers := newLimitedFleet(t, 1, tokenLimit(1e6, 1e6))
	served, refused := sendFor(routers, 300, 200*time.Millisecond)
	f.g.Expect(served).To(BeNumerically(">", 0))
	f.g.Expect(refused).To(BeEmpty())
	f.store.Put(configKind, configName, limitedConfig(2, tokenLimit(900, 0)))
	for _, r := range routers {
		r.waitForConfig(2)
	}
	served, refused = sendFor(routers, 300, time.Second)
	f.g.Expect(served).To(BeNumerically("<=", 900+4*300))
	f.g.Expect(refused).NotTo(BeEmpty())
	f.store.Put(configKind, configName, limitedConfig(3, nil))
	for _, r := range routers {
		r.waitForConfig(3)
	}
	_, refused = sendFor(routers, 300, 200*time.Millisecond)
	f.g.Expect(refused).To(BeEmpty(), "the limit was removed")
}

func TestTokenCountsDetermineCost(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, counts string
		amount       int
	}{
		{"sum of prompt and response tokens", "60,40", 100},
		{"empty header", "", 10},
		{"negative", "-5,10", 10},
		{"not numbers", "many,few", 10},
		{"one number only", "50", 10},
		{"zero", "0,0", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			f.store.Put(configKind, configName, limitedConfig(1, tokenLimit(50, 0)))
			f.runner("p1", "plain")
			r := f.servingRouter("r", nil)
			f.g.Expect(r.call("/safe/x", withTokenCounts(test.counts)).status).To(Equal(http.StatusOK))
			// The tenant owes the amount, so Retry-After is the time in which its rate pays the
			// amount back.
			refused := r.call("/safe/x", withTokenCounts("400,0"))
			if test.amount == 0 {
				f.g.Expect(refused.status).To(Equal(http.StatusOK))
				return
			}
			f.g.Expect(refused.status).To(Equal(http.StatusTooManyRequests))
			retryAfter, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(retryAfter).To(BeNumerically("~", float64(test.amount)/50, 0.15))
		})
	}
}

func TestRequestAboveLimitIsRefusedWithoutRetryAfter(t *testing.T) {
	t.Parallel()
	f, routers := newLimitedFleet(t, 0, tokenLimit(1000, 1000))
	for _, huge := range []string{"500000,1", "9223372036854775807,9223372036854775807", "99999999999999999999999,1"} {
		got := routers[0].call("/safe/x", withTokenCounts(huge))
		f.g.Expect(got.status).To(Equal(http.StatusTooManyRequests), huge)
		f.g.Expect(got.header.Get("Retry-After")).To(BeEmpty(), huge)
	}
	f.g.Expect(routers[0].call("/safe/x", withTokenCounts("100,1")).status).To(Equal(http.StatusOK), "the refused requests were not charged")
}

func TestRequestLimitCountsRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.Put(configKind, configName, limitedConfig(1, map[string]any{"rate_per_s": 5, "burst": 0}))
	f.runner("p1", "plain")
	r := f.servingRouter("r", nil)
	served, start := 0, time.Now()
	for time.Since(start) < time.Second {
		if r.call("/safe/x", withTokenCounts("9000,9")).status == http.StatusOK {
			served++
		}
	}
	f.g.Expect(served).To(BeNumerically("~", 6, 2))
	f.g.Expect(r.call("/public/x", nil).status).To(Equal(http.StatusOK), "public routes have no tenant")
}
