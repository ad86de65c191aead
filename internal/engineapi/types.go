// Package engineapi is the protocol between routers and model engines: JSON
// over HTTP, with server-sent events for output. docs/API.md describes it.
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

// Frame formats: which caller's API the output chunks are encoded for.
const (
	FormatChat       = "chat.completion.chunk"
	FormatCompletion = "text_completion"
)

// Server-sent event names on an output stream. Output frames have no name.
const (
	EventStart = "start"
	EventEnd   = "end"
)

// GenerateRequest asks an engine to run one attempt of a request.
type GenerateRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	// Incarnation, Model and WeightVersion must match the engine's own, or it refuses.
	Incarnation   uint64 `json:"incarnation"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter,omitempty"`
	WeightVersion string `json:"weight_version"`
	// CacheSalt separates the cache blocks of tenants, models and weights.
	CacheSalt  string `json:"cache_salt"`
	BlockBytes int    `json:"block_bytes"`
	Prompt     string `json:"prompt"`
	// Generated is output of an earlier attempt, to be continued; GeneratedTokens counts it.
	Generated       string `json:"generated,omitempty"`
	GeneratedTokens int    `json:"generated_tokens,omitempty"`
	MaxTokens       int    `json:"max_tokens"`
	// Priority is the tier's priority, 0 first.
	Priority int `json:"priority"`
	// DeadlineMillis is how long the caller waits; the engine drops the request after it.
	DeadlineMillis int64 `json:"deadline_millis,omitempty"`
	// Format, ID and Created shape the chunks, so that they can be relayed as they are.
	Format  string `json:"format"`
	ID      string `json:"id"`
	Created int64  `json:"created"`
	// DisplayModel is the model name as the caller wrote it.
	DisplayModel string `json:"display_model"`
}

// ResumeRequest asks for the stream of an attempt from an offset on. An engine
// that never saw the attempt refuses with CodeNeverSeen and from then on
// refuses the attempt itself with CodeBarred.
type ResumeRequest struct {
	Request     string `json:"request"`
	Attempt     uint32 `json:"attempt"`
	Incarnation uint64 `json:"incarnation"`
	Offset      int    `json:"offset"`
}

// CancelRequest stops an attempt that nobody awaits, and bars it if unseen.
type CancelRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
}

// Code says why an engine refused.
type Code string

// The refusals. Each of them means that the attempt has not run.
const (
	CodeIncarnation   Code = "incarnation_mismatch"
	CodeWeightVersion Code = "weight_version_mismatch"
	CodeAdapter       Code = "adapter_not_loaded"
	CodeDraining      Code = "draining"
	CodeFull          Code = "full"
	CodeBarred        Code = "barred"
	CodeDuplicate     Code = "duplicate_attempt"
	CodeNeverSeen     Code = "never_seen_and_barred"
	CodeBadRequest    Code = "bad_request"
	CodeStaleToken    Code = "stale_token"
	CodeNotResumable  Code = "not_resumable"
)

// Refusal is the body of every refusal.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Token is the highest fencing token seen, on CodeStaleToken.
	Token uint64 `json:"token,omitempty"`
}

// Load is an engine's account of its work.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens counts prompt tokens still to be computed, by priority class.
	QueuedTokens []int `json:"queued_tokens"`
	// PrefillRate is prompt tokens computed a second.
	PrefillRate int `json:"prefill_rate"`
	MaxRunning  int `json:"max_running"`
}

// Start is the data of EventStart: the engine has begun to compute.
type Start struct {
	CachedTokens int  `json:"cached_tokens"`
	Load         Load `json:"load"`
}

// End is the data of EventEnd.
type End struct {
	FinishReason     string `json:"finish_reason"`
	CompletionTokens int    `json:"completion_tokens"`
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
}

// State is an engine's readiness.
type State string

// The states of an engine.
const (
	StateServing  State = "serving"
	StateLoading  State = "loading"
	StateDraining State = "draining"
)

// Block is one cache block in an event or a list.
type Block struct {
	Hash uint64 `json:"hash"`
	// Root is the hash of the first block of the chain.
	Root  uint64 `json:"root"`
	Depth int    `json:"depth"`
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

// CacheEvent is one line of the event stream. Sequence rises by one for each
// published event, so a jump shows a gap.
type CacheEvent struct {
	Sequence uint64  `json:"sequence"`
	Added    []Block `json:"added,omitempty"`
	Removed  []Block `json:"removed,omitempty"`
	Status   *Status `json:"status,omitempty"`
}

// BlockList is the full list of cached blocks, with the sequence of the last
// event it includes.
type BlockList struct {
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	Blocks      []Block `json:"blocks"`
}

// OrderKind names what an order changes.
type OrderKind string

// The orders.
const (
	OrderLoadWeights OrderKind = "load_weights"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order is a fenced order to an engine. The engine refuses a token lower than
// the highest that it has seen.
type Order struct {
	Token         uint64    `json:"token"`
	Kind          OrderKind `json:"kind"`
	Model         string    `json:"model,omitempty"`
	WeightVersion string    `json:"weight_version,omitempty"`
	Source        string    `json:"source,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Role          string    `json:"role,omitempty"`
}
