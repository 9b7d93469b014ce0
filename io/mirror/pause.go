package mirror

import (
	"context"
	"sync/atomic"
	"time"
)

// pause is what other goroutines tell a mirror, and it them, about its watch. The zero value is
// that of a mirror that is not paused.
type pause struct {
	paused atomic.Bool
	// watching is true from when all keys were read until the watch that follows ends.
	watching atomic.Bool
}

// Pause ends the watch. The mirror makes no calls until Resume. It may be called from any goroutine.
func (m *Mirror) Pause() {
	m.pause.paused.Store(true)
	m.Reread()
}

// Resume reads all keys and watches at once. The user has known all changes up to completeAt, by
// other ways: those found by the read were made later. It may be called from any goroutine.
func (m *Mirror) Resume(completeAt time.Time) {
	m.Confirm(completeAt)
	m.pause.paused.Store(false)
	m.Reread()
}

// Paused reports whether the mirror makes no calls until Resume. It may be called from any goroutine.
func (m *Mirror) Paused() bool { return m.pause.paused.Load() }

// Watching reports whether all keys were read and a watch follows their changes. It may be called
// from any goroutine.
func (m *Mirror) Watching() bool { return m.pause.watching.Load() }

// waitWhilePaused waits until the mirror is not paused. It reports whether ctx is not over.
func (m *Mirror) waitWhilePaused(ctx context.Context) bool {
	for m.pause.paused.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-m.rereadNow:
		}
	}
	return ctx.Err() == nil
}
