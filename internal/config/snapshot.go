package config

import (
	v1 "github.com/clovertiller/clovertiller/api/v1"
)

// Tenant is a tenant with its tier resolved.
type Tenant struct {
	Name string
	Spec *v1.TenantSpec
	Tier v1.TierSpec
}

// Runner is a configured runner.
type Runner struct {
	Name string
	Spec *v1.RunnerSpec
	// Leaving is set if the machine list marks the runner's machine as leaving.
	Leaving bool
}

// Snapshot is an immutable, typed view of a Store. It can be read concurrently without locks. Maps
// are keyed by object name unless their name says otherwise.
type Snapshot struct {
	// Revision is the store revision from which the snapshot was built.
	Revision         uint64
	Tenants          map[string]*Tenant
	TenantsByKeyHash map[string]*Tenant
	Models           map[string]*v1.ModelSpec
	Adapters         map[string]*v1.AdapterSpec
	Pools            map[string]*v1.PoolSpec
	WeightVersions   map[string]*v1.WeightVersionSpec
	Runners          map[string]*Runner
	RunnersByPool    map[string][]*Runner
	Machines         map[string]*v1.MachineSpec
	Assignment       v1.ClaimAssignmentSpec
}

// NewSnapshot returns a snapshot of the current contents of the store.
func NewSnapshot(store *Store) *Snapshot {
	snapshot := &Snapshot{
		Revision:         uint64(store.revision),
		Tenants:          map[string]*Tenant{},
		TenantsByKeyHash: map[string]*Tenant{},
		Models:           map[string]*v1.ModelSpec{},
		Adapters:         map[string]*v1.AdapterSpec{},
		Pools:            map[string]*v1.PoolSpec{},
		WeightVersions:   map[string]*v1.WeightVersionSpec{},
		Runners:          map[string]*Runner{},
		RunnersByPool:    map[string][]*Runner{},
		Machines:         map[string]*v1.MachineSpec{},
	}
	tiers := map[string]v1.TierSpec{}
	for key, current := range store.objects {
		snapshot.addObject(key, current.spec, tiers)
	}
	snapshot.resolveReferences(tiers)
	return snapshot
}

// addObject adds an object to the map of its kind. Tiers are added to tiers.
func (s *Snapshot) addObject(key v1.Key, spec v1.Spec, tiers map[string]v1.TierSpec) {
	switch spec := spec.(type) {
	case *v1.TierSpec:
		tiers[key.Name] = *spec
	case *v1.TenantSpec:
		s.Tenants[key.Name] = &Tenant{Name: key.Name, Spec: spec}
	case *v1.ModelSpec:
		s.Models[key.Name] = spec
	case *v1.AdapterSpec:
		s.Adapters[key.Name] = spec
	case *v1.PoolSpec:
		s.Pools[key.Name] = spec
	case *v1.WeightVersionSpec:
		s.WeightVersions[key.Name] = spec
	case *v1.RunnerSpec:
		s.Runners[key.Name] = &Runner{Name: key.Name, Spec: spec}
	case *v1.MachineSpec:
		s.Machines[key.Name] = spec
	case *v1.ClaimAssignmentSpec:
		s.Assignment = *spec
	}
}

// resolveReferences sets the tier of each tenant and the Leaving flag of each runner, and fills
// TenantsByKeyHash and RunnersByPool.
func (s *Snapshot) resolveReferences(tiers map[string]v1.TierSpec) {
	for _, tenant := range s.Tenants {
		tier, found := tiers[tenant.Spec.Tier]
		if !found {
			tier = fallbackTier()
		}
		tenant.Tier = tier
		for _, hash := range tenant.Spec.KeyHashes {
			s.TenantsByKeyHash[hash] = tenant
		}
	}
	for _, runner := range s.Runners {
		machine := s.Machines[runner.Spec.Machine]
		runner.Leaving = machine != nil && machine.State == v1.MachineLeaving
		s.RunnersByPool[runner.Spec.Pool] = append(s.RunnersByPool[runner.Spec.Pool], runner)
	}
}

// fallbackTier returns the tier of tenants whose own tier does not exist, for example because it
// was deleted. It has the lowest priority, so that their requests are queued last but not refused.
func fallbackTier() v1.TierSpec {
	tier := v1.TierSpec{Priority: 100}
	tier.SetDefaults()
	return tier
}
