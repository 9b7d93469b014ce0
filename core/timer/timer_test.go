package timer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAdvance(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(Config{Now: func() time.Time { return now }})
	var got []string
	s.Every("slow", 3*time.Second, func(time.Time) { got = append(got, "slow") })
	stop := s.Every("fast", time.Second, func(time.Time) { got = append(got, "fast") })
	for range 3 {
		now = now.Add(time.Second)
		s.Advance(now)
	}
	stop()
	now = now.Add(10 * time.Second)
	s.Advance(now)
	assert.DeepEqual(t, got, []string{"fast", "fast", "fast", "slow", "slow"})
}
