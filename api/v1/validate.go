package v1

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"

	"github.com/gravitational/trace"
)

// Limits on resource fields.
const (
	maxPriority      = 100
	maxNameLength    = 63
	maxAnchorStride  = 1024
	minBlockBytes    = 16
	maxBlockBytes    = 65536
	keyHashHexLength = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Fault is an invalid field of a resource.
type Fault struct {
	// Field is the path of the field, such as "spec.tier".
	Field   string
	Message string
}

// String returns "field: message".
func (f Fault) String() string { return f.Field + ": " + f.Message }

// Spec is the content of a resource.
type Spec interface {
	Defaulter
	// Validate returns the faults that can be found without looking at other resources.
	Validate() []Fault
	// References returns the references to other resources that must exist.
	References() []Reference
}

// Reference is a field that refers to another resource.
type Reference struct {
	Field  string
	Target Key
}

// NewSpec returns an empty spec of the kind, or false for an unknown kind.
func NewSpec(kind Kind) (Spec, bool) {
	switch kind {
	case KindTier:
		return &TierSpec{}, true
	case KindTenant:
		return &TenantSpec{}, true
	case KindModel:
		return &ModelSpec{}, true
	case KindAdapter:
		return &AdapterSpec{}, true
	case KindWeightVersion:
		return &WeightVersionSpec{}, true
	case KindPool:
		return &PoolSpec{}, true
	case KindRunner:
		return &RunnerSpec{}, true
	case KindMachine:
		return &MachineSpec{}, true
	case KindLease:
		return &LeaseSpec{}, true
	case KindClaimAssignment:
		return &ClaimAssignmentSpec{}, true
	}
	return nil, false
}

// DecodeSpec decodes the spec of an object and sets unset fields to their defaults. It returns
// trace.BadParameter if the kind or a field is unknown or the spec cannot be decoded.
func DecodeSpec(object Object) (Spec, error) {
	spec, known := NewSpec(object.Kind)
	if !known {
		return nil, trace.BadParameter("kind: unknown kind %q", object.Kind)
	}
	decoder := json.NewDecoder(bytes.NewReader(object.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return nil, trace.BadParameter("spec: %v", err)
	}
	spec.SetDefaults()
	return spec, nil
}

// ValidateName returns a fault if the resource name is invalid.
func ValidateName(name string) []Fault {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return []Fault{{"metadata.name", fmt.Sprintf("must be at most %d lower-case letters, digits, '-' or '.', got %q", maxNameLength, name)}}
	}
	return nil
}

// faultList collects the faults of one spec.
type faultList []Fault

// require adds a fault unless ok is true.
func (l *faultList) require(ok bool, field, format string, args ...any) {
	if !ok {
		*l = append(*l, Fault{field, fmt.Sprintf(format, args...)})
	}
}

// Validate implements Spec.
func (s *TierSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.Priority >= 0 && s.Priority <= maxPriority, "spec.priority", "must be 0 to %d, got %d", maxPriority, s.Priority)
	faults.require(s.MaxWaitMillis > 0, "spec.maxWaitMillis", "must be above 0, got %d", s.MaxWaitMillis)
	return faults
}

// References implements Spec.
func (s *TierSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *TenantSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.Tier != "", "spec.tier", "is required")
	faults.require(len(s.KeyHashes) > 0, "spec.keyHashes", "needs at least one key hash")
	for i, hash := range s.KeyHashes {
		_, err := hex.DecodeString(hash)
		faults.require(err == nil && len(hash) == keyHashHexLength, fmt.Sprintf("spec.keyHashes[%d]", i), "must be a SHA-256 digest of %d hex digits", keyHashHexLength)
	}
	faults.require(s.RequestsPerSecond > 0, "spec.requestsPerSecond", "must be above 0, got %g", s.RequestsPerSecond)
	faults.require(s.MaxConcurrent > 0, "spec.maxConcurrent", "must be above 0, got %d", s.MaxConcurrent)
	return faults
}

