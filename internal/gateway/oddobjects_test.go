package gateway_test

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/platform"
)

// nestedLevels is more than encoding/json decodes.
const nestedLevels = 10_001

var (
	nestedArrays  = strings.Repeat("[", nestedLevels) + strings.Repeat("]", nestedLevels)
	nestedObjects = strings.Repeat(`{"a":`, nestedLevels) + "1" + strings.Repeat("}", nestedLevels)
)

// oddObjects writes objects of a kind that cannot be decoded.
var oddObjects = map[string]func(store *storestand.Store, kind string){
	"deep spec":              func(store *storestand.Store, kind string) { store.PutRawSpec(kind, "odd", nestedArrays) },
	"deep field of the spec": func(store *storestand.Store, kind string) { store.PutRawSpec(kind, "odd", `{"x":`+nestedObjects+`}`) },
	"deep metadata": func(store *storestand.Store, kind string) {
		store.PutRaw(kind, "odd", func(metadata string) string {
			return `{"metadata":` + strings.TrimSuffix(metadata, "}") + `,"labels":` + nestedArrays + `},"spec":{}}`
		})
	},
	"deep object": func(store *storestand.Store, kind string) {
		store.PutRaw(kind, "odd", func(string) string { return nestedArrays })
	},
	"control characters": func(store *storestand.Store, kind string) { store.PutRawSpec(kind, "odd", "\"a\x00\xff\"") },
	"no literal":         func(store *storestand.Store, kind string) { store.PutRawSpec(kind, "odd", "nothing") },
	"no object": func(store *storestand.Store, kind string) {
		store.PutRaw(kind, "odd", func(string) string { return "null" })
	},
	"revision out of range": func(store *storestand.Store, kind string) {
		store.PutRaw(kind, "odd", func(string) string { return `{"metadata":{"name":"odd","revision":1099511627776},"spec":{}}` })
	},
	"revision is no number": func(store *storestand.Store, kind string) {
		store.PutRaw(kind, "odd", func(string) string { return `{"metadata":{"name":"odd","revision":"7"},"spec":{}}` })
	},
	"name is no string": func(store *storestand.Store, kind string) {
		store.PutRaw(kind, "odd", func(string) string { return `{"metadata":{"name":7,"revision":1},"spec":{}}` })
	},
	"huge name": func(store *storestand.Store, kind string) {
		store.PutRaw(kind, strings.Repeat("n", 1<<18), func(metadata string) string { return `{"metadata":` + metadata + `,"spec":{}}` })
	},
	"several, more than a page": func(store *storestand.Store, kind string) {
		for i := range 8 {
			store.PutRawSpec(kind, fmt.Sprint("odd-", i), nestedArrays)
		}
	},
}

// expectRunnerServes checks that the router learns of the runner of the service "plain" and uses it.
func expectRunnerServes(f *fleet, r *router, id string) {
	f.g.Eventually(r.log.String, 4*time.Second, 10*time.Millisecond).Should(MatchRegexp(`"runner added".*"runner":"`+id+`"|"runner":"`+id+`".*"runner added"`), "%s", id)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
}

// Guards against one object of another writer that keeps a router from following the others: the list and the watch could
// not be decoded any more, so no sound runner was learned before the start nor after it.
func TestOddObjectDoesNotHideOthersFromRouter(t *testing.T) {
	for name, put := range oddObjects {
		for _, kind := range []string{platform.KindRunners, platform.KindWeightVersions, platform.KindConfig, platform.KindRollouts, platform.KindQuarantines, platform.KindStreamOrigins} {
			t.Run(name+" of "+kind, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.configure(1, defaultRoutes(), validKey)
				f.runner("p1", "plain")
				put(f.store, kind)
				r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.ExposedShare = 0.2 })
				expectRunnerServes(f, r, "p1")
				f.runner("p2", "plain")
				expectRunnerServes(f, r, "p2")
				put(f.store, kind)
				f.runner("zz", "plain")
				expectRunnerServes(f, r, "zz")
				f.configure(2, defaultRoutes(), validKey)
				r.waitForConfig(2)
				f.g.Expect(r.log.String()).NotTo(ContainSubstring("store calls fail"))
			})
		}
	}
}

