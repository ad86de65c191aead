package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a router that starts with a wrong idea of its region: it would avoid the runners
// and schedulers next to it.
func TestRegionsInSettingsAreChecked(t *testing.T) {
	valid := Settings{
		Node: "n", Zone: "a1", Region: "a", ZoneRegions: map[string]string{"a1": "a", "b1": "b"},
		CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", StoreAddress: "127.0.0.1:3",
	}
	cases := map[string]struct {
		modify func(*Settings)
		fault  string
	}{
		"regions":              {func(*Settings) {}, ""},
		"no regions":           {func(s *Settings) { s.Region, s.ZoneRegions = "", nil }, ""},
		"region from the zone": {func(s *Settings) { s.Region = "" }, ""},
		"unknown zone":         {func(s *Settings) { s.Zone = "c1" }, `zone: "c1" is not among the zones`},
		"other region":         {func(s *Settings) { s.Region = "b" }, `region: "b" is not the region of zone "a1", which is "a"`},
		"one region, unknown zone": {func(s *Settings) {
			s.Zone = "c1"
			delete(s.ZoneRegions, "b1")
		}, ""},
		"zone without region": {func(s *Settings) { s.ZoneRegions["b1"] = "" }, `zones: zone "b1" has no region`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			settings := valid
			settings.ZoneRegions = map[string]string{"a1": "a", "b1": "b"}
			c.modify(&settings)
			faults := settings.Check()
			if c.fault == "" {
				g.Expect(faults).To(BeEmpty())
				return
			}
			g.Expect(faults).To(ConsistOf(c.fault))
		})
	}
}
