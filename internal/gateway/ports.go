package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Clock tells moments by a clock that goes on while the machine is suspended.
type Clock interface {
	// Now returns the present moment. It is not to be mixed with those of time.Now.
	Now() time.Time
	// Suspended returns the time of all suspensions since the process started.
	Suspended() time.Duration
}

// Part is one part of a prompt, shared with other requests but for the last.
type Part struct {
	ID     string
	Tokens int
}

// CallFacts is what a caller's request says beyond method, path and body.
type CallFacts struct {
	// ID is the caller's name of the request.
	ID string
	// Deadline is how long the caller waits; 0 means it does not say.
	Deadline time.Duration
	// Key is the caller's credential, empty without one.
	Key   string
	Model string
	// PromptTokens and MaxTokens are the caller's counts, if Counted is true.
	PromptTokens int
	MaxTokens    int
	Counted      bool
	Prompt       []Part
	// LastEvent is the last event of the stream that the caller has.
	LastEvent string
}

// Dispatch is what the router adds to a request on its way to a runner.
type Dispatch struct {
	// Remaining is the time left for the answer; 0 leaves it out.
	Remaining time.Duration
	// Runner names the runner that alone may run the request, whichever start of it.
	Runner string
	// Tenant is the caller's tenant, empty without one.
	Tenant string
	// Salt keeps cached prompt parts of different owners apart.
	Salt string
	// Priority is 0 to 9, 0 first; negative leaves it out.
	Priority int
	// WeightVersion is the version of the weights that alone may run the
	// request; 0 leaves it out.
	WeightVersion uint64
	// FetchFrom is the IP:port that cached prompt parts are fetched from, and
	// SaveTo the store they are saved to; empty leaves them out.
	FetchFrom string
	SaveTo    string
	// BackupTo is the IP:port of the runner that the run's memory is copied to
	// as it grows; ContinueFrom is the one that holds such a copy and is to go
	// on with the run. Empty leaves them out.
	BackupTo     string
	ContinueFrom string
	// LastEvent asks for the events after it.
	LastEvent string
}

// AnswerFacts is what the head of a runner's answer says.
type AnswerFacts struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Stamped answers were made by a runner.
	Stamped bool
	// NotRun is the runner's word that it has not run the request and never will.
	NotRun bool
	// WeightVersion is the version of the weights in use, 0 when not named.
	WeightVersion uint64
	// Encoded answers are not the runner's plain bytes.
	Encoded bool
	// Signals is what the runner says of itself.
	Signals backpressure.Signals
}

// Protocol is how callers, routers and runners write what they say of a
// request. It decides nothing.
type Protocol interface {
	// Call reads a caller's headers.
	Call(header http.Header) CallFacts
	// Forward returns the headers of a request to a runner: the caller's,
	// without those of the connection and those that only routers set, and the
	// dispatch's.
	Forward(caller http.Header, dispatch Dispatch) http.Header
	// Answer reads the head of a runner's answer.
	Answer(status int, header http.Header) AnswerFacts
	// Return returns the headers of the answer to the caller.
	Return(runner http.Header) http.Header
	// Refusal names the request in an answer of the router's own.
	Refusal(id string) http.Header
	// EventVersion reads the version of the weights from an event of a stream.
	EventVersion(event []byte) (uint64, bool)
}

// ObjectKind names the objects that the router reads from the store.
type ObjectKind uint8

// The kinds of objects.
const (
	// ConfigObjects hold the configuration as a whole.
	ConfigObjects ObjectKind = iota
	// RunnerObjects are the directory of runners.
	RunnerObjects
	// WeightObjects name the newest version of a model's weights.
	WeightObjects
)

// String returns the kind's name.
func (k ObjectKind) String() string {
	return [...]string{"configuration", "runners", "weights"}[k]
}

// NamedWeights is the newest named version of a model's weights.
type NamedWeights struct {
	Model   string
	Version uint64
}

// Object is one object of the store, decoded. One of the pointers is set,
// unless the object is gone or could not be read.
type Object struct {
	Name     string
	Revision storerev.Revision
	Gone     bool
	Config   *routing.Config
	Runner   *backend.Runner
	Weights  *NamedWeights
	// Fault says why an object could not be read.
	Fault string
}

