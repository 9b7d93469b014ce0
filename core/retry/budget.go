package retry

import "time"

// budget is a token bucket of retries. It starts full.
type budget struct {
	left     float64
	refilled time.Time
}

func newBudget(now time.Time, c Config) *budget {
	return &budget{left: c.Burst, refilled: now}
}

// refill adds MinPerSecond for the time since the last refill.
func (b *budget) refill(now time.Time, c Config) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.add(elapsed.Seconds()*c.MinPerSecond, c)
		b.refilled = now
	}
}

func (b *budget) add(n float64, c Config) {
	b.left = min(c.Burst, b.left+n)
}

func (b *budget) enough() bool { return b.left >= 1 }
