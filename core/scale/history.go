package scale

import (
	"slices"
	"time"

	"gentianwell/core/call"
)

const (
	// maxSamples limits the samples that are kept.
	maxSamples = 128
	// pressureStep is the factor by which lateness raises the need, maxPressure its limit.
	pressureStep, maxPressure = 1.25, 2
	// provenSamplesMin is the number of answers from which being in time proves something, provenCut
	// the part of the work of a replica that counts as proven after it was too much.
	provenSamplesMin, provenCut = 10, 0.8
	// lateSamplesMin is the number of answers below which their lateness says nothing.
	lateSamplesMin = 20
	// loadedUse is the part of the permitted use from which replicas count as having work,
	// idleLateWeight the weight of a new sample in the moving average of the lateness before.
	loadedUse, idleLateWeight = 0.6, 0.3
	// lostShare is the share of a zone's spot replicas whose end at once counts as reclaimed.
	lostShare = 0.5
)

// sample is what History keeps of an input.
type sample struct {
	at   time.Time
	work float64
	// total is the number of requests at all replicas.
	total float64
	zones map[call.Zone]zoneSample
}

type zoneSample struct {
	busy           float64
	onDemand, spot int
}

// History keeps the recent inputs of one service. Its zero value is empty.
type History struct {
	samples []sample
	// speeds holds the latest estimates of the speed.
	speeds []Speed
	// proven is the greatest engine time for each ready replica, by the same measure as Config.work, at
	// which answers were in time.
	proven float64
	// pressure is the factor by which lateness has raised the need, raised last at pressedAt.
	pressure  float64
	pressedAt time.Time
	// idleLate is the share of late requests at nearly idle replicas.
	idleLate float64
	// reclaimed is when the spot replicas of a zone were last reclaimed.
	reclaimed map[call.Zone]time.Time
	// spotSeen is true once an entry has named a spot replica; unseenAt is when an order for some
	// had shown none.
	spotSeen bool
	unseenAt time.Time
}

// Observe adds an input.
func (h *History) Observe(c Config, in Input) {
	s := sample{at: in.Now, work: c.work(in), zones: map[call.Zone]zoneSample{}}
	for _, z := range in.Zones {
		busy := c.busy(in, z)
		s.total += busy
		s.zones[z.Name] = zoneSample{busy: busy, onDemand: z.OnDemand.Ready, spot: z.Spot.Ready}
	}
	// The counts of the first moments say little, and no work is known without the speed.
	if in.Measured < c.Measure/2 || !in.measurable() {
		return
	}
	for len(h.samples) > 0 && (in.Now.Sub(h.samples[0].at) > c.Window || len(h.samples) >= maxSamples) {
		h.samples = h.samples[1:]
	}
	h.press(c, in, s)
	h.prove(c, in, s.work)
	h.samples = append(h.samples, s)
}

// speedSamples is the number of estimates of which speed returns the median. One VM sees few answers
// a second, so that a single estimate can be wrong by a factor of two.
const speedSamples = 9

// observeSpeed adds an estimate of the speed.
func (h *History) observeSpeed(s Speed) {
	if s.PerToken == 0 {
		return
	}
	if len(h.speeds) >= speedSamples {
		h.speeds = h.speeds[1:]
	}
	h.speeds = append(h.speeds, s)
}

// speed returns the median of the latest estimates; zero if there are none.
func (h *History) speed() Speed {
	if len(h.speeds) == 0 {
		return Speed{}
	}
	perToken, base := make([]time.Duration, 0, speedSamples), make([]time.Duration, 0, speedSamples)
	for _, s := range h.speeds {
		perToken, base = append(perToken, s.PerToken), append(base, s.Base)
	}
	slices.Sort(perToken)
	slices.Sort(base)
	return Speed{PerToken: perToken[len(perToken)/2], Base: base[len(base)/2]}
}

