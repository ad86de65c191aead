package streamversion

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1_000_000, 0)
	v1    = Origin{"engines", "v1"}
	v2    = Origin{"engines", "v2"}
)

func newRecord(id string, origin Origin, lifetime time.Duration) Record {
	return Record{Key: NewKey("tenant", id), Origin: origin, Expires: start.Add(lifetime)}
}

func TestKeysSeparateTenants(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewKey("a", "bc")).NotTo(Equal(NewKey("ab", "c")))
	g.Expect(NewKey("a", "x")).NotTo(Equal(NewKey("b", "x")))
	g.Expect(NewKey("a", "x")).To(Equal(NewKey("a", "x")))
}

// Guards against streams that are not found once a configuration has changed the tenant, the credential or whether there is one.
func TestRecordIsFoundUnderEitherNameOfItsCaller(t *testing.T) {
	for name, test := range map[string]struct {
		began, takesUp Caller
		want           bool
	}{
		"the same caller":                {Caller{"a", "k"}, Caller{"a", "k"}, true},
		"the key was passed on":          {Caller{"a", "k"}, Caller{"b", "k"}, true},
		"the key was replaced":           {Caller{"a", "k"}, Caller{"a", "l"}, true},
		"the route was made public":      {Caller{"a", "k"}, Caller{"", "k"}, true},
		"the route was public":           {Caller{"", "k"}, Caller{"a", "k"}, true},
		"keys were introduced":           {Caller{"", ""}, Caller{"a", "k"}, true},
		"another caller":                 {Caller{"a", "k"}, Caller{"b", "l"}, false},
		"an anonymous caller":            {Caller{"a", "k"}, Caller{"", ""}, false},
		"a tenant named like a key":      {Caller{"a", "k"}, Caller{"k", ""}, false},
		"a credential named like tenant": {Caller{"a", "k"}, Caller{"b", "a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, table, record := NewWithT(t), NewTable(10), newRecord("1", v1, time.Second)
			record.Key, record.Alias = test.began.RecordKeys("1")
			table.Add(start, record)
			found := false
			for _, key := range test.takesUp.LookupKeys("1", nil) {
				_, known := table.Find(start, key)
				found = found || known
			}
			g.Expect(found).To(Equal(test.want))
		})
	}
}

// Guards against callers whose stream goes on where another one began under the same ID: an anonymous one, or their own before its route
// has moved.
func TestRecordsAreLookedUpInOrder(t *testing.T) {
	g, caller := NewWithT(t), Caller{"a", "k"}
	key, alias := caller.RecordKeys("1")
	serviceKey, serviceAlias := caller.ServiceRecordKeys("1", "engines")
	g.Expect(caller.LookupKeys("1", []string{"engines"})).To(Equal([]Key{serviceKey, serviceAlias, key, alias, NewKey("", serviceID("1", "engines")), NewKey("", "1")}))
	g.Expect(Caller{"", "k"}.LookupKeys("1", nil)).To(HaveLen(2))
}

func TestRecordIsFoundUntilItExpires(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(10)
	record := newRecord("1", v1, 10*time.Second)
	g.Expect(table.Add(start, record)).To(Equal(Added))
	found, known := table.Find(start.Add(9*time.Second), record.Key)
	g.Expect(known).To(BeTrue())
	g.Expect(found.Origin).To(Equal(v1))
	_, known = table.Find(start.Add(10*time.Second), record.Key)
	g.Expect(known).To(BeFalse())
	table.Prune(start.Add(12 * time.Second))
	g.Expect(table.Len()).To(BeZero())
}

// Guards against a second stream under a used ID that changes where the first one goes on.
func TestFirstRecordOfAKeyHolds(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(10)
	record := newRecord("1", v1, 10*time.Second)
	table.Add(start, record)
	other := record
	other.Origin = v2
	g.Expect(table.Add(start, other)).To(Equal(Conflicting))
	found, _ := table.Find(start, record.Key)
	g.Expect(found.Origin).To(Equal(v1))
}

// Guards against records of streams that go on and are forgotten after the first attempt's time.
func TestRenewedRecordLivesLonger(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(2)
	table.Add(start, newRecord("1", v1, 2*time.Second))
	g.Expect(table.Add(start, newRecord("1", v1, 20*time.Second))).To(Equal(Renewed))
	table.Prune(start.Add(10 * time.Second))
	_, known := table.Find(start.Add(10*time.Second), NewKey("tenant", "1"))
	g.Expect(known).To(BeTrue())
	table.Prune(start.Add(22 * time.Second))
	g.Expect(table.Len()).To(BeZero())
}

