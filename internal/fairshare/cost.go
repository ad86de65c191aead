package fairshare

// Costs in prompt tokens.
const (
	// stepCost is the cost of one token made. A step makes one token for each request of
	// the batch and takes as long as reading some hundred tokens.
	stepCost = 8
	// requestCost is the cost of a request whatever it reads and makes, and of one that
	// uses no language model.
	requestCost = 100
)

// Cost is the estimated engine time of a request, in prompt tokens: what it has to read,
// without what its runner keeps, and at most makes.
func Cost(uncachedTokens, maxTokens int) float64 {
	return requestCost + float64(max(uncachedTokens, 0)) + stepCost*float64(max(maxTokens, 0))
}
