// Package enginemodel is a model of a language-model engine: continuous
// batching, a prompt cache of limited size, priorities and cancellation. It has
// no I/O and no clock; the HTTP stand-in runs it in real time, the emulator in
// virtual time.
//
// A step takes a base time, a time for each prompt token computed and a time
// for each sequence that produces a token.
package enginemodel

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/prefix"
)

// Settings are the engine's speeds and sizes.
type Settings struct {
	CapacityBlocks int
	MaxRunning     int
	MaxWaiting     int
	StepBase       time.Duration
	PerPromptToken time.Duration
	PerSequence    time.Duration
	// PromptBudget bounds the prompt tokens computed in one step.
	PromptBudget int
}

// DefaultSettings returns a small, fast engine for stand-ins.
func DefaultSettings() Settings {
	return Settings{
		CapacityBlocks: 4096,
		MaxRunning:     16,
		MaxWaiting:     1024,
		StepBase:       4 * time.Millisecond,
		PerPromptToken: 20 * time.Microsecond,
		PerSequence:    100 * time.Microsecond,
		PromptBudget:   1024,
	}
}

// PromptRate returns the prompt tokens computed a second at full budget.
func (s Settings) PromptRate() int {
	step := s.StepBase + time.Duration(s.PromptBudget)*s.PerPromptToken
	return int(float64(s.PromptBudget) / step.Seconds())
}

// ID identifies one attempt of a request.
type ID struct {
	Request string
	Attempt uint32
}

// Job is one attempt to run.
type Job struct {
	ID           ID
	Chain        prefix.Chain
	BlockTokens  int
	PromptTokens int
	// FirstToken is the number of output tokens an earlier attempt produced.
	FirstToken int
	// TotalTokens is the number of output tokens at which the job ends.
	TotalTokens int
	Priority    int
}

// sequence is a job in the engine.
type sequence struct {
	job      Job
	arrival  uint64
	computed int
	pinned   []uint64
	started  bool
	cached   int
	produced int
	// chunk is the prompt tokens being computed in the current step.
	chunk  int
	decode bool
}

func (s *sequence) remaining() int { return max(s.job.PromptTokens-s.computed, 0) }

// Output is what a step produced for a job.
type Output struct {
	ID ID
	// Started is true once, when the job's prompt begins to be computed.
	Started      bool
	CachedTokens int
	Offset       int
	Count        int
	Finished     bool
}

// Engine is the model. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	cache    *blockCache
	running  []*sequence
	waiting  []*sequence
	arrivals uint64
	// computedTokens counts all prompt tokens computed.
	computedTokens uint64
}

// New returns an idle engine with an empty cache.
func New(settings Settings) *Engine {
	return &Engine{settings: settings, cache: newBlockCache(settings.CapacityBlocks)}
}

// Submit queues a job. It returns false when the queue is full.
func (e *Engine) Submit(job Job) bool {
	if len(e.waiting) >= e.settings.MaxWaiting {
		return false
	}
	e.arrivals++
	queued := &sequence{job: job, arrival: e.arrivals, produced: job.FirstToken}
	queued.computed = min(e.cache.depth(job.Chain)*job.BlockTokens, max(job.PromptTokens-1, 0))
	e.waiting = append(e.waiting, queued)
	slices.SortStableFunc(e.waiting, before)
	return true
}

func before(a, b *sequence) int {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority - b.job.Priority
	}
	return int(int64(a.arrival) - int64(b.arrival))
}

// Cancel removes a job. It tells whether the job was there.
func (e *Engine) Cancel(id ID) bool {
	matches := func(s *sequence) bool { return s.job.ID == id }
	if i := slices.IndexFunc(e.waiting, matches); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	if i := slices.IndexFunc(e.running, matches); i >= 0 {
		e.cache.unpin(e.running[i].pinned)
		e.running = slices.Delete(e.running, i, i+1)
		return true
	}
	return false
}

// Busy tells whether a step has anything to do.
func (e *Engine) Busy() bool { return len(e.running)+len(e.waiting) > 0 }

