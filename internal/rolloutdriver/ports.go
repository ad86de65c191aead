package rolloutdriver

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Ports are the parts of the router that the driver uses. The driver calls them without holding its
// own mutex, except for Clock and Log.
type Ports struct {
	Runners    Runners
	Services   Services
	Schedulers Schedulers
	Peers      Peers
	Store      Store
	Log        Log
	Clock      Clock
	// Spawn runs a task that ends before the router has stopped.
	Spawn func(task func())
}

// VersionCounter counts runners by their software version.
type VersionCounter interface {
	// VersionCounts counts the service's runners that are not leaving, by software version.
	VersionCounts(service string) map[string]int
}

// Runners is the table of runners.
type Runners interface {
	VersionCounter
	// SetVersionRules replaces the rules of all services. exposedShare is the largest share of a
	// service's requests that names a version.
	SetVersionRules(rules map[string]backend.VersionRule, exposedShare float64)
}

// Services is the active configuration.
type Services interface {
	// ServiceNames returns the configured services, and false if there is no configuration.
	ServiceNames() (names []string, configured bool)
}

// Schedulers tells which routers place requests.
type Schedulers interface {
	// IsPlacer reports whether this router places requests with knowledge of what the leader permits:
	// a scheduler, or a router without peers.
	IsPlacer() bool
	// OtherSchedulers returns the addresses of the other schedulers.
	OtherSchedulers() []string
}

// Peers sends messages to other routers.
type Peers interface {
	// CallPeer returns the reply of the router at the address.
	CallPeer(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error)
}

// Store is the object store.
type Store interface {
	// WriteRolloutStatus writes the status of the named rollout if the number of its revision has not
	// changed.
	WriteRolloutStatus(ctx context.Context, name string, rollout StoredRollout, revision storerev.Revision) (written storerev.Revision, err error)
	// LatestBefore returns the latest known time at which the store had not reached the revision,
	// zero if none is known.
	LatestBefore(revision storerev.Revision) time.Time
}

// Log is the router's log.
type Log interface {
	Log(event events.Event, fields events.Fields)
}

// Clock is a clock that keeps running while the machine is suspended.
type Clock interface {
	Now() time.Time
}

// StoredRollout is an order to move a service to another software version, as stored.
type StoredRollout struct {
	Order versionrollout.Order
	// Status is nil if none has been written for this order.
	Status *Status
}

// Status is the stored status of a rollout. Its times are wall clock times.
type Status struct {
	State versionrollout.State
	// StartedAt is when the rollout began, and PromotedAt when all traffic was moved to the target
	// version, zero if it was not.
	StartedAt  time.Time
	PromotedAt time.Time
	Reason     string
}

// Object is a decoded object of the store.
type Object struct {
	Name     string
	Revision storerev.Revision
	// Rollout is nil if the object was removed or could not be decoded.
	Rollout *StoredRollout
}