// Guards against full tables that forget the newest streams, or claim to know all.
func TestFullTableDropsWhatExpiresNextAndIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(3)
	table.Add(start, newRecord("short", v1, 5*time.Second))
	table.Add(start, newRecord("long", v1, 50*time.Second))
	table.Add(start, newRecord("longer", v2, 60*time.Second))
	g.Expect(table.IsComplete(start)).To(BeTrue())
	table.Add(start, newRecord("new", v2, 30*time.Second))
	g.Expect(table.Len()).To(Equal(3))
	_, known := table.Find(start, NewKey("tenant", "short"))
	g.Expect(known).To(BeFalse())
	_, known = table.Find(start, NewKey("tenant", "new"))
	g.Expect(known).To(BeTrue())
	g.Expect(table.IsComplete(start.Add(4 * time.Second))).To(BeFalse())
	g.Expect(table.IsComplete(start.Add(5 * time.Second))).To(BeTrue())
	g.Expect(table.Dropped()).To(Equal(uint64(1)))
}

// Checks the table against a plain map, and that its limit holds.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		table, model, now := NewTable(limit), map[Key]Record{}, start
		overflowed := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			record := Record{Key: NewKey("t", fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))), Origin: v1, Expires: now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "life")) * time.Millisecond)}
			if known, found := model[record.Key]; found && now.Before(known.Expires) && known.Expires.After(record.Expires) {
				model[record.Key] = known
			} else {
				model[record.Key] = record
			}
			table.Add(now, record)
			overflowed = overflowed || table.Dropped() > 0
			if table.Len() > limit {
				t.Fatalf("%d records of at most %d", table.Len(), limit)
			}
		}
		for key, record := range model {
			found, known := table.Find(now, key)
			if wanted := now.Before(record.Expires); known != wanted && (known || !overflowed) {
				t.Fatalf("found %v, want %v", known, wanted)
			}
			if known && !found.Expires.Equal(record.Expires) && !overflowed {
				t.Fatalf("expires %v, want %v", found.Expires, record.Expires)
			}
		}
	})
}

const window = time.Minute

func TestHistoryKnowsWhenVersionsMix(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(start, window)
	h.Observe(start, []Origin{v1})
	g.Expect(h.IsMixed(start, "engines")).To(BeTrue(), "others may have been listed before")
	now := start.Add(window)
	h.Observe(now, []Origin{v1})
	g.Expect(h.IsMixed(now, "engines")).To(BeFalse())
	h.Observe(now.Add(time.Second), []Origin{v1, v2})
	g.Expect(h.IsMixed(now.Add(time.Second), "engines")).To(BeTrue())
	h.Observe(now.Add(10*time.Second), []Origin{v2})
	g.Expect(h.IsMixed(now.Add(50*time.Second), "engines")).To(BeTrue(), "streams of v1 may still live")
	h.Observe(now.Add(62*time.Second), []Origin{v2})
	g.Expect(h.IsMixed(now.Add(62*time.Second), "engines")).To(BeFalse())
}

// Guards against a router that has just started and records, or refuses, although others know better.
func TestStartedRouterTakesOverHistory(t *testing.T) {
	g := NewWithT(t)
	old, now := NewHistory(start, window), start.Add(window)
	old.Observe(start, []Origin{v1})
	old.Observe(now, []Origin{v1})
	started := NewHistory(now, window)
	started.Observe(now, []Origin{v1})
	g.Expect(started.IsMixed(now, "engines")).To(BeTrue())
	started.Merge(old.Since(), old.Spans())
	g.Expect(started.IsMixed(now, "engines")).To(BeFalse())
}

// Guards against streams without a record that go on at the version which served alone before the others: their record may be lost, or
// may be where nobody is asked.
func TestServiceWithSeveralVersionsHasNoOnlyVersion(t *testing.T) {
	g := NewWithT(t)
	h, appeared := NewHistory(start, window), start.Add(2*window)
	h.Observe(start, []Origin{v1})
	_, found := h.Only(appeared, "engines")
	g.Expect(found).To(BeFalse(), "nothing was listed within the window")
	h.Observe(appeared, []Origin{v1, v2})
	for _, now := range []time.Time{appeared, appeared.Add(window / 2)} {
		_, found = h.Only(now, "engines")
		g.Expect(found).To(BeFalse())
	}
	later := appeared.Add(window + time.Second)
	h.Observe(later, []Origin{v2})
	version, found := h.Only(later, "engines")
	g.Expect(found).To(BeTrue())
	g.Expect(version).To(Equal("v2"))
}

