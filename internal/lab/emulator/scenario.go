// Package emulator runs the product's placement and admission code, baselines and an oracle
// against emulated engines in virtual time, and measures hit rates, latencies and refusals. A run
// is a pure function of its settings and seed.
package emulator

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
	"github.com/clovertiller/clovertiller/internal/lab/workload"
)

// Deployment is one of the users' fleets.
type Deployment struct {
	Name    string
	Model   string
	Runners int
	// HitWeight is the cost of an uncached prompt token relative to a queued one in the pool's
	// placement score.
	HitWeight float64
	// LoadTime is how long a runner takes to load weights. ConcurrentLoads is the number of
	// concurrent loads that run at full speed, and the maximum during a rollout.
	LoadTime        time.Duration
	ConcurrentLoads int
	Workload        workload.Settings
}

// Deployments returns the users' two fleets at their current sizes.
func Deployments() []Deployment {
	catchUp := workload.DefaultSettings()
	catchUp.CatchUpShare = 1
	cardReview := workload.DefaultSettings()
	cardReview.CatchUpShare = 0
	return []Deployment{
		{Name: "catch-up", Model: "penyiar-lm", Runners: 20, HitWeight: 1, LoadTime: 500 * time.Millisecond, ConcurrentLoads: 3, Workload: catchUp},
		{Name: "card-review", Model: "llm-examen", Runners: 12, HitWeight: 1, LoadTime: 300 * time.Millisecond, ConcurrentLoads: 2, Workload: cardReview},
	}
}

// EngineSettings returns the settings of the emulated engines. Each computes 16,000 prompt tokens
// per second and caches 128,000 tokens.
func EngineSettings() enginemodel.Settings {
	return enginemodel.Settings{
		CacheBlocks:         8000,
		MaxRunning:          32,
		MaxWaiting:          4096,
		BaseStepTime:        10 * time.Millisecond,
		TimePerPromptToken:  50 * time.Microsecond,
		TimePerSequence:     200 * time.Microsecond,
		MaxStepPromptTokens: 1024,
	}
}

// Faults are the faults that a run emulates.
type Faults struct {
	// EventLag and LoadLag delay the cache events and the load reports.
	EventLag, LoadLag time.Duration
	// EventLoss is the probability that a cache event, a batch of changes, is lost, 0 to 1.
	EventLoss float64
	// Crash restarts an engine with an empty cache after a third of the run.
	Crash bool
	// RestartRouters restarts all routers with empty state after half of the run.
	RestartRouters bool
	// Rollout loads new weights on all runners, starting after two thirds of the run.
	Rollout bool
	// Partition makes the routers place a third of the requests without the index for a tenth of
	// the run.
	Partition bool
	// ShiftPopularity makes other prefixes the popular ones after a quarter of the run.
	ShiftPopularity bool
}

// AllFaults returns the settings of a run with every fault, at the strength used for reports.
func AllFaults() Faults {
	return Faults{
		EventLag: 200 * time.Millisecond, LoadLag: 200 * time.Millisecond, EventLoss: 0.05,
		Crash: true, RestartRouters: true, Rollout: true, Partition: true, ShiftPopularity: true,
	}
}

// Settings configures a run.
type Settings struct {
	Deployment Deployment
	Engine     enginemodel.Settings
	Faults     Faults
	Policy     Policy
	// RequestsPerSecond is the average rate of new requests. Bursts double it for a tenth of the
	// time.
	RequestsPerSecond float64
	Duration          time.Duration
	Seed              uint64
	// MaxWait is the maximum expected wait of an admitted request by tier; 0 means no limit.
	MaxWait [Tiers]time.Duration
	Routers int
	// AnchorStride is the distance in blocks between the blocks of a prompt that are indexed.
	AnchorStride int
}

// Tiers is the number of priority tiers in emulated traffic.
const Tiers = 3

// BlockBytes and BlockTokens are the size of a cache block in bytes of text and in tokens.
const (
	BlockBytes  = 64
	BlockTokens = 16
)