// Guards against an odd object that seeds or relays pass on, and that keeps their followers, or a router that starts
// afterwards, from following the others.
func TestOddObjectDoesNotHideOthersFromFollowers(t *testing.T) {
	for name, put := range oddObjects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, seeds, follower := newSeededFleet(t)
			for _, kind := range []string{platform.KindRunners, platform.KindWeightVersions, platform.KindConfig} {
				put(f.store, kind)
			}
			f.runner("p2", "plain")
			for _, r := range append(seeds, follower) {
				expectRunnerServes(f, r, "p2")
			}
			late := f.servingRouter("late", f.followerSettings(seeds[0].seeds))
			expectRunnerServes(f, late, "p2")
			f.runner("p3", "plain")
			for _, r := range append(seeds, follower, late) {
				expectRunnerServes(f, r, "p3")
			}
		})
	}
}

// Guards against an unreadable lease that no router ever replaces, so that no weights are updated any more.
func TestUnreadableLeaseIsReplaced(t *testing.T) {
	for name, spec := range map[string]string{"deep": nestedArrays, "no object": "7", "other types": `{"holder":7,"term":"x"}`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			runner := f.runner("e1", "engines")
			f.store.PutRawSpec(platform.KindLeases, platform.LeaseObjectName, spec)
			r := f.servingRouter("r1", nil)
			nameWeights(f, 2)
			f.g.Eventually(runner.WeightVersion, 8*time.Second, 20*time.Millisecond).Should(Equal(uint64(2)))
			f.g.Expect(r.log.String()).To(ContainSubstring("cannot be read"))
		})
	}
}

// oddEntry returns a directory entry of the service with a field that a runner would not write. The other fields are sound, but nobody
// listens at the address.
func oddEntry(service, field, value string) string {
	fields := map[string]string{
		"service": fmt.Sprintf("%q", service), "address": fmt.Sprintf("%q", loopback.FreeAddress()), "zone": `"z"`, "version": `"v1"`, "slots": "4", "state": `"ready"`,
		"cold_remaining_ms": "0", "seq": "0", "models": `[{"name":"m","version":1}]`, "born": "5",
	}
	fields[field] = value
	var members []string
	for name, text := range fields {
		members = append(members, fmt.Sprintf("%q:%s", name, text))
	}
	return "{" + strings.Join(members, ",") + "}"
}

// oddFields are values of fields of directory entries.
var oddFields = []struct{ field, value string }{
	{"address", `"127.0.0.1:0"`}, {"address", `"127.0.0.1:-1"`}, {"address", `"127.0.0.1:99999"`}, {"address", `"127.0.0.1:1000000000000000000000000"`}, {"address", `"127.0.0.1:http"`},
	{"address", `"[::1%\r\nX: y]:80"`}, {"slots", "1000000000"}, {"slots", "9223372036854775807"}, {"slots", "1e30"}, {"cold_remaining_ms", "1e308"}, {"cold_remaining_ms", "1e999"},
	{"born", "18446744073709551615"}, {"seq", "18446744073709551615"}, {"models", `[{"name":"m","version":9223372036854775807}]`}, {"models", `[{"name":"m","version":18446744073709551615}]`},
	{"models", `[{"name":"m","version":1},{"name":"m","version":2}]`}, {"models", nestedArrays}, {"version", `"` + strings.Repeat("v", 1<<19) + `"`}, {"zone", `"` + strings.Repeat("z", 1<<19) + `"`},
}

// expectAllServed checks that the router serves calls of both services.
func expectAllServed(f *fleet, r *router, calls int) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		statuses := map[int]int{}
		for range calls {
			statuses[r.call(path, nil).status]++
		}
		f.g.Expect(statuses).To(Equal(map[int]int{http.StatusOK: calls}), "%s at %s", path, r.address)
	}
}