// Guards against streams that are looked up once only just after a version has joined, and against a wait at any other time.
func TestLastJoinedIsThatOfTheNewestOfSeveralVersions(t *testing.T) {
	g := NewWithT(t)
	h, joined := NewHistory(start, window), start.Add(2*window)
	h.Observe(start, []Origin{v1})
	g.Expect(h.LastJoined(start, "engines")).To(BeZero())
	h.Observe(joined, []Origin{v1, v2})
	g.Expect(h.LastJoined(joined, "engines")).To(Equal(joined))
	h.Observe(joined.Add(time.Second), []Origin{v1, v2})
	g.Expect(h.LastJoined(joined.Add(time.Second), "engines")).To(Equal(joined))
	now := joined.Add(window + 2*time.Second)
	h.Observe(now, []Origin{v2})
	g.Expect(h.LastJoined(now, "engines")).To(BeZero())
	g.Expect(h.LastJoined(now, "others")).To(BeZero())
}

// Guards against a started seed that takes one version for the only one although the others or the store know of a second one.
func TestStartedRouterTakesOverWhichVersionsThereWere(t *testing.T) {
	g := NewWithT(t)
	old, appeared := NewHistory(start, window), start.Add(2*window)
	old.Observe(start, []Origin{v1})
	old.Observe(appeared, []Origin{v1, v2})
	now := appeared.Add(window / 2)
	for _, learn := range []func(*History){
		func(h *History) { h.Merge(old.Since(), old.Spans()) },
		func(h *History) { h.MergeRoster(now, Roster{"engines": {"v1", "v2"}}) },
	} {
		started := NewHistory(now, window)
		started.Observe(now, []Origin{v1})
		learn(started)
		_, found := started.Only(now, "engines")
		g.Expect(found).To(BeFalse())
		g.Expect(started.Knows(now, v2)).To(BeTrue())
		g.Expect(started.Knows(now.Add(2*window), v2)).To(BeFalse())
	}
}

// Guards against a router that has just started, knows one version and takes it for the only one.
func TestOnlyVersionIsKnownAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(start, window)
	h.Observe(start, []Origin{v2})
	_, found := h.Only(start, "engines")
	g.Expect(found).To(BeFalse())
	h.Observe(start.Add(window), []Origin{v2})
	version, found := h.Only(start.Add(window), "engines")
	g.Expect(found).To(BeTrue())
	g.Expect(version).To(Equal("v2"))
}

// Guards against the same where the store knows which versions there were.
func TestRosterTellsStartedRouterWhichVersionsThereWere(t *testing.T) {
	g := NewWithT(t)
	for _, roster := range []Roster{{"engines": {"v2"}}, {"engines": {"v1", "v2"}}} {
		h := NewHistory(start, window)
		h.Observe(start, []Origin{v2})
		h.MergeRoster(start, roster)
		_, found := h.Only(start, "engines")
		g.Expect(found).To(Equal(len(roster["engines"]) == 1))
		h.Observe(start.Add(window+time.Second), []Origin{v2})
		_, found = h.Only(start.Add(window+time.Second), "engines")
		g.Expect(found).To(BeTrue(), "streams of v1 have ended")
	}
}

// Guards against a roster that hides when a version was first listed from a router that saw it, or a version that it did not see.
func TestRosterChangesNothingThatIsKnown(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(start, window)
	h.SetComplete()
	h.Observe(start, []Origin{v1})
	now := start.Add(10 * time.Second)
	h.Observe(now, []Origin{v1, v2})
	before := h.Spans()
	h.MergeRoster(now, Roster{"engines": {"v1", "v2"}})
	g.Expect(h.Spans()).To(Equal(before))
	g.Expect(h.Roster(now)).To(Equal(Roster{"engines": {"v1", "v2"}}))
	h.MergeRoster(now, Roster{"engines": {"v0", "v1", "v2"}})
	g.Expect(h.Roster(now)).To(Equal(Roster{"engines": {"v0", "v1", "v2"}}))
}

