package gateway

import (
	"context"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// RunnerReport is the state that a runner reports about itself.
type RunnerReport struct {
	Models []backend.ModelVersion
	// Updating is set while an order is in progress.
	Updating bool
	// OrdersAccepted is the number of orders accepted since the runner started.
	OrdersAccepted uint64
	// Incarnation is the incarnation as in the directory, 0 if the runner does not report it.
	Incarnation uint64
	// Queued and Running are numbers of requests.
	Queued  int
	Running int
}

// WeightOrder orders a runner to load a version of a model's weights.
type WeightOrder struct {
	Model   string
	Version uint64
	// Holder and Token are the holder and the fencing token of the lease.
	Holder string
	Token  storerev.Revision
	// ExpectedOrders is the number of orders that the runner must have accepted before.
	// Otherwise it rejects this one.
	ExpectedOrders uint64
	// KeepRunning lets running requests continue with the new weights, instead of waiting for
	// them to finish.
	KeepRunning bool
}

// OrderOutcome is the result of an order.
type OrderOutcome uint8

// The outcomes of an order.
const (
	// OrderUnknown means that there was no answer. The order may still be carried out.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted means that the order is in progress.
	OrderAccepted
	// OrderAlreadyApplied means that the runner already has the version.
	OrderAlreadyApplied
	// OrderConflict means that the runner had accepted another order first.
	OrderConflict
	// OrderFenced means that the runner has seen a higher fencing token.
	OrderFenced
	// OrderInvalid means that the runner rejects the order for another reason.
	OrderInvalid
)

// String returns the outcome's name.
func (o OrderOutcome) String() string {
	return [...]string{"unknown", "taken", "holds", "conflict", "fenced", "invalid"}[o]
}

// RunnerLiveness tells whether an incarnation of a runner is still running.
type RunnerLiveness uint8

// The results of a liveness check.
const (
	// RunnerUnknown means that the answer does not tell whether the runner is running, or that the
	// connection broke.
	RunnerUnknown RunnerLiveness = iota
	// RunnerRunning means that the runner itself answered.
	RunnerRunning
	// RunnerEnded means that nothing listens at the runner's address, or that another runner or
	// another incarnation of it does.
	RunnerEnded
	// RunnerSilent means that there was no answer in time.
	RunnerSilent
)

// IsKnown reports whether the check has told whether the runner is running.
func (l RunnerLiveness) IsKnown() bool { return l == RunnerRunning || l == RunnerEnded }

// String returns the name of the result.
func (l RunnerLiveness) String() string {
	return [...]string{"unknown", "runs", "ended", "silent"}[l]
}

// RunnerControl reads the state of runners and orders them to load weights.
type RunnerControl interface {
	// Liveness checks, over a new connection, whether this incarnation of the runner is still
	// running.
	Liveness(ctx context.Context, runner backend.Runner) RunnerLiveness
	// Reaches returns nil if the runner's address sends any response over a new connection, whoever
	// answers there, and otherwise why not.
	Reaches(ctx context.Context, runner backend.Runner) error
	// Report reads the state of the runner.
	Report(ctx context.Context, runner backend.Runner) (RunnerReport, error)
	// Order sends an order to the runner. The error says why the outcome is unknown.
	Order(ctx context.Context, runner backend.Runner, order WeightOrder) (OrderOutcome, error)
	// CacheStoreAvailable reports whether the cache store at the address responds.
	CacheStoreAvailable(ctx context.Context, address string) bool
}
