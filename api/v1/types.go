// Package v1 defines the versioned resources with which operators configure clovertiller, their
// default values, their validation and their YAML manifests.
//
// The platform's object API stores each resource as an Object, whose Spec is the JSON encoding of
// one of the spec types of this package. The package performs no I/O.
package v1

import (
	"encoding/json"
)

// APIVersion is the value of the apiVersion field of every manifest.
const APIVersion = "clovertiller/v1"

// Kind is the type of a resource.
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
	// Version is the revision of the platform's store at which the object last changed, including
	// the era of the store. It orders all accepted states of the object.
	Version uint64 `json:"version"`
	// Deleted marks a tombstone: Version is then the revision of the deletion.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	Status  *Status         `json:"status,omitempty"`
	// Fault tells why the object could not be read from the store. It then has no spec. Nodes do not exchange it.
	Fault string `json:"-"`
}

// Key returns the kind and name of the object.
func (o Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// ConditionState is the state of a Condition.
type ConditionState string

// The states of a condition.
const (
	ConditionTrue    ConditionState = "True"
	ConditionFalse   ConditionState = "False"
	ConditionUnknown ConditionState = "Unknown"
)

// Condition types written by the routers.
const (
	// ConditionAccepted is true if the routers can decode the object and it is valid.
	ConditionAccepted = "Accepted"
	// ConditionInForce is true if every live router applies ObservedVersion.
	ConditionInForce = "InForce"
	// ConditionServing is true if the runner serves the desired weights of its model.
	ConditionServing = "Serving"
)

// Condition is the state of one aspect of a resource, as observed by the routers.
type Condition struct {
	Type    string         `json:"type"`
	State   ConditionState `json:"state"`
	Reason  string         `json:"reason,omitempty"`
	Message string         `json:"message,omitempty"`
}

// Status is the state of a resource, as reported by the routers.
type Status struct {
	// ObservedVersion is the version of the object to which the conditions apply.
	ObservedVersion uint64      `json:"observedVersion"`
	Conditions      []Condition `json:"conditions,omitempty"`
}

// TierSpec defines a service tier, which determines the priority of its tenants' requests.
type TierSpec struct {
	// Priority orders the tiers; 0 is the highest priority.
	Priority int `json:"priority"`
	// MaxWaitMillis is the maximum expected time to first token, in milliseconds. Requests of
	// this tier that would wait for longer are refused.
	MaxWaitMillis int `json:"maxWaitMillis,omitempty"`
}

// TenantSpec defines a customer of the platform and its limits.
type TenantSpec struct {
	Tier string `json:"tier"`
	// KeyHashes are SHA-256 digests of the tenant's bearer tokens, in lower-case hex.
	KeyHashes []string `json:"keyHashes"`
	// RequestsPerSecond is the maximum sustained request rate across all routers.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// MaxConcurrent is the maximum number of open requests across all routers.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// Models are the models that the tenant may use; empty means all.
	Models []string `json:"models,omitempty"`
}

// ModelSpec defines a model that requests may name.
type ModelSpec struct {
	// Pool is the pool whose runners serve the model.
	Pool string `json:"pool"`
	// WeightVersion is the desired version of the weights. A rollout updates the runners to it.
	WeightVersion string `json:"weightVersion"`
	// ContextTokens is the maximum length of prompt and completion together, in tokens.
	ContextTokens int `json:"contextTokens,omitempty"`
}

// AdapterSpec defines a fine-tuned adapter of a model. Requests name it as "model:adapter".
type AdapterSpec struct {
	Model string `json:"model"`
}

// WeightVersionSpec defines one version of a model's weights in the weight store.
type WeightVersionSpec struct {
	Model string `json:"model"`
	// Source is the name of the weights in the weight store.
	Source string `json:"source"`
}

// PoolSpec defines a group of runners that serve the same models, and the limits of rollouts
// in the group.
type PoolSpec struct {
	// HitWeight is the cost of one uncached prompt token relative to one queued token. It weighs
	// cache hits against queueing in the choice of a runner.
	HitWeight float64 `json:"hitWeight,omitempty"`
	// MaxLoading is the maximum number of runners that load weights at the same time.
	MaxLoading int `json:"maxLoading,omitempty"`
	// MinServingPercent is the percentage of runners that must keep serving during a rollout.
	MinServingPercent int `json:"minServingPercent,omitempty"`
	// AnchorStride is the distance between indexed cache blocks, in blocks.
	AnchorStride int `json:"anchorStride,omitempty"`
	// BlockBytes is the size of a cache block, in bytes of prompt text.
	BlockBytes int `json:"blockBytes,omitempty"`
}

// RunnerRole determines whether a runner of a pool receives requests.
type RunnerRole string

// The roles of a runner.
const (
	RoleServe RunnerRole = "serve"
	// RoleStandby keeps the weights of a runner loaded, but excludes it from placement.
	RoleStandby RunnerRole = "standby"
)

// RunnerSpec defines one model engine process.
type RunnerSpec struct {
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// Address is the IP:port of the engine's HTTP server.
	Address string     `json:"address"`
	Role    RunnerRole `json:"role,omitempty"`
	// Machine is the name, in the machine list, of the machine on which the runner runs.
	Machine string `json:"machine,omitempty"`
}

// MachineState is a machine's state in the platform's machine list.
type MachineState string

// The states of a machine. A leaving machine is about to be removed.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineSpec is one entry of the platform's machine list.
type MachineSpec struct {
	State MachineState `json:"state"`
	Zone  string       `json:"zone"`
}

// LeaseSpec is the content of a lease object. The version of the object at the write that
// acquired the lease is the fencing token of the holder's term.
type LeaseSpec struct {
	Holder string `json:"holder"`
	// Term counts acquisitions. A renewal does not change it.
	Term uint64 `json:"term"`
	// RenewCount changes with every renewal, so that other nodes can measure the age of the
	// lease by their own clocks.
	RenewCount uint64 `json:"renewCount"`
	// DurationMillis is the time without renewal, in milliseconds, after which another node may
	// acquire the lease.
	DurationMillis int64 `json:"durationMillis"`
	// StoreEra is the era of the platform's store in which the writer last read the lease; 0
	// means the first era.
	StoreEra uint64 `json:"storeEra,omitempty"`
}

// ClaimHolder identifies one process that holds claims. Claims are kept in memory, so the
// incarnation distinguishes a restarted process, which has lost them, from the one before.
type ClaimHolder struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// ClaimAssignmentSpec is the current set of claim holders. Each new set has a higher number.
type ClaimAssignmentSpec struct {
	Number  uint64        `json:"number"`
	Holders []ClaimHolder `json:"holders"`
}
