package routing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCheckListsAllFaults(t *testing.T) {
	g := NewWithT(t)
	valid := Route{Name: "a", Host: "h", PathPrefix: "/a", MaxAttempts: 1, Timeout: time.Second, Backends: []Backend{{Service: "s", Weight: 1}}}
	services := []Service{{Name: "s"}}
	g.Expect(Check(&Config{Routes: []Route{valid}, Services: services, Tenants: []Tenant{{Name: "t", Keys: []string{"k"}}}})).To(BeEmpty())

	unknownService := valid
	unknownService.Name, unknownService.PathPrefix, unknownService.Backends = "b", "/b", []Backend{{Service: "gone", Weight: 1}}
	zeroWeight := valid
	zeroWeight.Name, zeroWeight.PathPrefix, zeroWeight.Backends = "c", "c", []Backend{{Service: "s"}}
	targetBeyondTimeout := valid
	targetBeyondTimeout.Name, targetBeyondTimeout.Host, targetBeyondTimeout.LatencyTarget, targetBeyondTimeout.MaxAttempts = "d", "H", 2*time.Second, 0
	faults := Check(&Config{
		Routes: []Route{valid, unknownService, zeroWeight, targetBeyondTimeout}, Services: append(services, Service{Name: "s"}),
		Tenants: []Tenant{{Name: "t", Keys: []string{"secret"}}, {Name: "u", Keys: []string{"secret"}}, {}},
	})
	g.Expect(faults).To(ConsistOf(
		`service "s": defined more than once`,
		`route "b": service "gone" does not exist`,
		`route "c": path prefix "c" does not begin with /`,
		`route "c": no service has a positive weight`,
		`route of host and path "h/a": defined more than once`,
		`route "d": latency target of 2s exceeds the timeout of 1s`,
		`route "d": at least one attempt is required`,
		`tenant "u": shares a key with tenant "t"`,
		`tenant: a name is required`,
	))
}
