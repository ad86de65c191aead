// Package v1 holds the typed, versioned resources by which operators drive
// clovertiller, with their defaults, validation and YAML form.
//
// The package has no I/O. The platform's object API stores each resource as an
// Object whose Spec is the JSON form of one of the spec types below.
package v1

import (
	"encoding/json"
)

// APIVersion is the value of the apiVersion field of every manifest.
const APIVersion = "clovertiller/v1"

// Kind names a resource type.
type Kind string

// The resource kinds. Machine, Lease and ClaimAssignment are written by the
// platform or by the routers; operators write the others.
const (
	KindTier            Kind = "Tier"
	KindTenant          Kind = "Tenant"
	KindModel           Kind = "Model"
	KindAdapter         Kind = "Adapter"
	KindWeightVersion   Kind = "WeightVersion"
	KindPool            Kind = "Pool"
	KindRunner          Kind = "Runner"
	KindMachine         Kind = "Machine"
	KindLease           Kind = "Lease"
	KindClaimAssignment Kind = "ClaimAssignment"
)

// OperatorKinds lists the kinds that operators may write, referenced kinds first.
var OperatorKinds = []Kind{
	KindTier, KindTenant, KindPool, KindWeightVersion, KindModel, KindAdapter, KindRunner,
}

// Key identifies one resource.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is a resource as stored by the platform.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the platform's revision at which the object last changed, with its era.
	// It orders all accepted states of the object.
	Version uint64 `json:"version"`
	// Deleted marks a tombstone: Version is then the revision of the deletion.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  *Status         `json:"status,omitempty"`
}

// Key returns the object's identity.
func (o Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// ConditionState is the value of a Condition.
type ConditionState string

// The values of a condition.
const (
	ConditionTrue    ConditionState = "True"
	ConditionFalse   ConditionState = "False"
	ConditionUnknown ConditionState = "Unknown"
)

// Condition types written by the routers.
const (
	// ConditionAccepted says whether the routers could read and validate the object.
	ConditionAccepted = "Accepted"
	// ConditionInForce says whether every live router applies ObservedVersion.
	ConditionInForce = "InForce"
	// ConditionServing says whether a runner serves its model's desired weights.
	ConditionServing = "Serving"
)

// Condition is one typed observation about a resource.
type Condition struct {
	Type    string         `json:"type"`
	State   ConditionState `json:"state"`
	Reason  string         `json:"reason,omitempty"`
	Message string         `json:"message,omitempty"`
}

// Status is what the system reports back on a resource.
type Status struct {
	// ObservedVersion is the version the conditions speak of.
	ObservedVersion uint64      `json:"observedVersion"`
	Conditions      []Condition `json:"conditions,omitempty"`
}

// TierSpec is a priority that tenants buy.
type TierSpec struct {
	// Priority orders tiers; 0 is served first.
	Priority int `json:"priority"`
	// MaxWaitMillis is the longest expected wait for a first token, in
	// milliseconds, at which a request of this tier is still accepted.
	MaxWaitMillis int `json:"maxWaitMillis,omitempty"`
}

// TenantSpec is one customer of the platform.
type TenantSpec struct {
	Tier string `json:"tier"`
	// KeyHashes are lower-case hex SHA-256 digests of the tenant's bearer keys.
	KeyHashes []string `json:"keyHashes"`
	// RequestsPerSecond is the sustained request rate over all routers.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// MaxConcurrent bounds open requests over all routers.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// Models lists the models the tenant may call; empty means all.
	Models []string `json:"models,omitempty"`
}

// ModelSpec is a model callers may name.
type ModelSpec struct {
	Pool string `json:"pool"`
	// WeightVersion is the desired version; runners are moved to it by rollout.
	WeightVersion string `json:"weightVersion"`
	// ContextTokens bounds prompt plus answer, in tokens.
	ContextTokens int `json:"contextTokens,omitempty"`
}

// AdapterSpec is a fine-tuned adapter on a model; callers name it "model:adapter".
type AdapterSpec struct {
	Model string `json:"model"`
}

// WeightVersionSpec is one set of weights of a model in the weight store.
type WeightVersionSpec struct {
	Model string `json:"model"`
	// Source is the weight store's name of the weights.
	Source string `json:"source"`
}

// PoolSpec is a group of runners that share models and rollout limits.
type PoolSpec struct {
	// HitWeight weighs prefix hits against queueing when a runner is chosen:
	// the cost of one uncached prompt token relative to one queued token.
	HitWeight float64 `json:"hitWeight,omitempty"`
	// MaxLoading bounds how many runners load weights at once.
	MaxLoading int `json:"maxLoading,omitempty"`
	// MinServingPercent is the share of runners that must keep serving in a rollout.
	MinServingPercent int `json:"minServingPercent,omitempty"`
	// AnchorStride is the distance in blocks between indexed blocks.
	AnchorStride int `json:"anchorStride,omitempty"`
	// BlockBytes is the size of a cache block in bytes of prompt text.
	BlockBytes int `json:"blockBytes,omitempty"`
}

// RunnerRole is the part a runner plays in its pool.
type RunnerRole string

// The roles of a runner.
const (
	RoleServe RunnerRole = "serve"
	// RoleStandby keeps a runner loaded but out of placement.
	RoleStandby RunnerRole = "standby"
)

// RunnerSpec is one model engine process.
type RunnerSpec struct {
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// Address is the engine's HTTP address as IP:port.
	Address string     `json:"address"`
	Role    RunnerRole `json:"role,omitempty"`
	// Machine names the machine in the machine list that the runner is on.
	Machine string `json:"machine,omitempty"`
}

// MachineState is a machine's state in the platform's machine list.
type MachineState string

// The states of a listed machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineSpec is one entry of the platform's machine list.
type MachineSpec struct {
	State MachineState `json:"state"`
	Zone  string       `json:"zone"`
}

// LeaseSpec is the content of a lease object. The object's version at the
// acquiring write is the fencing token of the holder's term.
type LeaseSpec struct {
	Holder string `json:"holder"`
	// Term counts acquisitions; it changes with the holder, not on renewal.
	Term uint64 `json:"term"`
	// RenewCount changes on every renewal, so that other nodes can time the
	// lease on their own clocks.
	RenewCount uint64 `json:"renewCount"`
	// DurationMillis is the time without renewal after which it may be taken.
	DurationMillis int64 `json:"durationMillis"`
	// StoreEra is the era of the platform's store in which the writer had read the
	// lease before; without one, the first.
	StoreEra uint64 `json:"storeEra,omitempty"`
}

// ClaimHolder is one process that holds claims: a node and its incarnation, so
// that a restarted process, whose memory is gone, is not mistaken for it.
type ClaimHolder struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// ClaimAssignmentSpec is the numbered set of claim holders in force.
type ClaimAssignmentSpec struct {
	Number  uint64        `json:"number"`
	Holders []ClaimHolder `json:"holders"`
}
