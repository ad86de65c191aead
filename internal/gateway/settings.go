package gateway

import (
	"fmt"
	"net"
	"time"
)

// Settings are what a gateway process is started with.
type Settings struct {
	Node string
	Zone string
	// CallerAddress and ReadyAddress are the IP:ports for callers and for the
	// readiness check.
	CallerAddress string
	ReadyAddress  string
	// MetricsAddress serves the counters; empty serves none.
	MetricsAddress string
	// PeerAddress is the IP:port for other routers; empty serves none and
	// makes this router read the store itself.
	PeerAddress string
	// PeerBindAddress is the IP:port to listen at for other routers when they reach this
	// one at another, as behind a port forward; empty stands for PeerAddress.
	PeerBindAddress string
	// Seeds are peer addresses of routers that read the store for others. They
	// may be down or out of date.
	Seeds []string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	// DirectFollowers is how many routers a seed answers before it refers others to
	// relays of their zones.
	DirectFollowers int
	// CPUShare is this machine's share of a core, and LinkMegabits its link's speed in
	// Mbit/s; 0 means that they are not known.
	CPUShare     float64
	LinkMegabits float64
	// StoreAddress is the IP:port of the store.
	StoreAddress string
	// ConfigLease is how long a configuration may be used for requests with a
	// key after the call that proved it was sent.
	ConfigLease time.Duration
	// DrainGrace is the time between the signal to stop and the end.
	DrainGrace time.Duration
	// WeightDeadline is the time within which named weights replace older ones.
	WeightDeadline time.Duration
	// WeightGrace is how long after newer weights were named older ones are as
	// good as these.
	WeightGrace time.Duration
	// SettleTime is how long after its start a router may use older weights
	// whose naming it has not seen.
	SettleTime time.Duration
	// StartWait is how long a call may wait at a router that has just started until
	// configuration and runners are known.
	StartWait time.Duration
	// PlacePatience is the longest wait of a call for a scheduler's choice, beyond the
	// arrival of its body.
	PlacePatience time.Duration
	// AwaitRunning makes a runner finish its running requests before it takes
	// new weights; otherwise they go on under the new weights.
	AwaitRunning bool
	// CopyRuns lets runners copy the memory of streams that may not be repeated
	// to another runner as they grow, so that the stream survives its runner. Off
	// by default: the copies take as much memory as the runs, which pushes shared
	// prompt parts out (docs/POLICY.md has what they cost and save).
	CopyRuns bool
	// LeaseGap is the least time between the orders of two lease holders.
	LeaseGap time.Duration
	// RetryShare is the share of requests that all routers together may send a
	// second time, and RetryReserve how many this one may send at once when
	// there is little traffic.
	RetryShare   float64
	RetryReserve float64
	// QuotaWindow is the time over which a tenant's limit is judged: what is larger
	// than the limit allows within it can never be served.
	QuotaWindow time.Duration
	// RetrySlack is how many all routers together may send in this way; 0 sets
	// no common bound.
	RetrySlack float64
}

// Defaults of settings that are not given.
const (
	defaultConfigLease    = 5 * time.Second
	defaultDrainGrace     = 8 * time.Second
	defaultWeightDeadline = 8 * time.Second
	defaultWeightGrace    = 1500 * time.Millisecond
	defaultSettleTime     = 3 * time.Second
	defaultLeaseGap       = 3 * time.Second
	// defaultStartWait: a router whose seeds are silent has read the store 0.12 s
	// after its start, and half of the 0.3 s in which the quickest routes are to
	// answer is left.
	defaultStartWait = 150 * time.Millisecond
	// defaultPlacePatience: an answer takes 0.2 to 2 ms, and the quickest routes are to
	// answer within 120 ms. Farther schedulers are of no use.
	defaultPlacePatience = 10 * time.Millisecond
	// defaultDirectFollowers: a fleet of 69 routers has 22 for each of three seeds and
	// needs no second level.
	defaultDirectFollowers = 24
	defaultRetryShare      = 0.2
	defaultRetryReserve    = 5
	defaultQuotaWindow     = 8 * time.Second
)

// SetDefaults fills in what is not given.
func (s *Settings) SetDefaults() {
	setDuration(&s.ConfigLease, defaultConfigLease)
	setDuration(&s.DrainGrace, defaultDrainGrace)
	setDuration(&s.WeightDeadline, defaultWeightDeadline)
	setDuration(&s.WeightGrace, defaultWeightGrace)
	setDuration(&s.SettleTime, defaultSettleTime)
	setDuration(&s.LeaseGap, defaultLeaseGap)
	setDuration(&s.QuotaWindow, defaultQuotaWindow)
	setDuration(&s.StartWait, defaultStartWait)
	setDuration(&s.PlacePatience, defaultPlacePatience)
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

// What answering one follower takes, and the part of a machine that it may take.
const (
	// relayShare is the part of the processor and of the link for followers.
	relayShare = 0.05
	// followerCPU is the share of a core for one follower: 7 pulls a second of an
	// estimated 0.1 ms.
	followerCPU = 0.0007
	// followerMegabits is what one follower is sent, in Mbit/s: an estimated 10 KB/s
	// of prompt parts and changes.
	followerMegabits = 0.08
	// unknownCapacity is for machines that the settings do not describe.
	unknownCapacity = 16
)

// relayCapacity is how many routers this one could pass changes on to.
func (s *Settings) relayCapacity() int {
	if s.CPUShare <= 0 || s.LinkMegabits <= 0 {
		return unknownCapacity
	}
	return max(1, int(relayShare*min(s.CPUShare/followerCPU, s.LinkMegabits/followerMegabits)))
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Check returns all faults of the settings.
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
	if s.RetryShare < 0 || s.RetryShare > 1 {
		faults = append(faults, "retry share: must be between 0 and 1")
	}
	return faults
}
