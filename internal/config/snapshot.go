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

// Runner is a runner with its name and whether its machine is leaving.
type Runner struct {
	Name string
	Spec *v1.RunnerSpec
	// Leaving is true when the machine list says that the runner's machine leaves.
	Leaving bool
}

// Snapshot is an immutable typed view of a Store, read without locks.
type Snapshot struct {
	Revision   uint64
	Tenants    map[string]*Tenant
	ByKeyHash  map[string]*Tenant
	Models     map[string]*v1.ModelSpec
	Adapters   map[string]*v1.AdapterSpec
	Pools      map[string]*v1.PoolSpec
	Weights    map[string]*v1.WeightVersionSpec
	Runners    map[string]*Runner
	ByPool     map[string][]*Runner
	Machines   map[string]*v1.MachineSpec
	Assignment v1.ClaimAssignmentSpec
}

// NewSnapshot builds the typed view of the store.
func NewSnapshot(store *Store) *Snapshot {
	snapshot := &Snapshot{
		Revision:  uint64(store.revision),
		Tenants:   map[string]*Tenant{},
		ByKeyHash: map[string]*Tenant{},
		Models:    map[string]*v1.ModelSpec{},
		Adapters:  map[string]*v1.AdapterSpec{},
		Pools:     map[string]*v1.PoolSpec{},
		Weights:   map[string]*v1.WeightVersionSpec{},
		Runners:   map[string]*Runner{},
		ByPool:    map[string][]*Runner{},
		Machines:  map[string]*v1.MachineSpec{},
	}
	tiers := map[string]v1.TierSpec{}
	for key, current := range store.objects {
		snapshot.add(key, current.spec, tiers)
	}
	snapshot.resolve(tiers)
	return snapshot
}

func (s *Snapshot) add(key v1.Key, spec v1.Spec, tiers map[string]v1.TierSpec) {
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
		s.Weights[key.Name] = spec
	case *v1.RunnerSpec:
		s.Runners[key.Name] = &Runner{Name: key.Name, Spec: spec}
	case *v1.MachineSpec:
		s.Machines[key.Name] = spec
	case *v1.ClaimAssignmentSpec:
		s.Assignment = *spec
	}
}

func (s *Snapshot) resolve(tiers map[string]v1.TierSpec) {
	for _, tenant := range s.Tenants {
		tier, found := tiers[tenant.Spec.Tier]
		if !found {
			tier = lowestTier()
		}
		tenant.Tier = tier
		for _, hash := range tenant.Spec.KeyHashes {
			s.ByKeyHash[hash] = tenant
		}
	}
	for _, runner := range s.Runners {
		machine := s.Machines[runner.Spec.Machine]
		runner.Leaving = machine != nil && machine.State == v1.MachineLeaving
		s.ByPool[runner.Spec.Pool] = append(s.ByPool[runner.Spec.Pool], runner)
	}
}

// lowestTier serves tenants whose tier was deleted under them: last in line,
// but not refused.
func lowestTier() v1.TierSpec {
	tier := v1.TierSpec{Priority: 100}
	tier.SetDefaults()
	return tier
}
