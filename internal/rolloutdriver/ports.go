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
// own mutex, except for Clock, Log, Spawn and Schedulers.IsPlacer.
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
	// VersionLoad returns the load of the service and what its runners of the version can carry.
	VersionLoad(service, version string) backend.VersionLoad
	// IsListComplete reports whether all runners that were listed at some time since the start are known.
	IsListComplete() bool
	// IsListCurrent reports whether the list of runners is known to have been complete a moment ago.
	IsListCurrent() bool
	// SetVersionRules replaces the rules of all services. exposedShare is the largest share of a
	// service's requests that tests a version.
	SetVersionRules(rules map[string]backend.VersionRule, exposedShare float64)
}

// Services is the active configuration.
type Services interface {
	// ServiceNames returns the configured services, and false if there is no configuration.
	ServiceNames() (names []string, configured bool)
}

// Schedulers tells which routers place requests.
type Schedulers interface {
	// IsPlacer reports whether this router places requests with knowledge of what the leader permits,
	// and may lead rollouts: a seed, or a router without peers.
	IsPlacer() bool
	// OtherSchedulers returns the addresses of the other schedulers, and SelfAddress that of this
	// router.
	OtherSchedulers() []string
	SelfAddress() string
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

// Status is the stored status of a rollout.
type Status struct {
	State versionrollout.State
	// StartedAt is the earliest time at which the order may have been written, by the wall clock, and
	// StartUncertainty how much later it may have been.
	StartedAt        time.Time
	StartUncertainty time.Duration
	// Reserved is the number of requests to the target version that leaders may have allowed. No
	// request is allowed beyond it.
	Reserved uint64
	// Requests is the number of the service's requests that had been counted when the reservation was
	// written. It keeps the budget over the loss of the placers that counted them.
	Requests uint64
	// Promoted is set while all requests go to the target version. The requests that can still
	// come until the deadline then fit into the bound.
	Promoted bool
	Reason   string
	// Writer identifies the run of the router that wrote the status.
	Writer string
	// Uncounted is set in a status of a previous build, which has no reservation. UncountedPromotion
	// is set if that build has moved all requests to the target version.
	Uncounted, UncountedPromotion bool
}

// Object is a decoded object of the store.
type Object struct {
	Name     string
	Revision storerev.Revision
	// Rollout is nil if the object was removed or could not be decoded.
	Rollout *StoredRollout
}
