package timer

import (
	"context"
	"testing"
	"testing/synctest"
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

// Run calls a subscription at its interval even if it was added while Run sleeps,
// and returns when its context ends.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		synctest.Wait()
		var got []time.Duration
		began := time.Now()
		s.Every("late", 400*time.Millisecond, func(now time.Time) { got = append(got, now.Sub(began)) })
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, got, []time.Duration{400 * time.Millisecond, 800 * time.Millisecond})
		cancel()
		assert.NilError(t, <-done)
	})
}
