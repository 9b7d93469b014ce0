package quota

import "time"

// rounding is more than the rounding errors of a balance that is refilled in small steps.
const rounding = 1e-9

// bucket is a token bucket whose balance may be below zero.
type bucket struct {
	// rate is in requests a second, burst the greatest balance.
	rate, burst float64
	balance     float64
	at          time.Time
}

// refill adds what has accrued until now.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.balance = min(b.burst, b.balance+b.rate*elapsed.Seconds())
		b.at = now
	}
}

// setRate changes the rate from now on. A bucket that had none begins empty.
func (b *bucket) setRate(now time.Time, rate float64, burstTime time.Duration) {
	b.refill(now)
	if b.rate == 0 {
		b.balance, b.at = min(b.balance, 0), now
	}
	b.rate, b.burst = rate, max(1, rate*burstTime.Seconds())
	b.balance = min(b.balance, b.burst)
}

// has reports whether there is a token for a request.
func (b *bucket) has(now time.Time) bool {
	b.refill(now)
	return b.rate > 0 && b.balance >= 1-rounding
}
