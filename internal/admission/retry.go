package admission

// RetryBudget bounds the attempts beyond the first, so that a brown-out does
// not multiply its own load: each request earns a share of an attempt.
// It is not safe for concurrent use.
type RetryBudget struct {
	share   float64
	reserve float64
	tokens  float64
}

// Values of the production budget.
const (
	// DefaultRetryShare allows one further attempt for every ten requests.
	DefaultRetryShare = 0.1
	// DefaultRetryReserve lets a few requests be retried when there is little traffic.
	DefaultRetryReserve = 20
)

// NewRetryBudget returns a full budget.
func NewRetryBudget(share, reserve float64) *RetryBudget {
	return &RetryBudget{share: share, reserve: reserve, tokens: reserve}
}

// Earn adds one request's share.
func (b *RetryBudget) Earn() { b.tokens = min(b.tokens+b.share, b.reserve) }

// SetReserve changes how many attempts may be saved up: never less than one, or
// none could ever be earned.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.reserve = max(reserve, 1)
	b.tokens = min(b.tokens, b.reserve)
}

// Spend takes one further attempt, or says that the budget is used up.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
