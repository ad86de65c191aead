package faultproxy

import (
	"net"
	"time"
)

// maxDelayedChunks is the number of chunks of one direction that can be under way at the same time.
// With 16 KiB a chunk this allows 16 MiB within the delay.
const maxDelayedChunks = 1024

// delayedChunk is data that is due at a time.
type delayedChunk struct {
	data  []byte
	dueAt time.Time
}

// sender writes to a connection, at once or after a delay. Delayed data stays in order, and data that
// comes in quick succession is delayed once, like on a long path.
type sender struct {
	target net.Conn
	// delay returns the present delay. Without it, writes are not delayed.
	delay   func() time.Duration
	chunks  chan delayedChunk
	flushed chan struct{}
}

func newSender(target net.Conn, delay func() time.Duration) *sender {
	s := &sender{target: target, delay: delay}
	if delay != nil {
		s.chunks, s.flushed = make(chan delayedChunk, maxDelayedChunks), make(chan struct{})
		go s.writeWhenDue()
	}
	return s
}

// write writes the data, or copies it and writes it after the delay. It returns no error of a
// delayed write: the read from the same connection fails then.
func (s *sender) write(data []byte) error {
	if s.delay == nil {
		_, err := s.target.Write(data)
		return err
	}
	s.chunks <- delayedChunk{append([]byte(nil), data...), time.Now().Add(s.delay())}
	return nil
}

func (s *sender) writeWhenDue() {
	defer close(s.flushed)
	for chunk := range s.chunks {
		time.Sleep(time.Until(chunk.dueAt))
		// After an error the remaining chunks fail as well.
		_, _ = s.target.Write(chunk.data)
	}
}

// end waits until all data is written. Nothing may be written afterwards. Further calls do nothing.
func (s *sender) end() {
	if s.chunks != nil {
		close(s.chunks)
		<-s.flushed
		s.chunks = nil
	}
}
