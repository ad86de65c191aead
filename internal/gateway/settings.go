package gateway

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"
)

// Settings are the settings with which a gateway process is started.
type Settings struct {
	Node string
	Zone string
	// Region is the region of the zone, and ZoneRegions the region of each zone of the deployment.
	// Both are empty if the settings name no regions.
	Region      string
	ZoneRegions map[string]string
	// CallerAddress and ReadyAddress are the IP:ports to listen on for callers and for the
	// readiness check.
	CallerAddress string
	ReadyAddress  string
	// MetricsAddress is the IP:port to serve metrics and status on; empty disables both.
	MetricsAddress string
	// PeerAddress is the IP:port at which other routers reach this one. If it is empty, this
	// router does not serve others and reads the store itself.
	PeerAddress string
	// PeerBindAddress is the IP:port to listen on for other routers if it differs from
	// PeerAddress, for example behind a port forward. Empty means PeerAddress.
	PeerBindAddress string
	// Seeds are the peer addresses of the routers that read the store on behalf of others. These
	// routers may be down, and the list may be outdated.
	Seeds []string
	// FirstStart is set if the whole system is started for the first time.
	FirstStart bool
	// DirectFollowers is the number of routers that a seed serves itself before it refers
	// others to relays in their zones.
	DirectFollowers int
	// CPUShare is the share of a core that this machine has, and LinkMegabits the speed of its
	// link in Mbit/s. 0 means unknown.
	CPUShare     float64
	LinkMegabits float64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// StoreAddress is the IP:port of the store.
	StoreAddress string
	// ConfigLease is how long a configuration may be used for requests with an API key, counted
	// from when the call that proved it was sent.
	ConfigLease time.Duration
	// DrainGrace is the time from the stop signal to the end of the process.
	DrainGrace time.Duration
	// WeightDeadline is the time after which newly named weights must have replaced older ones.
	WeightDeadline time.Duration
	// WeightGrace is how long older weights count as equal to newer ones after the newer ones
	// were named.
	WeightGrace time.Duration
	// SettleTime is how long after its start a router may use older weights if it does not know
	// when newer ones were named.
	SettleTime time.Duration
	// StartWait is how long a call may wait at a router that has just started, until
	// configuration and runners are known.
	StartWait time.Duration
	// PlacePatience is the maximum time that a call waits for a scheduler's choice once its
	// body has arrived.
	PlacePatience time.Duration
	// AwaitRunning makes a runner finish its running requests before it loads new weights.
	// Otherwise these requests continue with the new weights.
	AwaitRunning bool
	// CopyRuns lets runners copy the state of streams that may not be repeated to another
	// runner while they grow, so that the stream survives the loss of its runner. It is off by
	// default: the copies take as much memory as the runs, which evicts shared prompt parts
	// (docs/POLICY.md has the costs and savings).
	CopyRuns bool
	// LeaseGap is the minimum time between the orders of two lease holders.
	LeaseGap time.Duration
	// RetryShare is the fraction of requests that all routers together may retry, and
	// RetryReserve the number of retries that this router may make at once when there is little
	// traffic.
	RetryShare   float64
	RetryReserve float64
	// QuotaWindow is the time over which a tenant's quota is enforced. A request that needs
	// more than the quota allows within this time can never be served.
	QuotaWindow time.Duration
	// QuotaTolerance is the share of a tenant's quota within the window by which it may be exceeded.
	QuotaTolerance float64
	// RetrySlack is the number of retries that all routers together may make at once beyond
	// RetryShare. 0 disables the common limit.
	RetrySlack float64
	// ExposedShare is the largest share of a service's requests that a bad new software version
	// may get while the service is moved to it. 0 means that no service is ever moved.
	ExposedShare float64
	// ExposedSlack is the number of requests that a bad new software version may get beyond
	// ExposedShare.
	ExposedSlack float64
}

// Defaults of the settings.
const (
	defaultConfigLease    = 5 * time.Second
	defaultDrainGrace     = 8 * time.Second
	defaultWeightDeadline = 8 * time.Second
	defaultWeightGrace    = 1500 * time.Millisecond
	defaultSettleTime     = 3 * time.Second
	defaultLeaseGap       = 3 * time.Second
	// A router whose seeds do not respond has read the store 0.12 s after its start. This
	// leaves half of the 0.3 s within which the fastest routes must respond.
	defaultStartWait = 150 * time.Millisecond
	// A response takes 0.2 to 2 ms, and the fastest routes must respond within 120 ms.
	// Schedulers farther away than this are of no use.
	defaultPlacePatience = 10 * time.Millisecond
	// A deployment of 69 routers has 22 for each of three seeds and needs no second level.
	defaultDirectFollowers = 24
	defaultRetryShare      = 0.2
	defaultRetryReserve    = 5
	defaultQuotaWindow     = 8 * time.Second
	defaultMemoryBytes     = 256 << 20
)

