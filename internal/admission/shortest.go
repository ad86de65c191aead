package admission

import "time"

// ShortestQueue returns the shortest time that LongestQueue draws: what is expected to queue
// for less is refused to nobody of the rank.
func ShortestQueue(target time.Duration, rank Rank) time.Duration {
	share := firstShed * rank.share()
	return time.Duration(share * float64(target))
}