// noteReclaimed records that the spot replicas of a zone have been reclaimed.
func (h *History) noteReclaimed(now time.Time, zone call.Zone) {
	if h.reclaimed == nil {
		h.reclaimed = map[call.Zone]time.Time{}
	}
	h.reclaimed[zone] = now
}

// lost reports whether a zone has lost most of its spot replicas since the last input.
func (h *History) lost(z Zone) bool {
	if len(h.samples) == 0 {
		return false
	}
	before := h.samples[len(h.samples)-1].zones[z.Name].spot
	return before > 1 && float64(before-z.Spot.Ready) > lostShare*float64(before)
}

// press raises the need while more requests are late at replicas that have work than at nearly idle
// ones. Their lateness has other causes, which more replicas do not mend.
func (h *History) press(c Config, in Input, s sample) {
	h.pressure = max(1, h.pressure)
	var ready, slots float64
	for i := range in.Zones {
		ready, slots = ready+float64(in.Zones[i].ready()), slots+in.Zones[i].Slots
	}
	loaded := s.work > loadedUse*c.use(in)*ready || s.total > loadedUse*c.SlotUse*slots
	share := float64(in.Late) / float64(max(1, in.Answers))
	late := in.Answers >= lateSamplesMin && share > c.LateShare+h.idleLate
	switch {
	case !loaded && in.Answers >= lateSamplesMin:
		h.idleLate += idleLateWeight * (share - h.idleLate)
	// A further step waits until the replicas of the one before serve.
	case late && loaded && in.Now.Sub(h.pressedAt) > in.Settings.Boot+c.Warm:
		h.pressure, h.pressedAt = min(maxPressure, h.pressure*pressureStep), in.Now
	case h.pressure > 1 && in.Now.Sub(h.pressedAt) > c.Window:
		h.pressure, h.pressedAt = max(1, h.pressure/pressureStep), in.Now
	}
}

// prove records that the ready replicas have served an amount of work in time, or that they have
// not. The measure of work is rough where replicas batch prompts, but comparing it with itself shows
// how few replicas are enough.
func (h *History) prove(c Config, in Input, work float64) {
	ready := 0
	for i := range in.Zones {
		ready += in.Zones[i].ready()
	}
	if ready == 0 || in.Answers < provenSamplesMin {
		return
	}
	each := work / float64(ready)
	if float64(in.Late) <= (c.LateShare+h.idleLate)*float64(in.Answers) {
		h.proven = max(h.proven, each)
		return
	}
	h.proven = min(h.proven, provenCut*each)
}

// means returns the mean engine time and the mean number of requests, at all replicas and by zone.
func (h *History) means() (work, total float64, zones map[call.Zone]float64) {
	zones = map[call.Zone]float64{}
	n := float64(max(1, len(h.samples)))
	for _, s := range h.samples {
		work, total = work+s.work/n, total+s.total/n
		for name, z := range s.zones {
			zones[name] += z.busy / n
		}
	}
	return work, total, zones
}

// peaks returns the greatest number of requests, at all replicas and by zone. It takes the mean of each
// two samples, because single ones differ by chance.
func (h *History) peaks() (total float64, zones map[call.Zone]float64) {
	zones = map[call.Zone]float64{}
	for i, s := range h.samples {
		before := h.samples[max(0, i-1)]
		total = max(total, (before.total+s.total)/2)
		for name, z := range s.zones {
			zones[name] = max(zones[name], (before.zones[name].busy+z.busy)/2)
		}
	}
	return total, zones
}

// warm returns how many replicas of each kind a zone has had for as long as a new one needs to
// become warm.
func (h *History) warm(c Config, now time.Time, z Zone) (onDemand, spot int) {
	onDemand, spot = z.OnDemand.Ready, z.Spot.Ready
	for _, s := range h.samples {
		if now.Sub(s.at) <= c.Warm {
			onDemand, spot = min(onDemand, s.zones[z.Name].onDemand), min(spot, s.zones[z.Name].spot)
		}
	}
	return onDemand, spot
}
