package estim

import (
	"math"
	"time"
)

// meter measures the rate at which a queue is served while calls wait in it.
// Both sums fade with the window.
type meter struct {
	tokens float64
	busy   time.Duration
	last   time.Time
	// open is true where calls have waited since last.
	open bool
}

func (m *meter) add(now time.Time, cost int, backlogged bool, window time.Duration) {
	if m.open {
		elapsed := max(0, now.Sub(m.last))
		fade := math.Exp(-elapsed.Seconds() / window.Seconds())
		m.tokens = m.tokens*fade + float64(cost)
		m.busy = time.Duration(float64(m.busy)*fade) + elapsed
	}
	m.last, m.open = now, backlogged
}

// rate includes the time since the last dispatch once that is long for it, so
// that a queue which is served no more is seen to stand.
func (m *meter) rate(now time.Time, window time.Duration) float64 {
	busy := m.busy
	if m.open {
		busy += max(0, now.Sub(m.last))
	}
	if busy < window/minRateParts {
		return 0
	}
	return m.tokens / busy.Seconds()
}

// minRateParts is the part of the window that has to be seen before a rate
// counts.
const minRateParts = 10
