package admission

import (
	"math"
	"time"
)

// ShortestQueue returns the shortest time that LongestQueue draws: what is expected to queue
// for less is refused to nobody of the rank.
func ShortestQueue(target time.Duration, rank Rank) time.Duration {
	share := firstShed * math.Pow(tierShare, float64(rank.Tier)) * math.Pow(routeShare, float64(rank.Route))
	return time.Duration(share * float64(target))
}
