package back

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errSilent is the cause of an attempt that was given up for want of progress.
const errSilent = errors.ConstError("no byte within the progress timeout")

// watchdog ends an attempt whose connection makes no progress.
type watchdog struct {
	end context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	since   time.Time // the earliest time that counts as lack of progress
	conn    *conn
	paused  bool
	stopped bool
	fired   bool
}

func newWatchdog(timeout time.Duration, end context.CancelCauseFunc) *watchdog {
	w := &watchdog{end: end, timeout: timeout, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

// watch sets the connection whose progress counts.
func (w *watchdog) watch(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = c
	w.since = time.Now()
}

// limit sets the timeout and counts from now.
func (w *watchdog) limit(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = timeout
	w.since = time.Now()
	if !w.stopped {
		w.timer.Reset(timeout)
	}
}

// pause suspends the watch while the sink has the turn: a caller that reads
// slowly is not the backend server's silence.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
}

func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = false
	w.since = time.Now()
}

// stop ends the watch and reports whether it had found the connection silent.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.fired
}

func (w *watchdog) check() {
	if w.expired() {
		w.end(errSilent)
	}
}

func (w *watchdog) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	if w.paused {
		w.timer.Reset(w.timeout)
		return false
	}
	if left := w.timeout - time.Since(w.lastProgress()); left > 0 {
		w.timer.Reset(left)
		return false
	}
	w.fired = true
	return true
}

func (w *watchdog) lastProgress() time.Time {
	if w.conn != nil && w.conn.last().After(w.since) {
		return w.conn.last()
	}
	return w.since
}
