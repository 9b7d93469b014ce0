package estim

import (
	"math"
	"time"
)

// rateMeter measures the rate at which a queue is served while calls wait in it.
// Both sums decay exponentially with the window as time constant.
type rateMeter struct {
	tokens float64
	// busy is the time for which calls waited.
	busy time.Duration
	// last is the time of the last dispatch.
	last time.Time
	// backlogged is true if calls have been waiting since last.
	backlogged bool
}

// add counts a dispatch of cost tokens; backlogged says whether calls still wait.
func (m *rateMeter) add(now time.Time, cost int, backlogged bool, window time.Duration) {
	if m.backlogged {
		elapsed := max(0, now.Sub(m.last))
		decay := math.Exp(-elapsed.Seconds() / window.Seconds())
		m.tokens = m.tokens*decay + float64(cost)
		m.busy = time.Duration(float64(m.busy)*decay) + elapsed
	}
	m.last, m.backlogged = now, backlogged
}

// rate returns the rate in tokens per second, or 0 before calls have waited for
// long enough. While calls wait it includes the time since the last dispatch, so
// that the rate falls if the queue is no longer served.
func (m *rateMeter) rate(now time.Time, window time.Duration) float64 {
	busy := m.busy
	if m.backlogged {
		busy += max(0, now.Sub(m.last))
	}
	if busy < window/minBusyDivisor {
		return 0
	}
	return m.tokens / busy.Seconds()
}

// minBusyDivisor sets the least time with waiting calls for which a rate is
// returned: the window divided by it.
const minBusyDivisor = 10
