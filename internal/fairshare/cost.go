package fairshare

// Costs that are added to the prompt tokens of a request, in prompt tokens.
const (
	// generatedTokenCost is the cost of one generated token. A decoding step generates one token
	// for each request of the batch and takes as long as the prefill of some hundred tokens.
	generatedTokenCost = 8
	// baseRequestCost is the cost of any request, including one that uses no language model.
	baseRequestCost = 100
)

// Cost returns the estimated engine time of a request in prompt tokens. uncachedTokens is the part
// of the prompt that the runner has not cached, and maxTokens the most tokens that the request may
// generate.
func Cost(uncachedTokens, maxTokens int) float64 {
	return baseRequestCost + float64(max(uncachedTokens, 0)) + generatedTokenCost*float64(max(maxTokens, 0))
}
