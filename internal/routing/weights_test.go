package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestTenantsWeighAsTheirLimitsIfAllAreAlike(t *testing.T) {
	limit := func(rate float64, inTokens bool) *Quota { return &Quota{Rate: rate, InTokens: inTokens} }
	for name, example := range map[string]struct {
		first, second *Quota
		want          map[string]float64
	}{
		"both in tokens":   {limit(100, true), limit(300, true), map[string]float64{"a": 100, "b": 300}},
		"in other units":   {limit(100, true), limit(300, false), map[string]float64{"a": 1, "b": 1}},
		"first without":    {nil, limit(300, true), map[string]float64{"a": 1, "b": 1}},
		"second without":   {limit(100, true), nil, map[string]float64{"a": 1, "b": 1}},
		"one of no rate":   {limit(100, true), limit(0, true), map[string]float64{"a": 1, "b": 1}},
		"both in requests": {limit(5, false), limit(10, false), map[string]float64{"a": 5, "b": 10}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(&Config{Tenants: []Tenant{{Name: "a", Quota: example.first}, {Name: "b", Quota: example.second}}})
			NewWithT(t).Expect(table.TenantWeights()).To(Equal(example.want))
		})
	}
	NewWithT(t).Expect(NewTable(&Config{}).TenantWeights()).To(BeEmpty())
}
