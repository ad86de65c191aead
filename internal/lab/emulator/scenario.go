// Package emulator runs the product's placement and admission code against
// emulated engines in virtual time, beside baselines and an oracle, and reports
// the users' measures. A run is a pure function of its settings and seed.
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
	// HitWeight is the pool's weight between hits and queues.
	HitWeight float64
	// LoadTime is how long a runner loads weights; LoadsAtOnce run at full speed.
	LoadTime    time.Duration
	LoadsAtOnce int
	Workload    workload.Settings
}

// Deployments returns the users' two fleets at their sizes of today.
func Deployments() []Deployment {
	catchUp := workload.DefaultSettings()
	catchUp.CatchUpShare = 1
	cards := workload.DefaultSettings()
	cards.CatchUpShare = 0
	return []Deployment{
		{Name: "catch-up", Model: "penyiar-lm", Runners: 20, HitWeight: 1, LoadTime: 500 * time.Millisecond, LoadsAtOnce: 3, Workload: catchUp},
		{Name: "card-review", Model: "llm-examen", Runners: 12, HitWeight: 1, LoadTime: 300 * time.Millisecond, LoadsAtOnce: 2, Workload: cards},
	}
}

// EngineSettings returns the emulated engines' speeds: 16,000 prompt tokens a
// second each, and a cache of 128,000 tokens.
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

// Faults are what goes wrong in a run.
type Faults struct {
	// EventLag and LoadLag are the age of cache events and load reports.
	EventLag, LoadLag time.Duration
	// EventLoss is the share of event batches lost.
	EventLoss float64
	// Crash restarts an engine with an empty cache, at a third of the run.
	Crash bool
	// HerdRestart empties all routers' memory, at half of the run.
	HerdRestart bool
	// Rollout loads new weights on all runners, from two thirds of the run on.
	Rollout bool
	// Cut makes a third of requests placed without the index for a tenth of the run.
	Cut bool
	// Shift moves the popular prefixes, at a quarter of the run.
	Shift bool
}

// AllFaults returns every fault at its usual strength.
func AllFaults() Faults {
	return Faults{
		EventLag: 200 * time.Millisecond, LoadLag: 200 * time.Millisecond, EventLoss: 0.05,
		Crash: true, HerdRestart: true, Rollout: true, Cut: true, Shift: true,
	}
}

// Settings of one run.
type Settings struct {
	Deployment Deployment
	Engine     enginemodel.Settings
	Faults     Faults
	Policy     Policy
	// Rate is requests a second on average; bursts double it for a tenth of the time.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// MaxWait is the longest accepted expected wait by tier; 0 admits everything.
	MaxWait [Tiers]time.Duration
	Routers int
	// Stride is the distance in blocks between indexed blocks.
	Stride int
}

// Tiers is the number of priority tiers in emulated traffic.
const Tiers = 3

// BlockBytes and BlockTokens are the size of a cache block.
const (
	BlockBytes  = 64
	BlockTokens = 16
)
