package events

import (
	"io"
	"sync/atomic"
	"time"
)

// queuedLines bounds the lines that wait to be written.
const queuedLines = 2048

// AsyncWriter passes lines to a slow or dead output without ever blocking the
// caller: what does not fit is dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewAsyncWriter starts a writer to the output.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queuedLines)}
	go func() {
		for line := range w.lines {
			// A dead output costs lines and nothing else.
			_, _ = output.Write(line)
		}
	}()
	return w
}

// Write queues a copy of the line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// flushTime bounds the wait for a slow output at the end.
const flushTime = 200 * time.Millisecond

// Flush waits a moment until what is queued has been written.
func (w *AsyncWriter) Flush() {
	deadline := time.Now().Add(flushTime)
	for len(w.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
