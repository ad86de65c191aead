package backend

import "time"

// SendKey identifies a request that another router sends to a runner chosen by this one.
type SendKey struct {
	// Router and Incarnation identify the process that sends it.
	Router      string
	Incarnation uint64
	// Number is the sequence number that this process gave to the send.
	Number uint64
}

// placedSend is an open request of another router at a runner.
type placedSend struct {
	send  *Send
	query Query
	// weightVersion is the version of the weights that the runner was known to have.
	weightVersion uint64
	// expiresAt is when the request is over even if its router never reports an end.
	expiresAt time.Time
}

// placedSweepInterval is the minimum interval between two searches for expired requests.
const placedSweepInterval = time.Second

// PlacedSends holds the open requests that this router has placed on behalf of other
// routers, which report back when responses begin and how requests end. A request without
// a reported end is dropped at its deadline, as its router may have died. The set counts
// these requests like the router's own. It is not safe for concurrent use.
type PlacedSends struct {
	set       *Set
	sends     map[SendKey]*placedSend
	nextSweep time.Time
}

// NewPlacedSends returns an empty table of requests at the set's runners.
func NewPlacedSends(set *Set) *PlacedSends {
	return &PlacedSends{set: set, sends: map[SendKey]*placedSend{}}
}

// Len returns the number of open requests.
func (p *PlacedSends) Len() int { return len(p.sends) }

// Begin records a request placed on the runner, with the number of prompt tokens to prefill
// and the time left until its deadline.
func (p *PlacedSends) Begin(now time.Time, key SendKey, runner string, tokens int, query Query, timeLeft time.Duration) {
	p.sweep(now)
	p.discard(key)
	send := p.set.BeginQuery(now, runner, tokens, query)
	send.router = key.Router
	p.sends[key] = &placedSend{send: send, query: query, weightVersion: p.set.WeightVersion(runner, query.Model), expiresAt: now.Add(timeLeft)}
}

// Get returns the query and the send of an open request; found is false if the key is
// unknown.
func (p *PlacedSends) Get(key SendKey) (query Query, send *Send, found bool) {
	placed := p.sends[key]
	if placed == nil {
		return Query{}, nil, false
	}
	return placed.query, placed.send, true
}

// FirstResponse records that the runner has begun to respond to the request.
func (p *PlacedSends) FirstResponse(now time.Time, key SendKey) {
	placed := p.sends[key]
	if placed == nil {
		return
	}
	runner := placed.send.runner
	p.set.FirstResponse(now, placed.send)
	// A runner that took other weights while it read the prompt has not cached it under those of the salt.
	if p.set.IsListed(placed.send) && p.set.WeightVersion(runner, placed.query.Model) == placed.weightVersion {
		p.set.RecordPrefill(now, runner, placed.query, placed.weightVersion)
	}
}

// LearnVersion records the weight version that responded to a request. Version 0 means
// unknown and is ignored.
func (p *PlacedSends) LearnVersion(key SendKey, version uint64) {
	if placed := p.sends[key]; placed != nil && version > 0 && p.set.IsListed(placed.send) {
		p.set.LearnVersion(placed.send.runner, placed.query.Model, version)
	}
}

// End records the outcome of a request and removes it.
func (p *PlacedSends) End(now time.Time, key SendKey, outcome Outcome) {
	if placed := p.sends[key]; placed != nil {
		delete(p.sends, key)
		p.set.End(now, placed.send, outcome)
	}
}

// AvoidRunner makes all requests avoid the request's runner for the duration, after the
// runner requested a backoff from the sending router.
func (p *PlacedSends) AvoidRunner(now time.Time, key SendKey, duration time.Duration) {
	if placed := p.sends[key]; placed != nil {
		p.set.AvoidFor(now, placed.send, duration)
	}
}

// discard drops a request whose outcome is unknown.
func (p *PlacedSends) discard(key SendKey) {
	if placed := p.sends[key]; placed != nil {
		delete(p.sends, key)
		p.set.discard(placed.send)
	}
}

func (p *PlacedSends) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(placedSweepInterval)
	for key, placed := range p.sends {
		if !now.Before(placed.expiresAt) {
			p.discard(key)
		}
	}
}
