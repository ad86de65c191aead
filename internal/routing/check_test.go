package routing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCheckListsAllFaults(t *testing.T) {
	g := NewWithT(t)
	sound := Route{Name: "a", Host: "h", PathPrefix: "/a", MaxAttempts: 1, Timeout: time.Second, Backends: []Backend{{Service: "s", Weight: 1}}}
	services := []Service{{Name: "s"}}
	g.Expect(Check(&Config{Routes: []Route{sound}, Services: services, Tenants: []Tenant{{Name: "t", Keys: []string{"k"}}}})).To(BeEmpty())

	unknown := sound
	unknown.Name, unknown.PathPrefix, unknown.Backends = "b", "/b", []Backend{{Service: "gone", Weight: 1}}
	weightless := sound
	weightless.Name, weightless.PathPrefix, weightless.Backends = "c", "c", []Backend{{Service: "s"}}
	late := sound
	late.Name, late.Host, late.Target, late.MaxAttempts = "d", "H", 2*time.Second, 0
	faults := Check(&Config{
		Routes: []Route{sound, unknown, weightless, late}, Services: append(services, Service{Name: "s"}),
		Tenants: []Tenant{{Name: "t", Keys: []string{"secret"}}, {Name: "u", Keys: []string{"secret"}}, {}},
	})
	g.Expect(faults).To(ConsistOf(
		`service "s": there is another one`,
		`route "b": there is no service "gone"`,
		`route "c": path prefix "c" does not begin with /`,
		`route "c": no service has a weight`,
		`route of host and path "h/a": there is another one`,
		`route "d": target of 2s is after the time-out of 1s`,
		`route "d": at least one attempt is required`,
		`tenant "u": shares a key with tenant "t"`,
		`tenant: a name is required`,
	))
}