// Guards against an origin for which there is no evidence: that replicas have no record, or list one version, says nothing about streams
// that began where they did not hear of them.
func TestResolve(t *testing.T) {
	none, stored, alone := Answer{}, Answer{HasReadStore: true}, Answer{HasReadStore: true, Only: "v1"}
	for name, test := range map[string]struct {
		answers    []Answer
		replicas   int
		origin     Origin
		resolution Resolution
	}{
		"a record wins over silence":                   {[]Answer{none, {Origin: v2}, alone}, 3, v2, Recorded},
		"a record wins over the only version":          {[]Answer{alone, {Origin: v2}}, 1, v2, Recorded},
		"a record in the store":                        {[]Answer{none, {Origin: v2, HasReadStore: true, Only: "v1"}}, 3, v2, Recorded},
		"one silent replica may have the record":       {[]Answer{none, none}, 3, Origin{}, RecordsMissing},
		"one replica silent, none in the store":        {[]Answer{none, none, stored}, 3, Origin{}, RecordsMissing},
		"two silent replicas prove nothing":            {[]Answer{none, stored}, 3, Origin{}, RecordsMissing},
		"no replica has a record":                      {[]Answer{none, none, none}, 3, Origin{}, RecordsMissing},
		"no replica has a record, none in the store":   {[]Answer{none, none, none, stored}, 3, Origin{}, NoRecord},
		"a lone replica has no record":                 {[]Answer{none}, 1, Origin{}, RecordsMissing},
		"a lone replica, none in the store":            {[]Answer{none, stored}, 1, Origin{}, NoRecord},
		"versions listed before the store was read":    {[]Answer{{Only: "v1"}, {Only: "v1"}, {Only: "v1"}}, 3, Origin{}, RecordsMissing},
		"the same of a lone replica":                   {[]Answer{{Only: "v1"}}, 1, Origin{}, RecordsMissing},
		"one version alone, as of the store":           {[]Answer{none, none, none, alone}, 3, v1, OnlyVersion},
		"the same while replicas are silent":           {[]Answer{none, alone}, 3, v1, OnlyVersion},
		"records lost, one version alone":              {[]Answer{{HasReadStore: true, Only: "v2"}}, 3, v2, OnlyVersion},
		"records lost, several versions":               {[]Answer{none, none, none, stored}, 3, Origin{}, NoRecord},
		"records lost, the store is not read":          {[]Answer{{Only: "v2"}}, 1, Origin{}, RecordsMissing},
		"nobody answers":                               {nil, 3, Origin{}, RecordsMissing},
		"nobody answers, several versions, store read": {[]Answer{stored}, 3, Origin{}, RecordsMissing},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			proven, resolution := Resolve("engines", test.answers, test.replicas)
			g.Expect(resolution).To(Equal(test.resolution))
			g.Expect(proven.Origin()).To(Equal(test.origin))
		})
	}
}

// Guards against origins that are assumed: whatever routers answer, one comes from a record or from a comparison with the store.
func TestOriginsHaveEvidence(t *testing.T) {
	version := rapid.SampledFrom([]string{"", "v1", "v2"})
	rapid.Check(t, func(t *rapid.T) {
		var answers []Answer
		isSupported := false
		for range rapid.IntRange(0, 5).Draw(t, "answers") {
			answer := Answer{HasReadStore: rapid.Bool().Draw(t, "read"), Only: version.Draw(t, "only")}
			if recorded := version.Draw(t, "recorded"); recorded != "" {
				answer.Origin = Origin{"engines", recorded}
			}
			isSupported = isSupported || answer.Origin != Origin{} || answer.HasReadStore && answer.Only != ""
			answers = append(answers, answer)
		}
		proven, resolution := Resolve("engines", answers, rapid.IntRange(1, 5).Draw(t, "replicas"))
		if (proven != Proven{}) != resolution.IsKnown() || resolution.IsKnown() && !isSupported {
			t.Fatalf("%v %v of %+v", proven, resolution, answers)
		}
	})
}

// Guards against a lost router that makes a stream go on elsewhere: each record is at two replicas, so whichever one
// is lost, the others resolve the stream to its own version or not at all.
func TestLossOfAnyOneReplicaNeverChangesTheVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(2, 6).Draw(t, "replicas")
		first := rapid.IntRange(0, replicas-1).Draw(t, "first")
		second := (first + rapid.IntRange(1, replicas-1).Draw(t, "second")) % replicas
		lost := rapid.IntRange(-1, replicas-1).Draw(t, "lost")
		var answers []Answer
		for replica := range replicas {
			answer := Answer{}
			if replica == first || replica == second {
				answer.Origin = v2
			}
			if replica != lost {
				answers = append(answers, answer)
			}
		}
		proven, resolution := Resolve("engines", answers, replicas)
		if resolution != Recorded || proven.Origin() != v2 {
			t.Fatalf("%v %v", proven, resolution)
		}
	})
}
