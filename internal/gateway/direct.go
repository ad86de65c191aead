package gateway

import (
	"context"
	"sync"
)

// directMode holds whether this router reads the store directly instead of following other
// routers. It is safe for concurrent use.
type directMode struct {
	mutex   sync.Mutex
	enabled bool
	// enabledSignal is closed when the mode is enabled and replaced when it is disabled.
	enabledSignal chan struct{}
}

func newDirectMode() *directMode { return &directMode{enabledSignal: make(chan struct{})} }

// setEnabled sets the mode and returns its previous value.
func (d *directMode) setEnabled(enabled bool) (previous bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	previous = d.enabled
	if enabled == previous {
		return previous
	}
	d.enabled = enabled
	if enabled {
		close(d.enabledSignal)
	} else {
		d.enabledSignal = make(chan struct{})
	}
	return previous
}

// isEnabled reports whether the router reads the store directly.
func (d *directMode) isEnabled() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.enabled
}

// waitEnabled blocks until the mode is enabled and returns true, or returns false once the
// context is canceled.
func (d *directMode) waitEnabled(ctx context.Context) bool {
	d.mutex.Lock()
	enabledSignal := d.enabledSignal
	d.mutex.Unlock()
	select {
	case <-enabledSignal:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
