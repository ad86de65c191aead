// Package engineapi defines the protocol between routers and model engines, with
// its client. It uses JSON over HTTP, and server-sent events for output.
// docs/API.md describes it.
package engineapi

// Paths of the engine's HTTP interface.
const (
	PathGenerate = "/v1/generate"
	PathResume   = "/v1/resume"
	PathCancel   = "/v1/cancel"
	PathEvents   = "/v1/events"
	PathBlocks   = "/v1/blocks"
	PathOrders   = "/v1/orders"
)

// Formats of the output chunks, which match the API that the caller uses.
const (
	FormatChat       = "chat.completion.chunk"
	FormatCompletion = "text_completion"
)

// Names of the server-sent events of an output stream. Output frames have no name.
const (
	EventStart = "start"
	EventEnd   = "end"
)

// GenerateRequest asks an engine to run one attempt of a request.
type GenerateRequest struct {
	// Request is the ID of the request, and Attempt the number of the attempt at it.
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	// Incarnation, Model and WeightVersion must match the engine's own. Otherwise the
	// engine refuses the attempt.
	Incarnation   uint64 `json:"incarnation"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter,omitempty"`
	WeightVersion string `json:"weight_version"`
	// CacheSalt is hashed into cache blocks, so that tenants, models and weights don't
	// share them.
	CacheSalt string `json:"cache_salt"`
	// BlockBytes is the size of a cache block in bytes of the prompt.
	BlockBytes int    `json:"block_bytes"`
	Prompt     string `json:"prompt"`
	// Generated is the output of earlier attempts, which this attempt continues, and
	// GeneratedTokens its number of tokens.
	Generated       string `json:"generated,omitempty"`
	GeneratedTokens int    `json:"generated_tokens,omitempty"`
	MaxTokens       int    `json:"max_tokens"`
	// Priority is the priority of the request's tier; 0 is highest.
	Priority int `json:"priority"`
	// DeadlineMillis is the remaining time in milliseconds that the caller waits. The
	// engine drops the request after it.
	DeadlineMillis int64 `json:"deadline_millis,omitempty"`
	// Format, ID and Created are written into the output chunks, so that the router can
	// relay the chunks unchanged.
	Format  string `json:"format"`
	ID      string `json:"id"`
	Created int64  `json:"created"`
	// DisplayModel is the model name as given by the caller.
	DisplayModel string `json:"display_model"`
}

// ResumeRequest asks for the output stream of an attempt from an offset on. An engine
// that has never seen the attempt refuses with CodeNeverSeenAndBarred, and from then on
// refuses the attempt itself with CodeBarred.
type ResumeRequest struct {
	Request     string `json:"request"`
	Attempt     uint32 `json:"attempt"`
	Incarnation uint64 `json:"incarnation"`
	Offset      int    `json:"offset"`
}

// CancelRequest stops an attempt whose output isn't needed any more. An engine that has
// never seen the attempt refuses it from then on with CodeBarred.
type CancelRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
}

// Code is the reason for which an engine refused a request.
type Code string

// Codes of refusals. Each of them means that the refused request did not start a run of
// the attempt. An attempt is barred if it has ended, or if the engine was asked to resume
// or cancel it before it arrived: the engine then never runs it.
const (
	CodeIncarnationMismatch   Code = "incarnation_mismatch"
	CodeWeightVersionMismatch Code = "weight_version_mismatch"
	CodeAdapterNotLoaded      Code = "adapter_not_loaded"
	CodeDraining              Code = "draining"
	CodeQueueFull             Code = "full"
	CodeBarred                Code = "barred"
	CodeDuplicateAttempt      Code = "duplicate_attempt"
	CodeNeverSeenAndBarred    Code = "never_seen_and_barred"
	CodeBadRequest            Code = "bad_request"
	CodeStaleToken            Code = "stale_token"
	CodeNotResumable          Code = "not_resumable"
)

// Refusal is the body of every refusal.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Token is the highest fencing token seen, on CodeStaleToken.
	Token uint64 `json:"token,omitempty"`
	// Request and Attempt identify the refused attempt, on refusals to generate or resume.
	Request string `json:"request,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
}

// Load is the current load of an engine, in requests and prompt tokens.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens is the number of prompt tokens still to be computed, by priority class.
	QueuedTokens []int `json:"queued_tokens"`
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate int `json:"prefill_rate"`
	// MaxRunning is the maximum number of requests that run at the same time.
	MaxRunning int `json:"max_running"`
}

// StartData is the data of EventStart, which the engine sends when it starts to
// process the prompt.
type StartData struct {
	CachedTokens int  `json:"cached_tokens"`
	Load         Load `json:"load"`
}

// EndData is the data of EventEnd, the last event of an output stream.
type EndData struct {
	FinishReason     string `json:"finish_reason"`
	CompletionTokens int    `json:"completion_tokens"`
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
}

// State is the state of an engine.
type State string

// The states of an engine.
const (
	StateServing  State = "serving"
	StateLoading  State = "loading"
	StateDraining State = "draining"
)

// Block identifies one block of an engine's cache.
type Block struct {
	Hash uint64 `json:"hash"`
	// Root is the hash of the first block of the block's chain.
	Root uint64 `json:"root"`
	// Depth is the number of blocks from the start of the chain to the end of this one.
	Depth int `json:"depth"`
}

// Status describes the engine process.
type Status struct {
	Incarnation   uint64   `json:"incarnation"`
	State         State    `json:"state"`
	Model         string   `json:"model"`
	WeightVersion string   `json:"weight_version"`
	Adapters      []string `json:"adapters,omitempty"`
	Role          string   `json:"role"`
	Load          Load     `json:"load"`
}

// CacheEvent is one line of the event stream, with changes of the cache or the status.
// Sequence increases by one with each event, so that clients detect lost events.
type CacheEvent struct {
	Sequence uint64  `json:"sequence"`
	Added    []Block `json:"added,omitempty"`
	Removed  []Block `json:"removed,omitempty"`
	Status   *Status `json:"status,omitempty"`
}

// BlockList is the full list of cached blocks. Sequence is that of the last event
// whose changes it includes.
type BlockList struct {
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	Blocks      []Block `json:"blocks"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadWeights OrderKind = "load_weights"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order is an order to an engine, with the fencing token of the controller's lease. The
// engine refuses a token lower than the highest that it has seen.
type Order struct {
	Token         uint64    `json:"token"`
	Kind          OrderKind `json:"kind"`
	Model         string    `json:"model,omitempty"`
	WeightVersion string    `json:"weight_version,omitempty"`
	Source        string    `json:"source,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Role          string    `json:"role,omitempty"`
}
