package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// authority is the platform: the ordered log of all accepted changes.
type authority struct {
	log []v1.Object
}

func (a *authority) change(t *rapid.T) {
	name := fmt.Sprintf("tier-%d", rapid.IntRange(0, 4).Draw(t, "name"))
	object := v1.Object{Kind: v1.KindTier, Name: name, Version: uint64(len(a.log) + 1)}
	if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
		object.Deleted = true
	} else {
		object.Spec, _ = json.Marshal(v1.TierSpec{Priority: len(a.log) % 100, MaxWaitMillis: 1})
	}
	a.log = append(a.log, object)
}

// stateAt returns the live objects at a revision.
func (a *authority) stateAt(revision storerev.Revision) map[v1.Key]uint64 {
	state := map[v1.Key]uint64{}
	for _, object := range a.log[:revision] {
		if object.Deleted {
			delete(state, object.Key())
		} else {
			state[object.Key()] = object.Version
		}
	}
	return state
}

func (a *authority) listAt(revision storerev.Revision) Delta {
	delta := Delta{Through: revision, Full: true}
	for key, version := range a.stateAt(revision) {
		delta.Objects = append(delta.Objects, a.log[version-1])
		_ = key
	}
	return delta
}

// TestStoresFollowThePlatformAndNeverRevert feeds stores from lists, older
// lists, watch batches and each other, with losses and repeats, and checks that
// a store at revision R holds exactly the platform's state at R, and that R
// never decreases.
func TestStoresFollowThePlatformAndNeverRevert(t *testing.T) {
	testkit.SetRapidDefaults(3000)
	rapid.Check(t, func(t *rapid.T) {
		platform := &authority{}
		stores := []*Store{NewStore(), NewStore(), NewStore()}
		highest := make([]storerev.Revision, len(stores))
		var inFlight []Delta
		pick := func(name string) int { return rapid.IntRange(0, len(stores)-1).Draw(t, name) }
		anyRevision := func() storerev.Revision {
			return storerev.Revision(rapid.IntRange(0, len(platform.log)).Draw(t, "revision"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"change":      platform.change,
			"change more": platform.change,
			"list":        func(*rapid.T) { stores[pick("store")].Apply(platform.listAt(anyRevision())) },
			"watch": func(*rapid.T) {
				store := stores[pick("store")]
				through := max(anyRevision(), store.Revision())
				store.Apply(Delta{From: store.Revision(), Through: through, Objects: slices.Clone(platform.log[store.Revision():through])})
			},
			"answer a pull": func(*rapid.T) { inFlight = append(inFlight, stores[pick("from")].Since(anyRevision())) },
			"deliver": func(t *rapid.T) {
				if len(inFlight) > 0 {
					stores[pick("to")].Apply(rapid.SampledFrom(inFlight).Draw(t, "delta"))
				}
			},
			"": func(t *rapid.T) {
				for i, store := range stores {
					if store.Revision() < highest[i] {
						t.Fatalf("store %d went back from %d to %d", i, highest[i], store.Revision())
					}
					highest[i] = store.Revision()
					checkState(t, i, store, platform.stateAt(store.Revision()))
				}
			},
		})
	})
}

func checkState(t *rapid.T, number int, store *Store, want map[v1.Key]uint64) {
	got := store.Keys()
	if len(got) != len(want) {
		t.Fatalf("store %d at %d has %v, want %v", number, store.Revision(), got, want)
	}
	for key, version := range want {
		if got[key] != version {
			t.Fatalf("store %d at %d has %s at %d, want %d", number, store.Revision(), key, got[key], version)
		}
	}
}
