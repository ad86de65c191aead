package rig

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// The speed of an engine, as on the sheet of gelombang-ulang.
const (
	promptTokensPerMillisecond = 38.4
	pieceTokens                = 4096
	stepTime                   = 6 * time.Millisecond
	moveTime                   = 12 * time.Millisecond
)

// Engines are the model servers of a site with the store of kept KV cache. They read prompts in pieces, keep the parts of
// prompts under the salt of the request, and move parts as requests ask.
type Engines struct {
	Record *Record

	mutex      sync.Mutex
	caches     map[string]*Cache
	stale      int
	runs, kept int
	moved      int
	keepRuns   int
}

// NewEngines returns the engines of a site.
func NewEngines(record *Record) *Engines {
	return &Engines{Record: record, caches: map[string]*Cache{}}
}

// Add makes the cache at the address known, so that others can fetch from it and send to it.
func (e *Engines) Add(address string, cache *Cache) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.caches[address] = cache
}

// StartStore starts a store of kept KV cache and returns its address.
func (e *Engines) StartStore() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	cache := NewCache()
	e.Add(listener.Addr().String(), cache)
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathCacheEvents, cache.writeEvents)
	mux.HandleFunc(platform.PathCacheList, func(writer http.ResponseWriter, _ *http.Request) { cache.writeList(writer) })
	go http.Serve(listener, mux)
	return listener.Addr().String(), nil
}

func (e *Engines) cache(address string) *Cache {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.caches[address]
}

// Stale returns the number of requests that ran on parts that were made under another version, that of all runs, of runs whose
// weights changed under them, and of moved and kept parts that were used.
func (e *Engines) Stale() (stale, runs, keepRuns, moved, kept int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.stale, e.runs, e.keepRuns, e.moved, e.kept
}

// run is one request at work at a runner.
type run struct {
	engines  *Engines
	runner   *Runner
	request  *http.Request
	id, salt string
	// begunUnder is the version of the weights when the request arrived, under which its run begins.
	begunUnder uint64
	// isAtWork is set once the runner has begun to read or to move a part.
	isAtWork bool
	foreign  []string
}

// Serve reads the prompt and writes the stream.
func (e *Engines) Serve(r *Runner, writer http.ResponseWriter, request *http.Request) {
	current := &run{
		engines: e, runner: r, request: request, id: request.Header.Get(platform.HeaderRequestID),
		salt: request.Header.Get(platform.HeaderCacheSalt), begunUnder: r.CurrentWeights(),
	}
	if !current.readPrompt() {
		if !current.isAtWork {
			r.reject(writer, current.rejection())
		}
		return
	}
	current.record()
	writer.Header().Set("Content-Type", "text/event-stream")
	have, _ := strconv.Atoi(request.Header.Get(platform.HeaderLastEventID))
	_, tokens, _ := strings.Cut(request.Header.Get(platform.HeaderTokenCounts), ",")
	last, _ := strconv.Atoi(tokens)
	version := current.begunUnder
	for id := have + 1; id <= last; id++ {
		if _, going := current.step(stepTime); !going {
			return
		}
		line := ""
		if now := r.CurrentWeights(); now != version {
			line, version = fmt.Sprintf("clovertiller-weight-versions: %d\n", now), now
		}
		if _, err := fmt.Fprintf(writer, "%sid: %d\ndata: %s\n\n", line, id, r.ID); err != nil || http.NewResponseController(writer).Flush() != nil {
			return
		}
	}
}

// step waits while the runner takes other weights, and then lets the time of one step of the engine pass. It returns the version
// under which the step was done, and false once the caller has left.
func (c *run) step(duration time.Duration) (version uint64, going bool) {
	for c.runner.IsBusy() {
		select {
		case <-time.After(2 * time.Millisecond):
		case <-c.request.Context().Done():
			return 0, false
		}
	}
	version = c.runner.CurrentWeights()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return version, true
	case <-c.request.Context().Done():
		return 0, false
	}
}