// References implements Spec.
func (s *TenantSpec) References() []Reference {
	references := []Reference{{"spec.tier", Key{KindTier, s.Tier}}}
	for i, model := range s.Models {
		references = append(references, Reference{fmt.Sprintf("spec.models[%d]", i), Key{KindModel, model}})
	}
	return references
}

// Validate implements Spec.
func (s *ModelSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.Pool != "", "spec.pool", "is required")
	faults.require(s.WeightVersion != "", "spec.weightVersion", "is required")
	faults.require(s.ContextTokens > 0, "spec.contextTokens", "must be above 0, got %d", s.ContextTokens)
	return faults
}

// References implements Spec.
func (s *ModelSpec) References() []Reference {
	return []Reference{
		{"spec.pool", Key{KindPool, s.Pool}},
		{"spec.weightVersion", Key{KindWeightVersion, s.WeightVersion}},
	}
}

// Validate implements Spec.
func (s *AdapterSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.Model != "", "spec.model", "is required")
	return faults
}

// References implements Spec.
func (s *AdapterSpec) References() []Reference {
	return []Reference{{"spec.model", Key{KindModel, s.Model}}}
}

// Validate implements Spec.
func (s *WeightVersionSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.Model != "", "spec.model", "is required")
	faults.require(s.Source != "", "spec.source", "is required")
	return faults
}

// References implements Spec. It does not include the model: a model and its weight version
// refer to each other, and one of the two must be written first.
func (s *WeightVersionSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *PoolSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.HitWeight > 0 && s.HitWeight <= 10, "spec.hitWeight", "must be above 0 and at most 10, got %g", s.HitWeight)
	faults.require(s.MaxLoading > 0, "spec.maxLoading", "must be above 0, got %d", s.MaxLoading)
	faults.require(s.MinServingPercent >= 0 && s.MinServingPercent < 100, "spec.minServingPercent", "must be 0 to 99, got %d", s.MinServingPercent)
	faults.require(s.AnchorStride > 0 && s.AnchorStride <= maxAnchorStride, "spec.anchorStride", "must be 1 to %d, got %d", maxAnchorStride, s.AnchorStride)
	faults.require(s.BlockBytes >= minBlockBytes && s.BlockBytes <= maxBlockBytes, "spec.blockBytes", "must be %d to %d, got %d", minBlockBytes, maxBlockBytes, s.BlockBytes)
	return faults
}

// References implements Spec.
func (s *PoolSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *RunnerSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.Pool != "", "spec.pool", "is required")
	faults.require(s.Zone != "", "spec.zone", "is required")
	_, err := netip.ParseAddrPort(s.Address)
	faults.require(err == nil, "spec.address", "must be IP:port, got %q", s.Address)
	faults.require(s.Role == RoleServe || s.Role == RoleStandby, "spec.role", "must be %q or %q, got %q", RoleServe, RoleStandby, s.Role)
	return faults
}

// References implements Spec.
func (s *RunnerSpec) References() []Reference {
	return []Reference{{"spec.pool", Key{KindPool, s.Pool}}}
}

// Validate implements Spec.
func (s *MachineSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.State == MachineLive || s.State == MachineLeaving, "spec.state", "must be %q or %q, got %q", MachineLive, MachineLeaving, s.State)
	return faults
}

// References implements Spec.
func (s *MachineSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *LeaseSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.DurationMillis > 0, "spec.durationMillis", "must be above 0, got %d", s.DurationMillis)
	return faults
}

// References implements Spec.
func (s *LeaseSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *ClaimAssignmentSpec) Validate() []Fault {
	var faults faultList
	faults.require(s.Number > 0, "spec.number", "must be above 0")
	faults.require(len(s.Holders) > 0, "spec.holders", "needs at least one holder")
	return faults
}

// References implements Spec.
func (s *ClaimAssignmentSpec) References() []Reference { return nil }
