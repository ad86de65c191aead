package config

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

func newObject(kind v1.Kind, name string, version uint64, spec any) v1.Object {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return v1.Object{Kind: kind, Name: name, Version: version, Spec: encoded}
}

func TestInvalidObjectKeepsTheLastValidSpec(t *testing.T) {
	g := NewWithT(t)
	store := NewStore()
	store.Apply(Delta{Through: 1, Objects: []v1.Object{newObject(v1.KindPool, "p", 1, v1.PoolSpec{MaxLoading: 3})}})
	store.Apply(Delta{From: 1, Through: 2, Objects: []v1.Object{{Kind: v1.KindPool, Name: "p", Version: 2, Spec: []byte(`{"maxLoading":-1}`)}}})
	g.Expect(store.InvalidReason(v1.Key{Kind: v1.KindPool, Name: "p"})).To(ContainSubstring("spec.maxLoading"))
	g.Expect(NewSnapshot(store).Pools["p"].MaxLoading).To(Equal(3))
}

func TestTrimmedTombstonesCauseAFullDelta(t *testing.T) {
	g := NewWithT(t)
	store := NewStore()
	revision := storerev.Revision(0)
	for i := range MaxTombstones + 1 {
		name := fmt.Sprintf("t-%d", i)
		store.Apply(Delta{From: revision, Through: revision + 1, Objects: []v1.Object{newObject(v1.KindTier, name, uint64(revision+1), v1.TierSpec{MaxWaitMillis: 1})}})
		store.Apply(Delta{From: revision + 1, Through: revision + 2, Objects: []v1.Object{{Kind: v1.KindTier, Name: name, Version: uint64(revision + 2), Deleted: true}}})
		revision += 2
	}
	g.Expect(store.Since(2).Full).To(BeTrue())
	g.Expect(store.Since(revision - 1).Full).To(BeFalse())
}

func TestSnapshotResolvesTenantsRunnersAndMachines(t *testing.T) {
	g := NewWithT(t)
	store := NewStore()
	store.Apply(Delta{Through: 9, Objects: []v1.Object{
		newObject(v1.KindTier, "gold", 1, v1.TierSpec{Priority: 0, MaxWaitMillis: 7}),
		newObject(v1.KindTenant, "one", 2, v1.TenantSpec{Tier: "gold", KeyHashes: []string{fmt.Sprintf("%064d", 1)}}),
		newObject(v1.KindTenant, "two", 3, v1.TenantSpec{Tier: "deleted", KeyHashes: []string{fmt.Sprintf("%064d", 2)}}),
		newObject(v1.KindRunner, "r", 4, v1.RunnerSpec{Pool: "p", Zone: "z", Address: "127.0.0.1:1", Machine: "m"}),
		newObject(v1.KindMachine, "m", 5, v1.MachineSpec{State: v1.MachineLeaving, Zone: "z"}),
	}})
	snapshot := NewSnapshot(store)
	g.Expect(snapshot.TenantsByKeyHash[fmt.Sprintf("%064d", 1)].Tier.MaxWaitMillis).To(Equal(7))
	g.Expect(snapshot.Tenants["two"].Tier.Priority).To(Equal(100))
	g.Expect(snapshot.RunnersByPool["p"][0].Leaving).To(BeTrue())
}

// Guards against dropping objects that are newer than those listed by a restored platform store
// although their revisions are not higher. Replace must accept them and keep their revisions.
func TestReplacedObjectsKeepTheirRevisions(t *testing.T) {
	g := NewWithT(t)
	store := NewStore()
	newTier := func(revision uint64, wait int) v1.Object {
		return newObject(v1.KindTier, "gold", revision, v1.TierSpec{MaxWaitMillis: wait})
	}
	store.Apply(Delta{Through: 5, Full: true, Objects: []v1.Object{newTier(3, 1)}})
	store.Replace([]v1.Object{newTier(3, 2), newObject(v1.KindTier, "silver", 2, v1.TierSpec{MaxWaitMillis: 9})})
	g.Expect(store.Revision()).To(Equal(storerev.Revision(5)))
	g.Expect(store.Since(0).Objects).To(ConsistOf(newTier(3, 2), newObject(v1.KindTier, "silver", 2, v1.TierSpec{MaxWaitMillis: 9})))
	g.Expect(store.Since(5).Objects).To(BeEmpty())

	store.Apply(Delta{From: 5, Through: 6, Objects: []v1.Object{newTier(6, 3)}})
	g.Expect(store.Since(5).Objects).To(ConsistOf(newTier(6, 3)))
}
