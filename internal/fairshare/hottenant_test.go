package fairshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestHotTenantsBarelyAffectOthers(t *testing.T) {
	for name, s := range map[string]scenario{
		"16 even":                       {usualRates: evenRates(16), hotFactors: hotTenant(3)},
		"16 skewed, weighted":           {usualRates: skewedRates(16), hotFactors: hotTenant(3), weighted: true},
		"16 skewed, biggest":            {usualRates: skewedRates(16), hotFactors: hotTenant(0), weighted: true},
		"16 skewed, smallest":           {usualRates: skewedRates(16), hotFactors: hotTenant(15), weighted: true, capacityRatio: 0.9},
		"16 even, two hot":              {usualRates: evenRates(16), hotFactors: map[int]float64{3: hotFactor, 9: 3}},
		"74 even":                       {usualRates: evenRates(74), hotFactors: hotTenant(5)},
		"74 even, usual fits":           {usualRates: evenRates(74), hotFactors: hotTenant(5), capacityRatio: 0.925},
		"74 skewed, weighted":           {usualRates: skewedRates(74), hotFactors: hotTenant(5), weighted: true},
		"16 even, one router":           {usualRates: evenRates(16), hotFactors: hotTenant(3), schedulerCount: 1},
		"16 even, reports after 50 ms":  {usualRates: evenRates(16), hotFactors: hotTenant(3), reportDelay: 50 * time.Millisecond},
		"16 even, reports after 200 ms": {usualRates: evenRates(16), hotFactors: hotTenant(3), reportDelay: 200 * time.Millisecond},
		"16 even, reports after 1 s":    {usualRates: evenRates(16), hotFactors: hotTenant(3), reportDelay: time.Second},
		"16 even, scheduler lost":       {usualRates: evenRates(16), hotFactors: hotTenant(3), schedulerLossAt: 10 * time.Second},
		"16 even, partitioned":          {usualRates: evenRates(16), hotFactors: hotTenant(3), partitionAt: 10 * time.Second},
		"16 even, restarted":            {usualRates: evenRates(16), hotFactors: hotTenant(3), restartAt: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if s.capacityRatio == 0 {
				// With the extra demand of the hot tenants, a quarter of the total demand exceeds the capacity.
				s.capacityRatio = 0.75
			}
			if s.schedulerCount == 0 {
				s.schedulerCount = 3
			}
			baseline := s.simulateSeeds()
			s.fairSharing = true
			fair, oracle := s.simulateSeeds(), s.oracleServedShares()
			oracleRefused := 0.0
			for i, served := range oracle {
				if s.hotFactors[i] == 0 {
					oracleRefused = 1 - served // the same for all tenants that are not hot
				}
			}
			t.Logf("refused share of the other tenants' requests: %.3f first come, first served, %.3f with fair shares, %.3f by the oracle; idle %v, %v", baseline.othersRefused(), fair.othersRefused(), oracleRefused, baseline.idle, fair.idle)
			g.Expect(fair.othersRefused()).To(BeNumerically("<", oracleRefused+maxExtraRefused))
			g.Expect(fair.idle).To(BeNumerically("<", seedCount*(simulatedTime-warmUpTime)/100), "fair sharing is work-conserving")
			for i := range s.hotFactors {
				t.Logf("served share of a hot tenant's requests: %.3f first come, first served, %.3f with fair shares, %.3f by the oracle", 1-baseline.tenantRefused(i), 1-fair.tenantRefused(i), oracle[i])
				g.Expect(1-fair.tenantRefused(i)).To(BeNumerically(">", minFairRatio*oracle[i]), "hot tenants are not starved")
			}
		})
	}
}

func TestHotTenantIsNotRefusedBelowCapacity(t *testing.T) {
	g := NewWithT(t)
	s := scenario{usualRates: evenRates(16), hotFactors: hotTenant(3), capacityRatio: 1.25, schedulerCount: 3}
	baseline := s.simulateSeeds()
	s.fairSharing = true
	fair := s.simulateSeeds()
	t.Logf("refused share of the hot tenant: %.4f first come, first served, %.4f with fair shares", baseline.tenantRefused(3), fair.tenantRefused(3))
	g.Expect(fair.tenantRefused(3)).To(BeNumerically("<=", baseline.tenantRefused(3)))
}
