package backend

import "time"

// SendKey names a request that another router sends to a runner chosen here.
type SendKey struct {
	// Router and Incarnation are the process that sends it.
	Router      string
	Incarnation uint64
	// Send is that process's number of it.
	Send uint64
}

// placedSend is a request of another router at a runner.
type placedSend struct {
	send  *Send
	query Query
	// expires is when the request is over whatever its router says.
	expires time.Time
}

// ledgerSweep is how often requests are looked for that are over.
const ledgerSweep = time.Second

// Ledger holds the requests that this router has placed for others, which tell it
// when runners answer and how the requests end. What is never told to have ended is
// forgotten once the request's time is over: its router may have died. The set counts
// these requests like the router's own. Not safe for concurrent use.
type Ledger struct {
	set     *Set
	sends   map[SendKey]*placedSend
	sweepAt time.Time
}

// NewLedger returns an empty ledger of requests at the set's runners.
func NewLedger(set *Set) *Ledger { return &Ledger{set: set, sends: map[SendKey]*placedSend{}} }

// Len returns how many requests are open.
func (l *Ledger) Len() int { return len(l.sends) }

// Begin notes a request placed on the runner with the prompt tokens it has to read.
func (l *Ledger) Begin(now time.Time, key SendKey, runner string, tokens int, query Query, left time.Duration) {
	l.sweep(now)
	l.forget(key)
	l.sends[key] = &placedSend{send: l.set.BeginQuery(now, runner, tokens, query), query: query, expires: now.Add(left)}
}

// Placed returns the query and the send of an open request, or false when it is not known.
func (l *Ledger) Placed(key SendKey) (query Query, send *Send, found bool) {
	placed := l.sends[key]
	if placed == nil {
		return Query{}, nil, false
	}
	return placed.query, placed.send, true
}

// FirstAnswer notes that the runner has begun to answer.
func (l *Ledger) FirstAnswer(now time.Time, key SendKey) {
	placed := l.sends[key]
	if placed == nil {
		return
	}
	runner := placed.send.runner
	l.set.FirstAnswer(now, placed.send)
	if l.set.Listed(placed.send) {
		l.set.NoteRead(now, runner, placed.query, l.set.WeightVersion(runner, placed.query.Model))
	}
}

// LearnVersion notes the version of the weights that answered a request, 0 for none.
func (l *Ledger) LearnVersion(key SendKey, version uint64) {
	if placed := l.sends[key]; placed != nil && version > 0 && l.set.Listed(placed.send) {
		l.set.LearnVersion(placed.send.runner, placed.query.Model, version)
	}
}

// End notes the outcome of a request.
func (l *Ledger) End(now time.Time, key SendKey, outcome Outcome) {
	if placed := l.sends[key]; placed != nil {
		delete(l.sends, key)
		l.set.End(now, placed.send, outcome)
	}
}

// Rest notes that the runner of a request wants a rest from the router that sent it.
func (l *Ledger) Rest(now time.Time, key SendKey, rest time.Duration) {
	if placed := l.sends[key]; placed != nil {
		l.set.AvoidFor(now, placed.send, rest)
	}
}

// forget drops a request whose outcome is not known.
func (l *Ledger) forget(key SendKey) {
	if placed := l.sends[key]; placed != nil {
		delete(l.sends, key)
		l.set.forget(placed.send)
	}
}

func (l *Ledger) sweep(now time.Time) {
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(ledgerSweep)
	for key, placed := range l.sends {
		if !now.Before(placed.expires) {
			l.forget(key)
		}
	}
}
