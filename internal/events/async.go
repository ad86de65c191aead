package events

import (
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the maximum number of lines waiting to be written.
const maxQueuedLines = 2048

// AsyncWriter is an io.Writer that writes lines to an output in the background.
// A slow or failing output never blocks the caller: when the queue is full,
// lines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewAsyncWriter returns an AsyncWriter and starts the goroutine that writes its
// lines to output.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			// If the output fails, its lines are lost, but the process goes on.
			_, _ = output.Write(line)
		}
	}()
	return w
}

// Write queues a copy of line, or drops it if the queue is full. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// flushTimeout is the longest time that Flush waits for a slow output.
const flushTimeout = 200 * time.Millisecond

// Flush waits until all queued lines have been taken for writing, or until
// flushTimeout has passed. It is called before the process exits.
func (w *AsyncWriter) Flush() {
	deadline := time.Now().Add(flushTimeout)
	for len(w.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}
