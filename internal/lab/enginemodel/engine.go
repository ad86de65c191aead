// Package enginemodel models a language-model engine with continuous batching, a prefix cache of
// limited size, priorities and cancellation. It has no I/O and no clock: package engineserver runs
// it in real time, package emulator in virtual time.
//
// The duration of a step is the sum of a base time, a time per computed prompt token and a time
// per sequence that produces an output token.
package enginemodel

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/prefix"
)

// Settings configures the speed and the capacity of an engine.
type Settings struct {
	CacheBlocks        int
	MaxRunning         int
	MaxWaiting         int
	BaseStepTime       time.Duration
	TimePerPromptToken time.Duration
	TimePerSequence    time.Duration
	// MaxStepPromptTokens is the maximum number of prompt tokens computed in one step.
	MaxStepPromptTokens int
}

// DefaultSettings returns the settings of a small and fast engine, for tests in real time.
func DefaultSettings() Settings {
	return Settings{
		CacheBlocks:         4096,
		MaxRunning:          16,
		MaxWaiting:          1024,
		BaseStepTime:        4 * time.Millisecond,
		TimePerPromptToken:  20 * time.Microsecond,
		TimePerSequence:     100 * time.Microsecond,
		MaxStepPromptTokens: 1024,
	}
}

// MaxPrefillRate returns the prompt tokens computed per second when each step computes
// MaxStepPromptTokens and produces no output.
func (s Settings) MaxPrefillRate() int {
	stepTime := s.BaseStepTime + time.Duration(s.MaxStepPromptTokens)*s.TimePerPromptToken
	return int(float64(s.MaxStepPromptTokens) / stepTime.Seconds())
}

// ID identifies an attempt of a request.
type ID struct {
	Request string
	Attempt uint32
}

// Job is an attempt that an engine is to run.
type Job struct {
	ID ID
	// Chain holds the hashes of the prompt's cache blocks, BlockTokens the size of a block.
	Chain       prefix.Chain
	BlockTokens int
	// PromptTokens is the number of tokens to process before the first output token, including
	// the output of earlier attempts.
	PromptTokens int
	// FirstOutputToken is the number of output tokens that earlier attempts have produced.
	FirstOutputToken int
	// TotalOutputTokens is the length of the whole output, including that of earlier attempts.
	TotalOutputTokens int
	// Priority orders jobs; a lower value is more urgent.
	Priority int
}

// sequence is the state of a queued or running job.
type sequence struct {
	job Job
	// arrival is the job's position in the order of submission.
	arrival uint64
	// processedTokens is the number of prompt tokens that were computed or found in the cache.
	processedTokens int
	pinnedBlocks    []uint64
	started         bool
	// cachedTokens is the number of prompt tokens that were in the cache at the start.
	cachedTokens int
	// producedTokens is the number of output tokens so far, including those of earlier attempts.
	producedTokens int
	// stepTokens is the number of prompt tokens that the current step computes.
	stepTokens     int
	producesOutput bool
}

func (s *sequence) remainingTokens() int { return max(s.job.PromptTokens-s.processedTokens, 0) }

// Output is the effect of a step on a job: the start of its run or output tokens.
type Output struct {
	ID ID
	// Started is true in a single Output per job, when the computation of its prompt starts.
	Started bool
	// CachedTokens is the number of prompt tokens that were in the cache at the start.
	CachedTokens int
	// Offset and Count are the position of the first new output token and their number.
	Offset   int
	Count    int
	Finished bool
}

// Engine is the model of an engine. It is not safe for concurrent use.
type Engine struct {
	settings     Settings
	cache        *blockCache
	running      []*sequence
	waiting      []*sequence
	arrivalCount uint64
	// computedTokens is the number of prompt tokens computed so far.
	computedTokens uint64
}

// New returns an idle engine with an empty cache.
func New(settings Settings) *Engine {
	return &Engine{settings: settings, cache: newBlockCache(settings.CacheBlocks)}
}

// Submit queues a job. It returns false if the queue is full.
func (e *Engine) Submit(job Job) bool {
	if len(e.waiting) >= e.settings.MaxWaiting {
		return false
	}
	e.arrivalCount++
	queued := &sequence{job: job, arrival: e.arrivalCount, producedTokens: job.FirstOutputToken}
	queued.processedTokens = min(e.cache.cachedDepth(job.Chain)*job.BlockTokens, max(job.PromptTokens-1, 0))
	e.waiting = append(e.waiting, queued)
	slices.SortStableFunc(e.waiting, compareSequences)
	return true
}

// compareSequences orders sequences by priority, then by arrival.
func compareSequences(a, b *sequence) int {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority - b.job.Priority
	}
	return int(int64(a.arrival) - int64(b.arrival))
}

// Cancel removes a queued or running job. It reports whether there was such a job.
func (e *Engine) Cancel(id ID) bool {
	matches := func(s *sequence) bool { return s.job.ID == id }
	if i := slices.IndexFunc(e.waiting, matches); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	if i := slices.IndexFunc(e.running, matches); i >= 0 {
		e.cache.unpin(e.running[i].pinnedBlocks)
		e.running = slices.Delete(e.running, i, i+1)
		return true
	}
	return false
}

