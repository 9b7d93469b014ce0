package fair

import (
	"time"
)

// team holds the measurements of one team at one service.
type team struct {
	// asked and granted are averages over the VMs. What this VM has seen since its last exchange is
	// apart in newAsked and newGranted: a single request weighs as much there as a small team's mean
	// over all VMs, and must not count as the team's demand.
	asked, granted       meter
	newAsked, newGranted meter
	// ownAsked is what was asked of this VM.
	ownAsked meter
	// useAsked and useGranted are the smoothed figures that decisions rest on.
	useAsked, useGranted float64
	// credit is the work that the team may still ask of this VM; it is negative after a request was
	// admitted ahead.
	credit float64
	// nextRoom is when room is expected for the next refused request.
	nextRoom time.Time
}

// fold counts what this VM has seen as part of the average.
func (t *team) fold(now time.Time, constant time.Duration) {
	t.asked.set(now, t.asked.read(now, constant)+t.newAsked.read(now, constant))
	t.granted.set(now, t.granted.read(now, constant)+t.newGranted.read(now, constant))
	t.newAsked, t.newGranted = meter{}, meter{}
}

// sums returns the sums to send to other VMs.
func (t *team) sums(now time.Time, constant time.Duration) (asked, granted float64) {
	return t.asked.read(now, constant) + t.newAsked.read(now, constant), t.granted.read(now, constant) + t.newGranted.read(now, constant)
}

// smooth moves the figures for decisions towards the averages by a weight.
func (t *team) smooth(weight float64) {
	t.useAsked += weight * (t.asked.value - t.useAsked)
	t.useGranted += weight * (t.granted.value - t.useGranted)
}
