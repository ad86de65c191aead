package routing

// weights returns what tenants are to get of a short service, one beside another: as much as
// their limits allow, or all the same if not all have limits in the same unit.
func weights(tenants []Tenant) map[string]float64 {
	limits, alike := make(map[string]float64, len(tenants)), true
	for _, tenant := range tenants {
		quota := tenant.Quota
		if quota == nil || quota.Rate <= 0 || quota.InTokens != tenants[0].Quota.InTokens {
			alike = false
			break
		}
		limits[tenant.Name] = quota.Rate
	}
	if alike {
		return limits
	}
	for _, tenant := range tenants {
		limits[tenant.Name] = 1
	}
	return limits
}

// TenantWeights returns what each tenant is to get of a short service, one beside another.
// The map must not be changed.
func (t *Table) TenantWeights() map[string]float64 { return t.weights }
