package scale

import (
	"cmp"
	"math"
	"slices"

	"gentianwell/core/call"
)

const (
	// evenShare is the part of the demand that is divided evenly between the zones. A zone with
	// few replicas sends requests to others, so that its own would look less needed than they are.
	evenShare = 0.15
	// surgeMargin is added to the present demand, which is an average over some seconds.
	surgeMargin = 1.1
)

// Need is how many replicas each zone needs, by what.
type Need struct {
	Zones map[call.Zone]int
	// Present is how many replicas the present demand needs: only for these are replicas added, while
	// Zones, which also covers what may come, says how many may be removed.
	Present map[call.Zone]int
	// Work is the engine time that the demand needs, in replicas, and Use the part of their time
	// for which replicas may read prompts.
	Work, Use float64
	// Rest is how many replicas have to be left when the largest zone is lost.
	Rest float64
	// Pressure is the factor by which lateness has raised the need.
	Pressure float64
}

// need returns how many replicas each zone needs.
func (c Config) need(in Input, h *History) Need {
	work, total, means := h.means()
	peak, peaks := h.peaks()
	present := c.work(in)
	use, slots, pressure := max(c.use(in), h.proven), in.slots(), max(1, h.pressure)
	// Until a whole window has been seen, the peak of a wave may be still to come.
	seen := min(1, in.Measured.Seconds()/c.Window.Seconds())
	unseen := 1 + c.Swing*(1-seen)
	n := Need{Zones: map[call.Zone]int{}, Present: map[call.Zone]int{}, Work: max(work, present), Use: use, Pressure: pressure}
	even := 1 / float64(len(in.Zones))
	for _, z := range in.Zones {
		share := even
		if total > 0 {
			// The replicas are spread evenly at first, and so is what is not known.
			known := seen * (1 - evenShare)
			share = known*means[z.Name]/total + (1-known)*even
		}
		swing := max(unseen, 1+c.swing(peaks[z.Name], means[z.Name]))
		byWork := max(work*swing, present*surgeMargin) * share / use
		bySlots := peaks[z.Name] * unseen / (slots * c.SlotUse)
		n.Zones[z.Name] = c.clamp(in, math.Ceil(pressure*max(byWork, bySlots)))
		bySlots = surgeMargin * c.busy(in, z) / (slots * c.SlotUse)
		n.Present[z.Name] = min(n.Zones[z.Name], c.clamp(in, math.Ceil(pressure*max(present*surgeMargin*share/use, bySlots))))
	}
	swing := max(1+c.Swing*(1-seen)/2, 1+c.swing(peak, total))
	n.Rest = max(work*swing/max(c.RestUse, use), peak/(slots*c.RestUse))
	c.coverLoss(in, n.Zones, n.Rest)
	var busy float64
	for _, z := range in.Zones {
		busy += c.busy(in, z)
	}
	c.coverLoss(in, n.Present, max(present/max(c.RestUse, use), busy/(slots*c.RestUse)))
	return n
}

// swing returns by which part of the mean the peak exceeds it.
func (c Config) swing(peak, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	return min(c.MaxSwing, max(0, peak/mean-1))
}

// clamp bounds a zone's number of replicas; no zone is emptied.
func (c Config) clamp(in Input, replicas float64) int {
	return max(1, in.Settings.Min, min(in.Settings.Max, int(min(replicas, math.MaxInt32))))
}

// coverLoss adds replicas until the others suffice when the zone with most of them is lost. They
// are added where they cost least, since no zone's own callers need them.
func (c Config) coverLoss(in Input, need map[call.Zone]int, rest float64) {
	order := slices.Clone(in.Zones)
	slices.SortStableFunc(order, func(a, b Zone) int {
		return cmp.Compare(in.Settings.ZonePrices[a.Name], in.Settings.ZonePrices[b.Name])
	})
	for len(order) > 1 {
		most, sum := 0, 0
		for _, count := range need {
			most, sum = max(most, count), sum+count
		}
		if float64(sum-most) >= rest {
			return
		}
		i := slices.IndexFunc(order, func(z Zone) bool { return need[z.Name] < min(most, in.Settings.Max) })
		if i < 0 {
			i = slices.IndexFunc(order, func(z Zone) bool { return need[z.Name] < in.Settings.Max })
		}
		if i < 0 {
			return
		}
		need[order[i].Name]++
	}
}