// Errors of the store.
var (
	// ErrHistoryGone means that changes were missed: list again.
	ErrHistoryGone = errors.New("store: history is gone")
	// ErrConflict means that the object is not at the expected revision.
	ErrConflict = errors.New("store: revision conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("store: not found")
	// ErrThrottled means that the store refused the call for its rate.
	ErrThrottled = errors.New("store: throttled")
	// ErrUnavailable means that the store did nothing.
	ErrUnavailable = errors.New("store: unavailable")
)

// Store is the service that keeps what must last. Specs of objects are as the
// platform writes them; Ports.Decode reads them.
type Store interface {
	// List returns all objects of the kind and the revision that they stand for. A
	// stale list may be some seconds old and costs the store little.
	List(ctx context.Context, kind ObjectKind, stale bool) (objects []v1.Object, revision storerev.Revision, err error)
	// Watch returns the changes after the revision as soon as there are any, or
	// none after the wait, with the revision up to which nothing else changed. The store
	// goes by the number alone: an answer of another era has no changes of the one between.
	Watch(ctx context.Context, kind ObjectKind, revision storerev.Revision, wait time.Duration) (objects []v1.Object, at storerev.Revision, err error)
	// Lease reads the lease object. When there is none it returns ErrNotFound and the start
	// of the era.
	Lease(ctx context.Context) (spec v1.LeaseSpec, revision storerev.Revision, err error)
	// WriteLease writes it if its number still is the revision's, or creates it.
	WriteLease(ctx context.Context, spec v1.LeaseSpec, exists bool, revision storerev.Revision) (written storerev.Revision, err error)
	// Quarantines lists the contents that are kept, and the revision that the list stands for;
	// a stale list may be some seconds old.
	Quarantines(ctx context.Context, stale bool) ([]KeptQuarantine, storerev.Revision, error)
	// WatchQuarantines returns the changes after the revision as soon as there are any, or
	// none after the wait, with the revision up to which nothing else changed.
	WatchQuarantines(ctx context.Context, revision storerev.Revision, wait time.Duration) ([]KeptQuarantine, storerev.Revision, error)
	// KeepQuarantine writes what is known of a content, in place of what is kept of it.
	KeepQuarantine(ctx context.Context, record quarantine.Record) error
	// DropQuarantine takes the content out; one that is not kept is no error.
	DropQuarantine(ctx context.Context, content quarantine.ContentID) error
	// OnEra has the function told the era of each answer that names one, refusals included.
	// It is set before the first call. The era rises by one whenever the store comes back
	// from a copy: it then lacks what it acknowledged since, and gives out the revisions of
	// that time again.
	OnEra(told func(era uint64))
}

// KeptQuarantine is one object of the store that keeps a quarantine.
type KeptQuarantine struct {
	Name string
	// Gone is set when it was taken out.
	Gone bool
	// Record has times of day as its moments.
	Record quarantine.Record
	// Fault says why it could not be read, empty if it was.
	Fault string
}

// CachedPart is one prompt part that a runner or a store of kept cache keeps.
type CachedPart struct {
	// Salt keeps parts of different owners and weights apart.
	Salt string
	Part string
}

// CacheEvent is one change of what a runner or store keeps.
type CacheEvent struct {
	CachedPart
	// Removed parts are kept no longer, or no longer whole.
	Removed bool
}

// CachePosition is a place in the sequence of changes of one runner or store.
type CachePosition struct {
	// Epoch is another one after each start.
	Epoch uint64
	// Next is where the changes go on.
	Next uint64
}

// CacheChanges are the changes after a position.
type CacheChanges struct {
	Position CachePosition
	// Incomplete is true when older changes are no longer known.
	Incomplete bool
	Events     []CacheEvent
}

// CacheReader reads what runners and stores of kept cache keep. The runner is the
// id of the one that alone may answer, empty for a store.
type CacheReader interface {
	// CacheList returns everything that is kept, as of the position.
	CacheList(ctx context.Context, address, runner string) ([]CachedPart, CachePosition, error)
	// CacheChanges returns what changed after the position, as soon as there is
	// anything and after the wait at the latest.
	CacheChanges(ctx context.Context, address, runner string, after CachePosition, wait time.Duration) (CacheChanges, error)
}