// SetDefaults sets the fields that are zero to their defaults.
func (s *Settings) SetDefaults() {
	if s.Region == "" {
		s.Region = s.ZoneRegions[s.Zone]
	}
	setDefaultDuration(&s.ConfigLease, defaultConfigLease)
	setDefaultDuration(&s.DrainGrace, defaultDrainGrace)
	setDefaultDuration(&s.WeightDeadline, defaultWeightDeadline)
	setDefaultDuration(&s.WeightGrace, defaultWeightGrace)
	setDefaultDuration(&s.SettleTime, defaultSettleTime)
	setDefaultDuration(&s.LeaseGap, defaultLeaseGap)
	setDefaultDuration(&s.QuotaWindow, defaultQuotaWindow)
	setDefaultDuration(&s.StartWait, defaultStartWait)
	setDefaultDuration(&s.PlacePatience, defaultPlacePatience)
	if s.MemoryBytes == 0 {
		s.MemoryBytes = defaultMemoryBytes
	}
	if s.DirectFollowers == 0 {
		s.DirectFollowers = defaultDirectFollowers
	}
	if s.RetryShare == 0 {
		s.RetryShare = defaultRetryShare
	}
	if s.RetryReserve == 0 {
		s.RetryReserve = defaultRetryReserve
	}
}

// Resources that one follower needs, and the fraction of a machine that all of them may use.
const (
	// relayResourceShare is the fraction of the CPU and of the link that may be used for
	// followers.
	relayResourceShare = 0.05
	// cpuPerFollower is the share of a core needed for one follower: 7 pulls per second at an
	// estimated 0.1 ms each.
	cpuPerFollower = 0.0007
	// megabitsPerFollower is the traffic to one follower in Mbit/s: an estimated 10 KB/s of
	// prompt parts and changes.
	megabitsPerFollower = 0.08
	// defaultRelayCapacity is used for machines whose CPU and link are not in the settings.
	defaultRelayCapacity = 16
)

// relayCapacity returns the number of routers to which this one can relay changes.
func (s *Settings) relayCapacity() int {
	if s.CPUShare <= 0 || s.LinkMegabits <= 0 {
		return defaultRelayCapacity
	}
	return max(1, int(relayResourceShare*min(s.CPUShare/cpuPerFollower, s.LinkMegabits/megabitsPerFollower)))
}

func setDefaultDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Check returns all errors in the settings.
func (s *Settings) Check() []string {
	var faults []string
	if s.Node == "" {
		faults = append(faults, "node: a name is required")
	}
	for _, address := range []struct {
		name, value string
		required    bool
	}{
		{"caller address", s.CallerAddress, true},
		{"ready address", s.ReadyAddress, true},
		{"store address", s.StoreAddress, true},
		{"metrics address", s.MetricsAddress, false},
		{"peer address", s.PeerAddress, false},
		{"peer bind address", s.PeerBindAddress, false},
	} {
		if address.value == "" && !address.required {
			continue
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			faults = append(faults, fmt.Sprintf("%s: %q is not IP:port", address.name, address.value))
		}
	}
	for _, duration := range []struct {
		name  string
		value time.Duration
	}{
		{"configuration lease", s.ConfigLease}, {"drain grace", s.DrainGrace},
		{"weight deadline", s.WeightDeadline}, {"lease gap", s.LeaseGap},
		{"start wait", s.StartWait}, {"placement patience", s.PlacePatience}, {"quota window", s.QuotaWindow},
	} {
		if duration.value < 0 {
			faults = append(faults, duration.name+": must not be negative")
		}
	}
	if s.RetryReserve < 0 || s.RetrySlack < 0 {
		faults = append(faults, "retry reserve and slack: must not be negative")
	}
	if s.DirectFollowers < 0 || s.CPUShare < 0 || s.LinkMegabits < 0 {
		faults = append(faults, "direct followers, processor share and link: must not be negative")
	}
	if s.MemoryBytes < 0 {
		faults = append(faults, "memory: must not be negative")
	}
	if s.ExposedShare < 0 || s.ExposedShare > 1 {
		faults = append(faults, "exposed share: must be between 0 and 1")
	}
	if s.QuotaTolerance < 0 || s.QuotaTolerance > 1 {
		faults = append(faults, "quota tolerance: must be between 0 and 1")
	}
	if s.ExposedSlack < 0 {
		faults = append(faults, "exposed slack: must not be negative")
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		faults = append(faults, "retry share: must be between 0 and 1")
	}
	return append(faults, s.checkRegions()...)
}

// checkRegions returns the errors in the regions. Where the settings name fewer than two, nothing uses
// them, and a router must not refuse to start because of them.
func (s *Settings) checkRegions() []string {
	if len(slices.Compact(slices.Sorted(maps.Values(s.ZoneRegions)))) < 2 {
		return nil
	}
	var faults []string
	for _, zone := range slices.Sorted(maps.Keys(s.ZoneRegions)) {
		if s.ZoneRegions[zone] == "" {
			faults = append(faults, fmt.Sprintf("zones: zone %q has no region", zone))
		}
	}
	switch region, listed := s.ZoneRegions[s.Zone]; {
	case !listed:
		faults = append(faults, fmt.Sprintf("zone: %q is not among the zones", s.Zone))
	case s.Region != "" && s.Region != region:
		faults = append(faults, fmt.Sprintf("region: %q is not the region of zone %q, which is %q", s.Region, s.Zone, region))
	}
	return faults
}
