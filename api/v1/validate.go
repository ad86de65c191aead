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

// Fault is one thing wrong with a resource.
type Fault struct {
	// Field is the path of the field, such as "spec.tier".
	Field   string
	Message string
}

// String returns "field: message".
func (f Fault) String() string { return f.Field + ": " + f.Message }

// Spec is the typed content of a resource.
type Spec interface {
	Defaulter
	// Validate returns the faults visible without other resources.
	Validate() []Fault
	// References returns the resources this one names.
	References() []Reference
}

// Reference is a field that names another resource.
type Reference struct {
	Field string
	To    Key
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

// DecodeSpec reads the object's spec, refuses unknown fields and writes the
// defaults. It returns trace.BadParameter when the spec cannot be read.
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

// ValidateName returns the fault of a resource name, if any.
func ValidateName(name string) []Fault {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return []Fault{{"metadata.name", fmt.Sprintf("must be at most %d lower-case letters, digits, '-' or '.', got %q", maxNameLength, name)}}
	}
	return nil
}

// checks collects faults.
type checks []Fault

func (c *checks) require(ok bool, field, format string, args ...any) {
	if !ok {
		*c = append(*c, Fault{field, fmt.Sprintf(format, args...)})
	}
}

// Validate implements Spec.
func (s *TierSpec) Validate() []Fault {
	var c checks
	c.require(s.Priority >= 0 && s.Priority <= maxPriority, "spec.priority", "must be 0 to %d, got %d", maxPriority, s.Priority)
	c.require(s.MaxWaitMillis > 0, "spec.maxWaitMillis", "must be above 0, got %d", s.MaxWaitMillis)
	return c
}

// References implements Spec.
func (s *TierSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *TenantSpec) Validate() []Fault {
	var c checks
	c.require(s.Tier != "", "spec.tier", "is required")
	c.require(len(s.KeyHashes) > 0, "spec.keyHashes", "needs at least one key hash")
	for i, hash := range s.KeyHashes {
		_, err := hex.DecodeString(hash)
		c.require(err == nil && len(hash) == keyHashHexLength, fmt.Sprintf("spec.keyHashes[%d]", i), "must be a SHA-256 digest of %d hex digits", keyHashHexLength)
	}
	c.require(s.RequestsPerSecond > 0, "spec.requestsPerSecond", "must be above 0, got %g", s.RequestsPerSecond)
	c.require(s.MaxConcurrent > 0, "spec.maxConcurrent", "must be above 0, got %d", s.MaxConcurrent)
	return c
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
	var c checks
	c.require(s.Pool != "", "spec.pool", "is required")
	c.require(s.WeightVersion != "", "spec.weightVersion", "is required")
	c.require(s.ContextTokens > 0, "spec.contextTokens", "must be above 0, got %d", s.ContextTokens)
	return c
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
	var c checks
	c.require(s.Model != "", "spec.model", "is required")
	return c
}

// References implements Spec.
func (s *AdapterSpec) References() []Reference {
	return []Reference{{"spec.model", Key{KindModel, s.Model}}}
}

// Validate implements Spec.
func (s *WeightVersionSpec) Validate() []Fault {
	var c checks
	c.require(s.Model != "", "spec.model", "is required")
	c.require(s.Source != "", "spec.source", "is required")
	return c
}

// References implements Spec. The model is not listed: a model names its
// version and the version its model, and one of the two must be written first.
func (s *WeightVersionSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *PoolSpec) Validate() []Fault {
	var c checks
	c.require(s.HitWeight > 0 && s.HitWeight <= 10, "spec.hitWeight", "must be above 0 and at most 10, got %g", s.HitWeight)
	c.require(s.MaxLoading > 0, "spec.maxLoading", "must be above 0, got %d", s.MaxLoading)
	c.require(s.MinServingPercent >= 0 && s.MinServingPercent < 100, "spec.minServingPercent", "must be 0 to 99, got %d", s.MinServingPercent)
	c.require(s.AnchorStride > 0 && s.AnchorStride <= maxAnchorStride, "spec.anchorStride", "must be 1 to %d, got %d", maxAnchorStride, s.AnchorStride)
	c.require(s.BlockBytes >= minBlockBytes && s.BlockBytes <= maxBlockBytes, "spec.blockBytes", "must be %d to %d, got %d", minBlockBytes, maxBlockBytes, s.BlockBytes)
	return c
}

// References implements Spec.
func (s *PoolSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *RunnerSpec) Validate() []Fault {
	var c checks
	c.require(s.Pool != "", "spec.pool", "is required")
	c.require(s.Zone != "", "spec.zone", "is required")
	_, err := netip.ParseAddrPort(s.Address)
	c.require(err == nil, "spec.address", "must be IP:port, got %q", s.Address)
	c.require(s.Role == RoleServe || s.Role == RoleStandby, "spec.role", "must be %q or %q, got %q", RoleServe, RoleStandby, s.Role)
	return c
}

// References implements Spec.
func (s *RunnerSpec) References() []Reference {
	return []Reference{{"spec.pool", Key{KindPool, s.Pool}}}
}

// Validate implements Spec.
func (s *MachineSpec) Validate() []Fault {
	var c checks
	c.require(s.State == MachineLive || s.State == MachineLeaving, "spec.state", "must be %q or %q, got %q", MachineLive, MachineLeaving, s.State)
	return c
}

// References implements Spec.
func (s *MachineSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *LeaseSpec) Validate() []Fault {
	var c checks
	c.require(s.DurationMillis > 0, "spec.durationMillis", "must be above 0, got %d", s.DurationMillis)
	return c
}

// References implements Spec.
func (s *LeaseSpec) References() []Reference { return nil }

// Validate implements Spec.
func (s *ClaimAssignmentSpec) Validate() []Fault {
	var c checks
	c.require(s.Number > 0, "spec.number", "must be above 0")
	c.require(len(s.Holders) > 0, "spec.holders", "needs at least one holder")
	return c
}

// References implements Spec.
func (s *ClaimAssignmentSpec) References() []Reference { return nil }
