package v1

// Default values of unset fields. They are written into every stored resource so that operators
// see the values in effect.
const (
	DefaultMaxWaitMillis     = 2000
	DefaultRequestsPerSecond = 100
	DefaultMaxConcurrent     = 256
	DefaultContextTokens     = 32768
	DefaultHitWeight         = 1.0
	DefaultMaxLoading        = 2
	DefaultMinServingPercent = 50
	DefaultAnchorStride      = 1
	DefaultBlockBytes        = 64
)

// Defaulter is implemented by all specs.
type Defaulter interface {
	// SetDefaults writes default values into unset fields.
	SetDefaults()
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetDefaults implements Defaulter.
func (s *TierSpec) SetDefaults() { setDefault(&s.MaxWaitMillis, DefaultMaxWaitMillis) }

// SetDefaults implements Defaulter.
func (s *TenantSpec) SetDefaults() {
	setDefault(&s.RequestsPerSecond, DefaultRequestsPerSecond)
	setDefault(&s.MaxConcurrent, DefaultMaxConcurrent)
}

// SetDefaults implements Defaulter.
func (s *ModelSpec) SetDefaults() { setDefault(&s.ContextTokens, DefaultContextTokens) }

// SetDefaults implements Defaulter.
func (s *AdapterSpec) SetDefaults() {}

// SetDefaults implements Defaulter.
func (s *WeightVersionSpec) SetDefaults() {}

// SetDefaults implements Defaulter.
func (s *PoolSpec) SetDefaults() {
	setDefault(&s.HitWeight, DefaultHitWeight)
	setDefault(&s.MaxLoading, DefaultMaxLoading)
	setDefault(&s.MinServingPercent, DefaultMinServingPercent)
	setDefault(&s.AnchorStride, DefaultAnchorStride)
	setDefault(&s.BlockBytes, DefaultBlockBytes)
}

// SetDefaults implements Defaulter.
func (s *RunnerSpec) SetDefaults() { setDefault(&s.Role, RoleServe) }

// SetDefaults implements Defaulter.
func (s *MachineSpec) SetDefaults() { setDefault(&s.State, MachineLive) }

// SetDefaults implements Defaulter.
func (s *LeaseSpec) SetDefaults() {}

// SetDefaults implements Defaulter.
func (s *ClaimAssignmentSpec) SetDefaults() {}
