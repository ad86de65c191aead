package admission

import "time"

// LowestMaxQueue returns the lowest bound that DrawMaxQueue can return. No request of the rank is
// refused for a shorter queueing time.
func LowestMaxQueue(target time.Duration, rank Rank) time.Duration {
	share := noSheddingShare * rank.queueFactor()
	return time.Duration(share * float64(target))
}
