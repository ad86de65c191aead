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

// changeLog simulates the platform's store: the ordered log of all accepted changes. The change at
// index i has revision i+1.
type changeLog struct {
	changes []v1.Object
}

func (l *changeLog) appendChange(t *rapid.T) {
	name := fmt.Sprintf("tier-%d", rapid.IntRange(0, 4).Draw(t, "name"))
	object := v1.Object{Kind: v1.KindTier, Name: name, Version: uint64(len(l.changes) + 1)}
	if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
		object.Deleted = true
	} else {
		object.Spec, _ = json.Marshal(v1.TierSpec{Priority: len(l.changes) % 100, MaxWaitMillis: 1})
	}
	l.changes = append(l.changes, object)
}

// versionsAt returns the versions of the objects that are live at a revision.
func (l *changeLog) versionsAt(revision storerev.Revision) map[v1.Key]uint64 {
	versions := map[v1.Key]uint64{}
	for _, object := range l.changes[:revision] {
		if object.Deleted {
			delete(versions, object.Key())
		} else {
			versions[object.Key()] = object.Version
		}
	}
	return versions
}

// fullDeltaAt returns what a list call returned at the revision.
func (l *changeLog) fullDeltaAt(revision storerev.Revision) Delta {
	delta := Delta{Through: revision, Full: true}
	for key, version := range l.versionsAt(revision) {
		delta.Objects = append(delta.Objects, l.changes[version-1])
		_ = key
	}
	return delta
}

// TestStoresMatchThePlatformAndNeverRevert applies current and outdated full deltas, watch batches
// and deltas of other stores, some of them lost or repeated. It checks that a store at revision R
// holds exactly the platform's state at R, and that R never decreases.
func TestStoresMatchThePlatformAndNeverRevert(t *testing.T) {
	testkit.SetRapidDefaults(3000)
	rapid.Check(t, func(t *rapid.T) {
		platform := &changeLog{}
		stores := []*Store{NewStore(), NewStore(), NewStore()}
		highestRevisions := make([]storerev.Revision, len(stores))
		var inFlight []Delta
		pickStore := func(name string) int { return rapid.IntRange(0, len(stores)-1).Draw(t, name) }
		drawRevision := func() storerev.Revision {
			return storerev.Revision(rapid.IntRange(0, len(platform.changes)).Draw(t, "revision"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"change":      platform.appendChange,
			"change more": platform.appendChange,
			"list":        func(*rapid.T) { stores[pickStore("store")].Apply(platform.fullDeltaAt(drawRevision())) },
			"watch": func(*rapid.T) {
				store := stores[pickStore("store")]
				through := max(drawRevision(), store.Revision())
				store.Apply(Delta{From: store.Revision(), Through: through, Objects: slices.Clone(platform.changes[store.Revision():through])})
			},
			"answer a pull": func(*rapid.T) { inFlight = append(inFlight, stores[pickStore("from")].Since(drawRevision())) },
			"deliver": func(t *rapid.T) {
				if len(inFlight) > 0 {
					stores[pickStore("to")].Apply(rapid.SampledFrom(inFlight).Draw(t, "delta"))
				}
			},
			"": func(t *rapid.T) {
				for storeIndex, store := range stores {
					if store.Revision() < highestRevisions[storeIndex] {
						t.Fatalf("the revision of store %d decreased from %d to %d", storeIndex, highestRevisions[storeIndex], store.Revision())
					}
					highestRevisions[storeIndex] = store.Revision()
					checkVersions(t, storeIndex, store, platform.versionsAt(store.Revision()))
				}
			},
		})
	})
}

// checkVersions fails the test if the live objects of the store are not those in want.
func checkVersions(t *rapid.T, storeIndex int, store *Store, want map[v1.Key]uint64) {
	got := store.Versions()
	if len(got) != len(want) {
		t.Fatalf("store %d at revision %d has versions %v, want %v", storeIndex, store.Revision(), got, want)
	}
	for key, version := range want {
		if got[key] != version {
			t.Fatalf("store %d at revision %d has %s at version %d, want %d", storeIndex, store.Revision(), key, got[key], version)
		}
	}
}
