package rig

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Taking up streams.
const (
	// tries is the number of attempts of a caller beyond the first.
	tries = 6
	// pause is the wait before an attempt where the last one named no time.
	pause = 300 * time.Millisecond
	// callerDeadline is how long a caller waits in all.
	callerDeadline = 15 * time.Second
)

// Stream is what one caller got in all its attempts.
type Stream struct {
	Name     string
	mutex    sync.Mutex
	attempts []*Attempt
	events   []Event
	done     chan struct{}
}

// Caller starts streams through the entry.
type Caller struct {
	Site  *Site
	Entry *Entry
	group sync.WaitGroup
}

// Start begins a stream at the router, or at one of the entry's choice. last is the number of its last event.
func (c *Caller) Start(name string, router *Router, last int) *Stream {
	stream := &Stream{Name: name, done: make(chan struct{})}
	if router == nil {
		router = c.Entry.Pick(nil)
	}
	c.group.Go(func() {
		defer close(stream.done)
		c.run(stream, router, last)
	})
	return stream
}

// Wait waits for all streams.
func (c *Caller) Wait() { c.group.Wait() }

func (c *Caller) run(stream *Stream, router *Router, last int) {
	deadline := time.Now().Add(callerDeadline)
	begunBy := ""
	for try := 0; try <= tries && time.Now().Before(deadline); try++ {
		request := StreamRequest{
			ID: fmt.Sprintf("%s-try%d", stream.Name, try), Resumes: begunBy, LastEvent: stream.LastEvent(), Timeout: time.Until(deadline),
			Prompt: fmt.Sprintf("aa01:800,%x:200", stream.Name), Tokens: fmt.Sprintf("1000,%d", last),
		}
		c.Site.Record.Logf("%s sends %s to %s, last event %d, resumes %q", stream.Name, request.ID, router.Name, request.LastEvent, begunBy)
		attempt := request.Send(context.Background(), router, stream.add)
		stream.finish(attempt)
		c.Site.Record.Logf("%s: %s at %s ends: status %d, %d events (%s), complete %v, error %v", stream.Name, attempt.ID, router.Name, attempt.Status, len(attempt.Events), describe(attempt.Events), attempt.Complete, attempt.Err)
		if attempt.Complete {
			return
		}
		if begunBy == "" && len(attempt.Events) > 0 {
			begunBy = attempt.ID
		}
		wait := pause
		if attempt.RetryWait > 0 {
			wait = min(attempt.RetryWait, time.Until(deadline)/3)
		}
		time.Sleep(wait)
		router = c.Entry.Pick(router)
	}
}

// describe names the first and the last of the events.
func describe(events []Event) string {
	if len(events) == 0 {
		return "none"
	}
	first, last := events[0], events[len(events)-1]
	return fmt.Sprintf("%d %q to %d %q", first.ID, first.Data, last.ID, last.Data)
}

func (s *Stream) add(event Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, event)
}

func (s *Stream) finish(attempt *Attempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempts = append(s.attempts, attempt)
}

// LastEvent returns the ID of the last event, 0 if there is none.
func (s *Stream) LastEvent() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.events) == 0 {
		return 0
	}
	return s.events[len(s.events)-1].ID
}

// Events returns the events of all attempts.
func (s *Stream) Events() []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.events
}

// Attempts returns the attempts that have ended.
func (s *Stream) Attempts() []*Attempt {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.attempts
}
