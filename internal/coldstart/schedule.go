package coldstart

import "time"

// Reply is how a source replied to the request of a router that has no data.
type Reply uint8

// Replies of sources.
const (
	// Silent means that the source accepted a connection and did not reply in time: it is overloaded.
	Silent Reply = iota
	// Unreachable means that no connection could be opened: the source may be starting. No process
	// listens, or the machine is still without power.
	Unreachable
	// Empty means that the source has no data yet either. It notifies the router once it has.
	Empty
	// Data means that the source sent data.
	Data
)

// Timing of requests while a router has no data.
const (
	// minInterval is the interval between two requests to the same sources.
	minInterval = 100 * time.Millisecond
	// minUnreachableInterval and maxUnreachableInterval bound the interval if the sources may be starting.
	// Attempts to open a connection cost their machines next to nothing.
	minUnreachableInterval = 25 * time.Millisecond
	maxUnreachableInterval = 100 * time.Millisecond
	// maxDoublings bounds how often interval, stagger and timeout are doubled while all sources are
	// silent. When all routers start at once, sources can't answer each of them at first, and repeated
	// requests would only keep them from it.
	maxDoublings = 3
	// silentTimeout is the timeout of a request. A running source answers within a few milliseconds, and
	// callers are waiting.
	silentTimeout = 50 * time.Millisecond
	// emptyTimeout is the timeout of a request to a source that is known to run and may have to answer
	// many routers.
	emptyTimeout = 400 * time.Millisecond
	// stagger is the delay between the requests to two sources, so that most routers need only one.
	stagger = 12 * time.Millisecond
	// emptyBackoff is how long a source without data is not asked again, unless it sends a notification.
	emptyBackoff = 400 * time.Millisecond
	// startBackoff is the same for a silent source.
	startBackoff = 80 * time.Millisecond
	// silentWait, unreachableWait and emptyWait are how long a router waits for sources that are silent,
	// starting or without data before it reads the store itself.
	silentWait      = 100 * time.Millisecond
	unreachableWait = 350 * time.Millisecond
	emptyWait       = time.Second
	// firstStartWait replaces silentWait and unreachableWait when the whole system starts for the first time,
	// before there are callers.
	firstStartWait = 3 * time.Second
)

// Schedule decides when a router without data asks its sources again, and when it reads the store itself.
// It is not safe for concurrent use.
type Schedule struct {
	config ScheduleConfig
	// silentWait and unreachableWait are how long after its start the router waits for sources that are
	// silent, or that can't be reached.
	silentWait, unreachableWait time.Duration
	doublings                   int
	unreachableRounds           int
	// replies are the last replies of the sources, and round those since the last EndRound. hasEnded is set
	// once all sources have been asked.
	replies  map[string]Reply
	round    []Reply
	hasEnded bool
}

// ScheduleConfig configures a Schedule.
type ScheduleConfig struct {
	Started time.Time
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// Jitter returns a random duration between half of the given one and all of it.
	Jitter func(time.Duration) time.Duration
}

// NewSchedule returns the schedule of a router that has just started.
func NewSchedule(config ScheduleConfig) *Schedule {
	s := &Schedule{config: config, replies: map[string]Reply{}}
	s.silentWait, s.unreachableWait = config.Jitter(silentWait), config.Jitter(unreachableWait)
	if config.FirstStart {
		s.silentWait = config.Jitter(firstStartWait)
		s.unreachableWait = s.silentWait
	}
	return s
}

// Record records the reply of a source.
func (s *Schedule) Record(source string, reply Reply) {
	s.replies[source] = reply
	s.round = append(s.round, reply)
}

// EndRound ends a series of requests to several sources, which decides on the next interval.
func (s *Schedule) EndRound() {
	silent, unreachable := 0, 0
	for _, reply := range s.round {
		switch reply {
		case Silent:
			silent++
		case Unreachable:
			unreachable++
		}
	}
	switch {
	case unreachable > 0:
		s.unreachableRounds++
	case silent > 0 && silent == len(s.round):
		s.doublings = min(s.doublings+1, maxDoublings)
	case len(s.round) > 0:
		s.doublings, s.unreachableRounds = 0, 0
	}
	s.hasEnded = s.hasEnded || len(s.round) > 0
	s.round = s.round[:0]
}

// Interval returns the interval to the next requests.
func (s *Schedule) Interval() time.Duration {
	if s.has(Unreachable) {
		return min(minUnreachableInterval<<min(s.unreachableRounds, maxDoublings), maxUnreachableInterval)
	}
	return minInterval << s.doublings
}

// Stagger returns the delay between the requests to two sources.
func (s *Schedule) Stagger() time.Duration { return stagger << s.doublings }

// Timeout returns the timeout of a request to the source.
func (s *Schedule) Timeout(source string) time.Duration {
	if s.replies[source] == Empty {
		return emptyTimeout
	}
	return silentTimeout << s.doublings
}

// Backoff returns how long the source is not asked again after its last reply.
func (s *Schedule) Backoff(source string) time.Duration {
	switch s.replies[source] {
	case Unreachable:
		return 0
	case Empty:
		return emptyBackoff
	}
	return startBackoff
}

// Waits reports whether a source without data will notify the router.
func (s *Schedule) Waits() bool { return s.has(Empty) }

// RecordNotification records that the source has sent a notification that it has data now.
func (s *Schedule) RecordNotification(source string) { s.replies[source] = Empty }

// WaitUntil returns until when the router waits for its sources instead of reading the store. Before their first
// replies, they may all be starting.
func (s *Schedule) WaitUntil() time.Time {
	wait := s.silentWait
	if !s.hasEnded || s.has(Unreachable) {
		wait = max(wait, s.unreachableWait)
	}
	if s.has(Empty) {
		wait = max(wait, emptyWait)
	}
	return s.config.Started.Add(wait)
}

// has reports whether the last reply of a source is the given one.
func (s *Schedule) has(reply Reply) bool {
	for _, last := range s.replies {
		if last == reply {
			return true
		}
	}
	return false
}
