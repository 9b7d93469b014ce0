package back

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errSilent is the cause of an attempt that was cancelled because the connection made
// no progress.
const errSilent = errors.ConstError("no byte sent or received within the progress timeout")

// giveUpInterval is how long after Request.GiveUp returned false it is called again.
const giveUpInterval = 100 * time.Millisecond

// watchdog cancels an attempt whose connection makes no progress within the timeout.
type watchdog struct {
	cancel context.CancelCauseFunc
	// giveUp is Request.GiveUp.
	giveUp func() bool

	mu           sync.Mutex
	timer        *time.Timer
	timeout      time.Duration
	progressFrom time.Time // start of the timeout; progress before it does not count
	conn         *conn
	paused       bool
	stopped      bool
	fired        bool
}

func newWatchdog(timeout time.Duration, giveUp func() bool, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel, giveUp: giveUp, timeout: timeout, progressFrom: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.onTimer)
	return w
}

// setConn sets the connection whose progress is watched, and restarts the timeout.
func (w *watchdog) setConn(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = c
	w.progressFrom = time.Now()
}

// setTimeout sets the timeout, counted from now.
func (w *watchdog) setTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = timeout
	w.progressFrom = time.Now()
	if !w.stopped {
		w.timer.Reset(timeout)
	}
}

// drain sets the timeout for the rest of a response whose content is complete: at its end
// the attempt ends, without a call of giveUp.
func (w *watchdog) drain(timeout time.Duration) {
	w.mu.Lock()
	w.giveUp = nil
	w.mu.Unlock()
	w.setTimeout(timeout)
}

// pause suspends the timeout while the sink runs: a caller that reads slowly must not
// count as a silent backend server. It returns false if the attempt has been given up.
func (w *watchdog) pause() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	return !w.fired
}

func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = false
	w.progressFrom = time.Now()
}

// stop stops the watchdog and reports whether it has cancelled the attempt.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.fired
}

func (w *watchdog) onTimer() {
	if w.expired() {
		w.cancel(errSilent)
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
	if w.giveUp != nil && !w.giveUp() {
		w.timer.Reset(giveUpInterval)
		return false
	}
	w.fired = true
	return true
}

func (w *watchdog) lastProgress() time.Time {
	if w.conn != nil && w.conn.lastProgress().After(w.progressFrom) {
		return w.conn.lastProgress()
	}
	return w.progressFrom
}
