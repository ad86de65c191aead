package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// regionFixture has regions in which this process is a gateway of the first one.
type regionFixture struct {
	*WithT
	t *testing.T
	*topology
}

func newRegionFixture(t *testing.T) *regionFixture {
	g := NewWithT(t)
	self, err := os.FindProcess(os.Getpid())
	g.Expect(err).NotTo(HaveOccurred())
	topology := newRegionTopology(rand.New(rand.NewPCG(1, 1)), t.Errorf)
	topology.addGateway(&process{zone: topology.zone(0), command: &exec.Cmd{Process: self}})
	return &regionFixture{WithT: g, t: t, topology: topology}
}

// ask returns a function that calls a server in the zone through its proxy, and returns the time that
// this takes, or the error.
func (s *regionFixture) ask(zone string) func() (time.Duration, error) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, "answer") }))
	s.t.Cleanup(server.Close)
	proxy, err := s.startProxy(server.Listener.Addr().String(), zone)
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(proxy.Close)
	return func() (time.Duration, error) {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 500 * time.Millisecond}
		start := time.Now()
		response, err := client.Get("http://" + proxy.Address)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return time.Since(start), err
	}
}

// Guards against runs with regions whose borders neither delay nor cut, so that all promises hold.
func TestBordersDelayAndCut(t *testing.T) {
	s := newRegionFixture(t)
	near, far := s.ask(s.zone(0)), s.ask(s.zone(1))
	// expectServed checks the shortest of some calls, since a busy machine delays some.
	expectServed := func(ask func() (time.Duration, error), shortest OmegaMatcher) {
		t.Helper()
		var times []time.Duration
		for range 5 {
			took, err := ask()
			s.Expect(err).NotTo(HaveOccurred())
			times = append(times, took)
		}
		s.Expect(slices.Min(times)).To(shortest)
	}
	expectServed(near, BeNumerically("<", 2*regionDelay))
	expectServed(far, BeNumerically(">=", 2*regionDelay))
	for _, region := range []string{s.regions[0], s.regions[1]} {
		s.cutBorder(region)
		expectServed(near, BeNumerically("<", 2*regionDelay))
		_, err := far()
		s.Expect(err).To(HaveOccurred(), "the border of %s is cut", region)
		_, err = s.ask(s.zone(1))()
		s.Expect(err).To(HaveOccurred(), "a proxy that is started during the cut")
		s.cutBorder("")
		expectServed(far, BeNumerically(">=", 2*regionDelay))
	}
}

// Gateways, and the runners of each version, must not all lie in one region.
func TestSuccessiveZonesAreInDifferentRegions(t *testing.T) {
	for seed := range uint64(10) {
		g := NewWithT(t)
		topology := newRegionTopology(rand.New(rand.NewPCG(seed, 0)), t.Errorf)
		var regions []string
		for i := range topology.regions {
			regions = append(regions, topology.regionOf[topology.zone(i)])
		}
		slices.Sort(regions)
		g.Expect(regions).To(Equal(topology.regions))
	}
}
