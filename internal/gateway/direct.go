package gateway

import (
	"context"
	"sync"
)

// directSwitch tells the followers whether this router reads the store itself.
type directSwitch struct {
	mutex   sync.Mutex
	enabled bool
	// changed is closed when the switch is turned on.
	changed chan struct{}
}

func newDirectSwitch() *directSwitch { return &directSwitch{changed: make(chan struct{})} }

// set turns the switch and tells whether it was turned before.
func (d *directSwitch) set(enabled bool) (before bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before = d.enabled
	if enabled == before {
		return before
	}
	d.enabled = enabled
	if enabled {
		close(d.changed)
	} else {
		d.changed = make(chan struct{})
	}
	return before
}

// on tells whether the router reads the store itself.
func (d *directSwitch) on() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.enabled
}

// wait returns true once the router reads the store itself, or false when the
// context ends first.
func (d *directSwitch) wait(ctx context.Context) bool {
	d.mutex.Lock()
	changed := d.changed
	d.mutex.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
