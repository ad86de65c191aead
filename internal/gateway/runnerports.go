package gateway

import (
	"context"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// RunnerReport is a runner's own word on its state.
type RunnerReport struct {
	Models []backend.ModelVersion
	// Busy is true while an order is under way.
	Busy bool
	// Orders counts the orders taken since the runner started.
	Orders uint64
	// Incarnation is that of the directory, 0 when the runner does not tell.
	Incarnation uint64
	// Queued and Running count requests.
	Queued  int
	Running int
}

// WeightOrder tells a runner to take a version of a model's weights.
type WeightOrder struct {
	Model   string
	Version uint64
	// Holder and Token are the lease's holder and fencing token.
	Holder string
	Token  storerev.Revision
	// ExpectedOrders is the number of orders taken at which it is to be carried out.
	ExpectedOrders uint64
	// KeepRunning lets running requests go on under the new weights instead of
	// being awaited.
	KeepRunning bool
}

// OrderOutcome is a runner's answer to an order.
type OrderOutcome uint8

// The outcomes of an order.
const (
	// OrderUnknown means that no answer came; it may still be carried out.
	OrderUnknown OrderOutcome = iota
	// OrderTaken means that it is under way.
	OrderTaken
	// OrderHolds means that the runner has the version already.
	OrderHolds
	// OrderConflict means that another order came first.
	OrderConflict
	// OrderFenced means that a higher fencing token was seen.
	OrderFenced
	// OrderInvalid means that the runner will not take it.
	OrderInvalid
)

// String returns the outcome's name.
func (o OrderOutcome) String() string {
	return [...]string{"unknown", "taken", "holds", "conflict", "fenced", "invalid"}[o]
}

// RunnerLiveness is whether one start of a runner still runs.
type RunnerLiveness uint8

// The answers to whether a runner runs.
const (
	// RunnerUnknown means that nothing answered, or not in a way that tells.
	RunnerUnknown RunnerLiveness = iota
	// RunnerRuns means its own word.
	RunnerRuns
	// RunnerEnded means that nobody listens at its address, or another runner or start of it.
	RunnerEnded
)

// String returns the answer's name.
func (l RunnerLiveness) String() string {
	return [...]string{"unknown", "runs", "ended"}[l]
}

// RunnerControl reads and orders runners.
type RunnerControl interface {
	// Liveness asks, on a new connection, whether this start of the runner still runs.
	Liveness(ctx context.Context, runner backend.Runner) RunnerLiveness
	Report(ctx context.Context, runner backend.Runner) (RunnerReport, error)
	Order(ctx context.Context, runner backend.Runner, order WeightOrder) (OrderOutcome, error)
	// CacheStoreAnswers tells whether a store of kept cache answers at all.
	CacheStoreAnswers(ctx context.Context, address string) bool
}