// readPrompt uses what is kept of the prompt, fetches what the request names a source for, and reads the rest.
func (c *run) readPrompt() bool {
	source := c.engines.cache(c.request.Header.Get(platform.HeaderKVFetch))
	target := c.engines.cache(c.request.Header.Get(platform.HeaderKVSave))
	isPrefix := true
	for item := range strings.SplitSeq(c.request.Header.Get(platform.HeaderPromptPrefix), ",") {
		id, count, _ := strings.Cut(item, ":")
		tokens, _ := strconv.Atoi(count)
		key := PartKey{c.salt, id}
		part, found := c.runner.Cache.Get(key)
		if isPrefix && !found && source != nil {
			if part, found = source.Get(key); found {
				if !c.begin() {
					return false
				}
				if _, going := c.step(moveTime); !going {
					return false
				}
				c.runner.Cache.Add(key, part)
				c.use(id, part, "fetched from "+c.request.Header.Get(platform.HeaderKVFetch))
				continue
			}
		}
		if isPrefix && found {
			c.use(id, part, "kept here")
			continue
		}
		isPrefix = false
		version, going := c.read(tokens)
		if !going {
			return false
		}
		part = Part{Tokens: tokens, MadeUnder: version, MadeBy: c.runner.ID + " for " + c.id}
		c.runner.Cache.Add(key, part)
		if target != nil {
			target.Add(key, part)
		}
	}
	return true
}

// begin reports whether the run may begin or go on. A request that has not begun is rejected while the runner
// takes other weights, and after that.
func (c *run) begin() bool {
	if !c.isAtWork && (c.runner.IsBusy() || c.runner.CurrentWeights() != c.begunUnder) {
		return false
	}
	c.isAtWork = true
	return true
}

// rejection returns the status for a request that has not begun: the runner takes other weights, or has taken them.
func (c *run) rejection() int {
	if c.runner.IsBusy() {
		return http.StatusServiceUnavailable
	}
	return http.StatusMisdirectedRequest
}

// read reads tokens of the prompt in pieces, one piece of all requests at a time. It returns the version under which the last
// piece was read.
func (c *run) read(tokens int) (version uint64, going bool) {
	for tokens > 0 {
		piece := min(tokens, pieceTokens)
		c.runner.reading.Lock()
		if going = c.begin(); going {
			version, going = c.step(time.Duration(float64(piece) / promptTokensPerMillisecond * float64(time.Millisecond)))
		}
		c.runner.reading.Unlock()
		if !going {
			return 0, false
		}
		tokens -= piece
	}
	return version, true
}

// use notes a part that the request runs on. A run whose weights have changed under it is not judged.
func (c *run) use(id string, part Part, how string) {
	c.engines.mutex.Lock()
	if strings.HasPrefix(how, "kept") {
		c.engines.kept++
	} else {
		c.engines.moved++
	}
	c.engines.mutex.Unlock()
	if weights := c.runner.CurrentWeights(); weights == c.begunUnder && part.MadeUnder != weights {
		c.foreign = append(c.foreign, fmt.Sprintf("part %s, made under version %d by %s, %s", id, part.MadeUnder, part.MadeBy, how))
	}
}

// record counts the run.
func (c *run) record() {
	weights := c.runner.CurrentWeights()
	c.engines.mutex.Lock()
	defer c.engines.mutex.Unlock()
	c.engines.runs++
	if weights != c.begunUnder {
		c.engines.keepRuns++
		c.engines.Record.Logf("%s at %s goes on under version %d, begun under %d, salt %q", c.id, c.runner.ID, weights, c.begunUnder, c.salt)
		return
	}
	if len(c.foreign) > 0 {
		c.engines.stale++
		c.engines.Record.Logf("STALE: %s runs at %s on version %d, salt %q: %s", c.id, c.runner.ID, weights, c.salt, strings.Join(c.foreign, "; "))
	}
}
