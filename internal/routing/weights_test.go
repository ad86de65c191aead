package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestTenantWeightsAreRateLimitsOfSameUnit(t *testing.T) {
	newQuota := func(rate float64, inTokens bool) *Quota { return &Quota{Rate: rate, CountsTokens: inTokens} }
	for name, test := range map[string]struct {
		first, second *Quota
		want          map[string]float64
	}{
		"both in tokens":   {newQuota(100, true), newQuota(300, true), map[string]float64{"a": 100, "b": 300}},
		"different units":  {newQuota(100, true), newQuota(300, false), map[string]float64{"a": 1, "b": 1}},
		"first has none":   {nil, newQuota(300, true), map[string]float64{"a": 1, "b": 1}},
		"second has none":  {newQuota(100, true), nil, map[string]float64{"a": 1, "b": 1}},
		"one without rate": {newQuota(100, true), newQuota(0, true), map[string]float64{"a": 1, "b": 1}},
		"both in requests": {newQuota(5, false), newQuota(10, false), map[string]float64{"a": 5, "b": 10}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(&Config{Tenants: []Tenant{{Name: "a", Quota: test.first}, {Name: "b", Quota: test.second}}})
			NewWithT(t).Expect(table.TenantWeights()).To(Equal(test.want))
		})
	}
	NewWithT(t).Expect(NewTable(&Config{}).TenantWeights()).To(BeEmpty())
}
