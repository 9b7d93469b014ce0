package fair

import (
	"math"
	"slices"
)

// level returns the max-min fair level: the sum of the lesser of each demand and the level is the
// capacity. It is infinite if the capacity suffices for all. The demands are sorted in place.
func level(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	left := capacity
	for i, demand := range demands {
		part := left / float64(len(demands)-i)
		if demand > part {
			return part
		}
		left -= demand
	}
	return math.Inf(1)
}