// Guards against one odd directory entry that keeps the sound runners of its service from serving: with engines, where requests are
// placed by slots and weights, and without, at routers that read the store, that follow, and that start afterwards.
func TestSoundRunnersServeBesideOddEntries(t *testing.T) {
	for _, odd := range oddFields {
		t.Run(odd.field+" "+odd.value[:min(len(odd.value), 40)], func(t *testing.T) {
			t.Parallel()
			f, seeds, follower := newSeededFleet(t)
			for i := range 3 {
				f.runner(fmt.Sprint("e", i), "engines")
			}
			for _, service := range []string{"plain", "engines"} {
				f.store.PutRawSpec(platform.KindRunners, "odd-"+service, oddEntry(service, odd.field, odd.value))
			}
			f.runner("p2", "plain")
			late := f.router("late", f.followerSettings(seeds[0].seeds))
			f.g.Eventually(late.isReady, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
			for _, r := range []*router{seeds[0], follower, late} {
				f.g.Eventually(func() string { return fmt.Sprint(r.Status().Runners) }, 3*time.Second, 20*time.Millisecond).Should(And(ContainSubstring("p2"), ContainSubstring("e2")))
				expectAllServed(f, r, 4)
			}
		})
	}
}

// Guards against a configured limit that overflows, so that bodies of unknown length reach the runner empty.
func TestLargestBodyLimitKeepsBodies(t *testing.T) {
	f := newFleet(t)
	spec := config(1, defaultRoutes(), validKey)
	spec["limits"] = map[string]any{"max_body_bytes": int64(math.MaxInt64)}
	f.store.Put(configKind, configName, spec)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	got := r.call("/safe/x", func(request *http.Request) { request.ContentLength = -1 })
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(runner.Runs()).To(HaveLen(1))
	f.g.Expect(runner.Runs()[0].Body).To(Equal("the body"))
}

// drawOddText draws the text of a value of another program. Strings are closed and brackets balanced.
func drawOddText(t *rapid.T, name string) string {
	return rapid.OneOf(
		rapid.SampledFrom([]string{
			"null", "true", "0", "-1", "1.5", "1e999", "18446744073709551615", "1e24", `""`, `"x"`, `"\ud800"`, "\"\xff\"", "\"\x00\"", "nothing", "{}", "[]", `{"a":}`, "1 2", "[null]",
			nestedArrays, nestedObjects, `"` + strings.Repeat("x", 1<<16) + `"`, `{"service":"x"}`, `{"model":"x","version":18446744073709551615}`,
		}),
		rapid.Custom(func(t *rapid.T) string {
			return oddEntry("x", rapid.SampledFrom([]string{"address", "zone", "slots", "models", "seq", "born", "state", "cold_remaining_ms", "extra"}).Draw(t, "field"), rapid.SampledFrom([]string{"null", "-1", "1e999", `""`, nestedArrays, "[[]]", `"\u0000"`}).Draw(t, "value"))
		}),
	).Draw(t, name)
}

// putOddObject writes an object with drawn parts.
func putOddObject(t *rapid.T, store *storestand.Store, kind string) {
	name := rapid.SampledFrom([]string{"a", "odd", "zzz", "\u00e9", "with space", "a/b?c", "line\nbreak", strings.Repeat("n", 5000)}).Draw(t, "name")
	spec := drawOddText(t, "spec")
	// The store knows objects by their names, after which its lists continue, so a page has one that can be read: of three objects at most
	// two hide theirs.
	hidden := rapid.SampledFrom([]string{"a", "odd"}).Draw(t, "name of a hidden object")
	switch rapid.SampledFrom([]string{"spec", "metadata", "status", "object", "repeated", "delete"}).Draw(t, "odd part") {
	case "spec":
		store.PutRawSpec(kind, name, spec)
	case "metadata":
		store.PutRaw(kind, hidden, func(string) string { return `{"metadata":` + spec + `,"spec":{}}` })
	case "status":
		store.PutRaw(kind, name, func(metadata string) string {
			return `{"metadata":` + metadata + `,"spec":{"service":"x","target_version":"v"},"status":` + spec + `}`
		})
	case "object":
		store.PutRaw(kind, hidden, func(string) string { return spec })
	case "repeated":
		store.PutRaw(kind, name, func(metadata string) string {
			return `{"metadata":` + spec + `,"spec":{},"metadata":` + metadata + `,"spec":` + spec + `}`
		})
	case "delete":
		store.Delete(kind, name)
	}
}

// Guards against any odd object, of any kind and whatever was written before it, that ends a router or its following of sound runners:
// at a router that reads the store, at one that follows it, and at one that starts when all are there.
func TestSoundRunnersAreFollowedBesideAnyOddObjects(t *testing.T) {
	testkit.SetRapidDefaults(25)
	f, seeds, follower := newSeededFleet(t)
	f.runner("p2", "plain")
	kinds := []string{platform.KindRunners, platform.KindWeightVersions, platform.KindConfig, platform.KindRollouts, platform.KindQuarantines, platform.KindStreamOrigins}
	added := 0
	rapid.Check(t, func(t *rapid.T) {
		for range rapid.IntRange(1, 5).Draw(t, "objects") {
			putOddObject(t, f.store, rapid.SampledFrom(kinds).Draw(t, "kind"))
		}
		added++
		id := fmt.Sprintf("sound-%d", added)
		runner := f.runner(id, "plain")
		for _, r := range append(seeds, follower) {
			f.g.Eventually(func() string { return fmt.Sprint(r.Status().Runners) }, 4*time.Second, 10*time.Millisecond).Should(ContainSubstring(id))
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		}
		f.store.Delete(platform.KindRunners, id)
		runner.Close()
		for _, r := range append(seeds, follower) {
			f.g.Eventually(func() string { return fmt.Sprint(r.Status().Runners) }, 4*time.Second, 10*time.Millisecond).ShouldNot(ContainSubstring(id))
		}
	})
	late, alone := f.router("late", f.followerSettings(seeds[0].seeds)), f.servingRouter("alone", nil)
	for _, r := range []*router{late, alone} {
		f.g.Eventually(r.isReady, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
}

// Guards against a log that grows with each read of objects that cannot be read, or with each write of another program.
func TestUnreadableObjectsAreLoggedBoundedly(t *testing.T) {
	f, r, _ := newPlainFleet(t)
	const maxLines = 32
	unreadable := func() int { return strings.Count(r.log.String(), `"event":813`) }
	f.store.Put(platform.KindRunners, "odd", 7)
	r.waitForLog(`"name":"odd"`)
	for i := range 3 * maxLines {
		f.store.Put(platform.KindRunners, "odd", i)
		f.store.Put(platform.KindRunners, fmt.Sprint("odd-", i), 7)
	}
	f.store.Put(platform.KindQuarantines, "odd", 7)
	f.runner("zz", "plain")
	expectRunnerServes(f, r, "zz")
	f.g.Eventually(r.log.String, time.Second, 10*time.Millisecond).Should(ContainSubstring(`"kind":"quarantines"`), "other kinds are logged nevertheless")
	f.g.Expect(unreadable()).To(And(BeNumerically(">", 1), BeNumerically("<=", maxLines+1)))
	f.g.Expect(strings.Count(r.log.String(), `"name":"odd","`)).To(BeNumerically("<=", 2), "the same fault of an object is logged once, and that of the quarantine")
}

// Guards against an object under another name that is taken for the configuration, or for the name of a model's weights: it is not the
// operator's, and its version may be higher than any.
func TestObjectsUnderOtherNamesAreNoConfigurationOrWeights(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	runner := f.runner("e1", "engines")
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = 800*time.Millisecond, 10*time.Millisecond
	})
	f.store.PutRawSpec(configKind, "other", `{"version":9223372036854775807}`)
	f.store.PutRawSpec(platform.KindWeightVersions, "other", `{"model":"m","version":18446744073709551615}`)
	r.waitForLog(`"name":"other"`)
	f.g.Consistently(func() []int {
		return []int{r.call("/safe/x", nil).status, r.call("/stream/x", nil).status}
	}, 2*time.Second, 100*time.Millisecond).Should(Equal([]int{http.StatusOK, http.StatusOK}))
	f.configure(2, defaultRoutes(), validKey)
	r.waitForConfig(2)
	nameWeights(f, 2)
	f.g.Eventually(runner.WeightVersion, 5*time.Second, 20*time.Millisecond).Should(Equal(uint64(2)))
}
