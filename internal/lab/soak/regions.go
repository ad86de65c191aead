package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

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

// geography holds the zones and regions of a run, and the proxies that a border lies in front of. It
// is safe for concurrent use.
type geography struct {
	// zones lists the zones so that successive ones are in different regions.
	zones []string
	// regions lists the regions, and regionOf holds the region of each zone. Both are empty in a run
	// without regions.
	regions  []string
	regionOf map[string]string

	mutex sync.Mutex
	// gateways holds the gateways whose connections may cross a border.
	gateways []*process
	proxies  []regionalProxy
	// cutRegion is the region whose border is cut, empty for none.
	cutRegion string
}

// regionalProxy is the proxy of a server in a region.
type regionalProxy struct {
	*faultproxy.Proxy
	region string
}

// newGeography returns a geography with one zone and no regions.
func newGeography() *geography { return &geography{zones: []string{oneZone}} }

// newRegions returns a geography with a random number of regions.
func newRegions(random *rand.Rand) *geography {
	g := &geography{regionOf: map[string]string{}}
	for i := range minRegions + random.IntN(maxRegions-minRegions+1) {
		g.regions = append(g.regions, fmt.Sprintf("region-%d", i))
	}
	for i := range zonesPerRegion {
		for _, region := range g.regions {
			zone := fmt.Sprintf("%s-zone-%d", region, i)
			g.zones = append(g.zones, zone)
			g.regionOf[zone] = region
		}
	}
	return g
}

func (g *geography) hasRegions() bool { return len(g.regions) > 0 }

// zone returns the zone of the gateway or runner with the number.
func (g *geography) zone(number int) string { return g.zones[number%len(g.zones)] }

// addGateway makes the regions of the gateway's connections known to proxies.
func (g *geography) addGateway(p *process) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.gateways = append(g.gateways, p)
}

func (g *geography) knownGateways() []*process {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.gateways)
}

// startProxy starts a proxy in front of a server in the zone. Connections of gateways in other regions
// are delayed, and dropped while a border between the regions is cut.
func (g *geography) startProxy(server, zone string) (*faultproxy.Proxy, error) {
	if !g.hasRegions() {
		return faultproxy.Start(server)
	}
	proxy, err := faultproxy.StartGrouped(server, g.clientRegion)
	if err != nil {
		return nil, err
	}
	added := regionalProxy{proxy, g.regionOf[zone]}
	for _, region := range g.regions {
		if region != added.region {
			proxy.SetGroupDelay(region, regionDelay)
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.proxies = append(g.proxies, added)
	g.applyCut(added)
	return proxy, nil
}

// clientRegion returns the region of the gateway that has the connection to the proxy open, empty if it
// is none of the gateways.
func (g *geography) clientRegion(client, proxy *net.TCPAddr) string {
	inode, err := socketowner.Inode(client, proxy)
	if err != nil {
		// The client has closed the connection.
		return ""
	}
	for _, p := range g.knownGateways() {
		if socketowner.IsOpenIn(p.processID(), inode) {
			return g.regionOf[p.zone]
		}
	}
	return ""
}

// cutBorder cuts all connections between the region and the others. An empty region ends the cut.
func (g *geography) cutBorder(region string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cutRegion = region
	for _, proxy := range g.proxies {
		g.applyCut(proxy)
	}
}

// applyCut cuts the groups of the proxy as the cut border requires. The mutex must be held.
func (g *geography) applyCut(proxy regionalProxy) {
	for _, region := range g.regions {
		crosses := region != proxy.region && (region == g.cutRegion || proxy.region == g.cutRegion)
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
	region := s.geography.regions[f.random.IntN(len(s.geography.regions))]
	s.logf("fault: the border of %s is cut for %v", region, duration.Round(time.Millisecond))
	for _, runner := range s.runners.running() {
		defer s.disturbances.begin(runnerPathSubject(runner.ID))()
	}
	s.geography.cutBorder(region)
	time.Sleep(duration)
	s.geography.cutBorder("")
}
