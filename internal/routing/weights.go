package routing

// tenantWeights returns the tenants' shares of an overloaded service, relative to each
// other: their rate limits, or 1 for every tenant unless all have limits in the same unit.
func tenantWeights(tenants []Tenant) map[string]float64 {
	weights, sameUnit := make(map[string]float64, len(tenants)), true
	for _, tenant := range tenants {
		quota := tenant.Quota
		if quota == nil || quota.Rate <= 0 || quota.CountsTokens != tenants[0].Quota.CountsTokens {
			sameUnit = false
			break
		}
		weights[tenant.Name] = quota.Rate
	}
	if sameUnit {
		return weights
	}
	for _, tenant := range tenants {
		weights[tenant.Name] = 1
	}
	return weights
}

// TenantWeights returns the tenants' shares of an overloaded service by tenant name,
// relative to each other. The map must not be changed.
func (t *Table) TenantWeights() map[string]float64 { return t.tenantWeights }
