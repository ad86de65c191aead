package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/socketowner"
)

// Regions of a run.
const (
	minRegions, maxRegions = 2, 3
	zonesPerRegion         = 2
	// regionGateways is the default number of gateways in a run with regions, so that three regions
	// have two each. The seeds are in the first two regions.
	regionGateways = 6
	// regionDelay is the one-way delay between regions of the measured deployment.
	regionDelay = 20 * time.Millisecond
	// meanBorderCutInterval is the mean interval between two cuts of a border, and minBorderCut and
	// maxBorderCut bound their duration.
	meanBorderCutInterval      = 5 * time.Second
	minBorderCut, maxBorderCut = time.Second, 6 * time.Second
	// oneZone is the zone of all gateways and runners in a run without regions.
	oneZone = "z"
)

// topology holds the zones and regions of a run, and the proxies of the servers in them. It is safe
// for concurrent use.
type topology struct {
	// zones lists the zones so that successive ones are in different regions.
	zones []string
	// regions lists the regions, and regionOf holds the region of each zone. Both are empty in a run
	// without regions.
	regions  []string
	regionOf map[string]string
	// failf fails the run.
	failf func(format string, args ...any)

	mutex sync.Mutex
	// gateways holds the gateways whose connections may cross a border.
	gateways []*process
	proxies  []regionalProxy
	// cutRegion is the region whose border is cut, empty for none.
	cutRegion string
	// knowsClients is set if proxies of runners tell gateways apart, so that single ones can be cut off.
	knowsClients bool
	// cutsPeers is the same for proxies of gateways.
	cutsPeers bool
}

// regionalProxy is the proxy of a server in a region.
type regionalProxy struct {
	*faultproxy.Proxy
	region string
}

// newSingleZone returns a topology with one zone and no regions.
func newSingleZone() *topology { return &topology{zones: []string{oneZone}} }

// newPartitionTopology returns a topology of three zones in which single gateways can be cut off runners.
func newPartitionTopology(failf func(format string, args ...any)) *topology {
	return &topology{zones: []string{"zone-0", "zone-1", "zone-2"}, failf: failf, knowsClients: true}
}

// newRegionTopology returns a topology with a random number of regions.
func newRegionTopology(random *rand.Rand, failf func(format string, args ...any)) *topology {
	t := &topology{regionOf: map[string]string{}, failf: failf}
	for i := range minRegions + random.IntN(maxRegions-minRegions+1) {
		t.regions = append(t.regions, fmt.Sprintf("region-%d", i))
	}
	for i := range zonesPerRegion {
		for _, region := range t.regions {
			zone := fmt.Sprintf("%s-zone-%d", region, i)
			t.zones = append(t.zones, zone)
			t.regionOf[zone] = region
		}
	}
	return t
}

func (t *topology) hasRegions() bool { return len(t.regions) > 0 }

// zone returns the zone of the gateway or runner with the number.
func (t *topology) zone(number int) string { return t.zones[number%len(t.zones)] }

// addGateway makes the regions of the gateway's connections known to proxies.
func (t *topology) addGateway(p *process) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.gateways = append(t.gateways, p)
}

func (t *topology) knownGateways() []*process {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.gateways)
}

// startProxy starts a proxy in front of a server in the zone. Connections of gateways in other regions
// are delayed, and dropped while a border between the regions is cut.
func (t *topology) startProxy(server, zone string) (*faultproxy.Proxy, error) {
	if !t.hasRegions() {
		return faultproxy.Start(server)
	}
	proxy, err := faultproxy.StartGrouped(server, t.clientRegion)
	if err != nil {
		return nil, err
	}
	added := regionalProxy{proxy, t.regionOf[zone]}
	for _, region := range t.regions {
		if region != added.region {
			proxy.SetGroupDelay(region, regionDelay)
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.proxies = append(t.proxies, added)
	t.applyCut(added)
	return proxy, nil
}

// startRunnerProxy starts a proxy in front of a runner in the zone.
func (t *topology) startRunnerProxy(runner, zone string) (*faultproxy.Proxy, error) {
	if t.knowsClients {
		return faultproxy.StartGrouped(runner, t.clientName)
	}
	return t.startProxy(runner, zone)
}

// startPeerProxy starts a proxy in front of a gateway in the zone.
func (t *topology) startPeerProxy(gateway, zone string) (*faultproxy.Proxy, error) {
	if t.cutsPeers {
		return faultproxy.StartGrouped(gateway, t.clientName)
	}
	return t.startProxy(gateway, zone)
}

// clientName returns the name of the gateway that has the connection to the proxy open, empty if it is none
// of the gateways.
func (t *topology) clientName(client, proxy *net.TCPAddr) string {
	if p := t.clientGateway(client, proxy); p != nil {
		return p.name
	}
	return ""
}

// clientRegion returns the region of the gateway that has the connection to the proxy open, empty if it
// is none of the gateways.
func (t *topology) clientRegion(client, proxy *net.TCPAddr) string {
	if p := t.clientGateway(client, proxy); p != nil {
		return t.regionOf[p.zone]
	}
	return ""
}

// clientGateway returns the gateway that has the connection to the proxy open, nil if it is none of them.
func (t *topology) clientGateway(client, proxy *net.TCPAddr) *process {
	inode, err := socketowner.Inode(client, proxy)
	switch {
	case trace.IsNotFound(err):
		// The client has closed the connection.
		return nil
	case err != nil:
		t.failf("soak: the gateway of the connection of %v is not known: %v", client, err)
		return nil
	}
	for _, p := range t.knownGateways() {
		if socketowner.IsOpenIn(p.processID(), inode) {
			return p
		}
	}
	return nil
}

// cutBorder cuts all connections between the region and the others. An empty region ends the cut.
func (t *topology) cutBorder(region string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cutRegion = region
	for _, proxy := range t.proxies {
		t.applyCut(proxy)
	}
}

// applyCut cuts the groups of the proxy as the cut border requires. The mutex must be held.
func (t *topology) applyCut(proxy regionalProxy) {
	for _, region := range t.regions {
		crosses := region != proxy.region && (region == t.cutRegion || proxy.region == t.cutRegion)
		proxy.SetGroupCut(region, crosses)
	}
}

// borderInjector cuts the border of one region after the other. It has its own random source, so that
// the other faults of a seed do not change.
type borderInjector struct {
	soak   *Soak
	random *rand.Rand
}

func newBorderInjector(s *Soak, random *rand.Rand) *borderInjector {
	return &borderInjector{soak: s, random: random}
}

// run cuts borders until the deadline and returns the number of cuts.
func (f *borderInjector) run(ctx context.Context, deadline time.Time) (count int) {
	for {
		time.Sleep(meanBorderCutInterval/2 + time.Duration(f.random.Int64N(int64(meanBorderCutInterval))))
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return count
		}
		f.cut(minBorderCut + time.Duration(f.random.Int64N(int64(maxBorderCut-minBorderCut))))
		count++
	}
}

// cut cuts the border of a random region for the duration. It is recorded as a disturbance of the paths to
// runners only: gateways that lose their seeds must keep the bounds on times through the store.
func (f *borderInjector) cut(duration time.Duration) {
	s := f.soak
	region := s.topology.regions[f.random.IntN(len(s.topology.regions))]
	s.logf("fault: the border of %s is cut for %v", region, duration.Round(time.Millisecond))
	for _, runner := range s.runners.running() {
		defer s.disturbances.begin(runnerPathSubject(runner.ID))()
	}
	s.topology.cutBorder(region)
	time.Sleep(duration)
	s.topology.cutBorder("")
}
