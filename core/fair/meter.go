package fair

import (
	"math"
	"time"
)

// meter is a sum that decays exponentially.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) read(now time.Time, constant time.Duration) float64 {
	if m.value == 0 || !now.After(m.at) {
		return m.value
	}
	return m.value * math.Exp(-float64(now.Sub(m.at))/float64(constant))
}

func (m *meter) set(now time.Time, value float64) { m.value, m.at = value, now }

func (m *meter) add(now time.Time, amount float64, constant time.Duration) {
	m.set(now, m.read(now, constant)+amount)
}