// BeginStep plans a step and returns how long it takes; outputs of the start of
// jobs are returned at once. EndStep must follow after the duration.
func (e *Engine) BeginStep() (time.Duration, []Output) {
	e.admit()
	budget := e.settings.PromptBudget
	duration := e.settings.StepBase
	var started []Output
	slices.SortStableFunc(e.running, before)
	for _, s := range e.running {
		s.chunk, s.decode = 0, false
		e.skipCached(s)
		if s.remaining() > 0 {
			s.chunk = min(s.remaining(), budget)
			budget -= s.chunk
			duration += time.Duration(s.chunk) * e.settings.PerPromptToken
		}
		if s.chunk > 0 && !s.started {
			s.started = true
			s.cached = s.computed
			started = append(started, Output{ID: s.job.ID, Started: true, CachedTokens: s.cached})
		}
		// The step that computes the last prompt token also gives the first output token.
		if s.chunk == s.remaining() {
			s.decode = true
			duration += e.settings.PerSequence
		}
	}
	return duration, started
}

// admit moves waiting jobs into the running batch.
func (e *Engine) admit() {
	for len(e.running) < e.settings.MaxRunning && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.computed = 0
		e.running = append(e.running, next)
	}
}

// skipCached moves over blocks that are cached, by this job's past or another
// job's work. At least one prompt token is always computed.
func (e *Engine) skipCached(s *sequence) {
	for {
		index := s.computed / s.job.BlockTokens
		if s.computed%s.job.BlockTokens != 0 || index >= len(s.job.Chain) {
			return
		}
		if s.computed+s.job.BlockTokens >= s.job.PromptTokens || !e.cache.pin(s.job.Chain[index]) {
			return
		}
		s.pinned = append(s.pinned, s.job.Chain[index])
		s.computed += s.job.BlockTokens
	}
}

// EndStep completes the step and returns what it produced.
func (e *Engine) EndStep() []Output {
	var outputs []Output
	kept := e.running[:0]
	for _, s := range e.running {
		e.store(s)
		if s.decode && s.remaining() == 0 {
			output := Output{ID: s.job.ID, CachedTokens: s.cached, Offset: s.produced}
			if s.produced < s.job.TotalTokens {
				s.produced++
				output.Count = 1
			}
			output.Finished = s.produced >= s.job.TotalTokens
			outputs = append(outputs, output)
			if output.Finished {
				e.cache.unpin(s.pinned)
				continue
			}
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	return outputs
}

// store adds the blocks that the step completed to the cache.
func (e *Engine) store(s *sequence) {
	first := s.computed / s.job.BlockTokens
	s.computed += s.chunk
	e.computedTokens += uint64(s.chunk)
	s.chunk = 0
	last := min(s.computed/s.job.BlockTokens, len(s.job.Chain))
	for i := first; i < last; i++ {
		block := engineapi.Block{Hash: s.job.Chain[i], Root: s.job.Chain[0], Depth: i + 1}
		if e.cache.insert(block) {
			s.pinned = append(s.pinned, block.Hash)
		}
	}
}

// ClearCache drops all cached blocks; no job may be in the engine.
func (e *Engine) ClearCache() { e.cache.clear() }

// TakeCacheChanges returns the blocks cached and evicted since the last call.
func (e *Engine) TakeCacheChanges() (added, removed []engineapi.Block) {
	added, removed = e.cache.added, e.cache.removed
	e.cache.added, e.cache.removed = nil, nil
	return added, removed
}

// Blocks returns all cached blocks.
func (e *Engine) Blocks() []engineapi.Block { return e.cache.list() }

// CachedDepth returns how many blocks of a chain are cached now.
func (e *Engine) CachedDepth(chain prefix.Chain) int { return e.cache.depth(chain) }

// ComputedTokens returns the number of prompt tokens computed so far.
func (e *Engine) ComputedTokens() uint64 { return e.computedTokens }

// Load returns the engine's load now.
func (e *Engine) Load() fleet.Load {
	load := fleet.Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		PrefillRate: e.settings.PromptRate(),
		MaxRunning:  e.settings.MaxRunning,
	}
	for _, group := range [][]*sequence{e.running, e.waiting} {
		for _, s := range group {
			load.QueuedTokens[fleet.PriorityClass(s.job.Priority)] += s.remaining()
		}
	}
	return load
}