// Busy reports whether there are queued or running jobs.
func (e *Engine) Busy() bool { return len(e.running)+len(e.waiting) > 0 }

// BeginStep plans the next step. It returns the step's duration, after which the caller must
// call EndStep, and an Output for each job that the step starts.
func (e *Engine) BeginStep() (time.Duration, []Output) {
	e.admit()
	budget := e.settings.MaxStepPromptTokens
	duration := e.settings.BaseStepTime
	var started []Output
	slices.SortStableFunc(e.running, compareSequences)
	for _, s := range e.running {
		s.stepTokens, s.producesOutput = 0, false
		e.skipCachedBlocks(s)
		if s.remainingTokens() > 0 {
			s.stepTokens = min(s.remainingTokens(), budget)
			budget -= s.stepTokens
			duration += time.Duration(s.stepTokens) * e.settings.TimePerPromptToken
		}
		if s.stepTokens > 0 && !s.started {
			s.started = true
			s.cachedTokens = s.processedTokens
			started = append(started, Output{ID: s.job.ID, Started: true, CachedTokens: s.cachedTokens})
		}
		// The step that computes the last prompt token also produces the first output token.
		if s.stepTokens == s.remainingTokens() {
			s.producesOutput = true
			duration += e.settings.TimePerSequence
		}
	}
	return duration, started
}

// admit moves waiting jobs into the running batch up to its maximum size.
func (e *Engine) admit() {
	for len(e.running) < e.settings.MaxRunning && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.processedTokens = 0
		e.running = append(e.running, next)
	}
}

// skipCachedBlocks pins the next blocks of the sequence's prompt that are cached, and skips their
// computation. It leaves at least one prompt token to compute.
func (e *Engine) skipCachedBlocks(s *sequence) {
	for {
		index := s.processedTokens / s.job.BlockTokens
		if s.processedTokens%s.job.BlockTokens != 0 || index >= len(s.job.Chain) {
			return
		}
		if s.processedTokens+s.job.BlockTokens >= s.job.PromptTokens || !e.cache.pin(s.job.Chain[index]) {
			return
		}
		s.pinnedBlocks = append(s.pinnedBlocks, s.job.Chain[index])
		s.processedTokens += s.job.BlockTokens
	}
}

// EndStep completes the current step and returns its output.
func (e *Engine) EndStep() []Output {
	var outputs []Output
	unfinished := e.running[:0]
	for _, s := range e.running {
		e.storeBlocks(s)
		if s.producesOutput && s.remainingTokens() == 0 {
			output := Output{ID: s.job.ID, CachedTokens: s.cachedTokens, Offset: s.producedTokens}
			if s.producedTokens < s.job.TotalOutputTokens {
				s.producedTokens++
				output.Count = 1
			}
			output.Finished = s.producedTokens >= s.job.TotalOutputTokens
			outputs = append(outputs, output)
			if output.Finished {
				e.cache.unpin(s.pinnedBlocks)
				continue
			}
		}
		unfinished = append(unfinished, s)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
	return outputs
}

// storeBlocks advances the sequence by the prompt tokens of the step, and adds the blocks that
// are complete now to the cache.
func (e *Engine) storeBlocks(s *sequence) {
	first := s.processedTokens / s.job.BlockTokens
	s.processedTokens += s.stepTokens
	e.computedTokens += uint64(s.stepTokens)
	s.stepTokens = 0
	last := min(s.processedTokens/s.job.BlockTokens, len(s.job.Chain))
	for i := first; i < last; i++ {
		block := engineapi.Block{Hash: s.job.Chain[i], Root: s.job.Chain[0], Depth: i + 1}
		if e.cache.insert(block) {
			s.pinnedBlocks = append(s.pinnedBlocks, block.Hash)
		}
	}
}

// ClearCache removes all cached blocks. There must be no queued or running job.
func (e *Engine) ClearCache() { e.cache.clear() }

// TakeCacheChanges returns the blocks added to and removed from the cache since the last call.
func (e *Engine) TakeCacheChanges() (added, removed []engineapi.Block) {
	added, removed = e.cache.added, e.cache.removed
	e.cache.added, e.cache.removed = nil, nil
	return added, removed
}

// Blocks returns all cached blocks.
func (e *Engine) Blocks() []engineapi.Block { return e.cache.allBlocks() }

// CachedDepth returns the number of blocks of the chain that are cached without a gap from its
// start.
func (e *Engine) CachedDepth(chain prefix.Chain) int { return e.cache.cachedDepth(chain) }

// ComputedTokens returns the number of prompt tokens computed so far.
func (e *Engine) ComputedTokens() uint64 { return e.computedTokens }

// Load returns the engine's current load.
func (e *Engine) Load() fleet.Load {
	load := fleet.Load{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		PrefillRate: e.settings.MaxPrefillRate(),
		MaxRunning:  e.settings.MaxRunning,
	}
	for _, sequences := range [][]*sequence{e.running, e.waiting} {
		for _, s := range sequences {
			load.QueuedTokens[fleet.PriorityClass(s.job.Priority)] += s.remainingTokens()
		}
	}
	return load
}
