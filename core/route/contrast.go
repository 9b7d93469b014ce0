package route

import (
	"math"
	"slices"
)

const (
	// contrastMin is the number of answers that show whether a replica's speed differs clearly,
	// contrastMax the number that are remembered. In a large fleet a VM gets one answer from a
	// replica in five to ten seconds.
	contrastMin, contrastMax = 24, 64
	// The speed of a replica differs clearly if the mean ratio of its times between events to
	// the usual exceeds gapContrast, that of its times to the first token firstContrast, both to
	// the same side, and the former by more than contrastErrors standard errors. Equal replicas
	// differ in either by the prompts that they hold and the load of others, by up to a third.
	gapContrast, firstContrast = 1.4, 1.25
	contrastErrors             = 4
)

// contrast compares the times of a replica with those of the others. It collects the logarithms of
// the ratios of measured to expected times.
type contrast struct {
	n, first, gap, gapSquares float64
	// least is the least time between events in seconds of the present generation of answers,
	// leastBefore that of the one before.
	least, leastBefore float64
}

// add adds an answer.
func (c *contrast) add(firstRatio, gapRatio, gap float64) {
	if c.least == 0 || gap < c.least {
		c.least = gap
	}
	c.addRatios(firstRatio, gapRatio)
}

func (c *contrast) addRatios(firstRatio, gapRatio float64) {
	if c.n >= contrastMax {
		c.least, c.leastBefore = 0, c.least
		c.n, c.first, c.gap, c.gapSquares = c.n/2, c.first/2, c.gap/2, c.gapSquares/2
	}
	first, gap := math.Log(clampRatio(firstRatio)), math.Log(clampRatio(gapRatio))
	c.n, c.first, c.gap, c.gapSquares = c.n+1, c.first+first, c.gap+gap, c.gapSquares+gap*gap
}

// leastGap returns the least time between events, zero if there are not enough answers.
func (c *contrast) leastGap() float64 {
	switch {
	case c.n < contrastMin:
		return 0
	case c.least == 0 || c.leastBefore > 0 && c.leastBefore < c.least:
		return c.leastBefore
	}
	return c.least
}

// differs reports whether the speed differs clearly from the usual. all are the replicas of the
// model: a replica that is only busier than the others has been as fast as them at times.
func (c *contrast) differs(all []*state) bool {
	if c.n < contrastMin {
		return false
	}
	first, gap := c.first/c.n, c.gap/c.n
	standardError := math.Sqrt(max(0, c.gapSquares/c.n-gap*gap) / c.n)
	same := first*gap > 0 && math.Abs(first) > math.Log(firstContrast)
	if !same || math.Abs(gap) <= max(math.Log(gapContrast), contrastErrors*standardError) {
		return false
	}
	var least []float64
	for _, s := range all {
		if gap := s.speed.contrast.leastGap(); gap > 0 {
			least = append(least, gap)
		}
	}
	if len(least) < medianSamplesMin {
		return false
	}
	slices.Sort(least)
	ratio := math.Log(c.leastGap() / least[len(least)/2])
	return ratio*gap > 0 && math.Abs(ratio) > math.Log(gapContrast)
}

func clampRatio(r float64) float64 { return min(max(1.0/fitOutlier, r), fitOutlier) }
