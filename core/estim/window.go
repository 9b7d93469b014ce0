package estim

import (
	"time"

	"github.com/juju/errors"
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// MinBatch and MaxBatch bound the batch: the requests on one replica at a time.
	MinBatch, MaxBatch float64
	// TokenGap is the target for the mean time between an answer's tokens.
	TokenGap time.Duration
	// OnTimeFraction is the part of the answers that is to meet it.
	OnTimeFraction float64
	// Interval is the time between two changes of the batch.
	Interval time.Duration
	// Increase is added to the batch, DecreaseFactor multiplies it.
	Increase, DecreaseFactor float64
	// SpareLoad is the load of a replica, as a part of the batch, below which a VM may
	// use more than its share, and ShareSlack how far beyond its share it goes anyway.
	SpareLoad, ShareSlack float64
	// ReservedFraction is the part of the batch that is kept free for urgent calls, which do not
	// ask Allows; for engines that do not pause other requests for them.
	ReservedFraction float64
}

// WindowDefaults returns a valid config.
func WindowDefaults() WindowConfig {
	return WindowConfig{
		MinBatch: 4, MaxBatch: 32, TokenGap: 45 * time.Millisecond, OnTimeFraction: 0.99,
		Interval: time.Second, Increase: 0.5, DecreaseFactor: 0.9, SpareLoad: 0.75, ShareSlack: 0.05, ReservedFraction: 0.1,
	}
}

// Validate checks the config.
//
// Errors: NotValid.
func (c *WindowConfig) Validate() error {
	switch {
	case c.MinBatch < 1 || c.MaxBatch < c.MinBatch:
		return errors.NotValidf("WindowConfig.Validate: Least %g, Greatest %g", c.MinBatch, c.MaxBatch)
	case c.TokenGap <= 0 || c.Interval <= 0 || c.OnTimeFraction <= 0 || c.OnTimeFraction >= 1:
		return errors.NotValidf("WindowConfig.Validate: TokenGap %s, Interval %s, Part %g", c.TokenGap, c.Interval, c.OnTimeFraction)
	case c.ReservedFraction < 0 || c.ReservedFraction >= 1:
		return errors.NotValidf("WindowConfig.Validate: Kept %g", c.ReservedFraction)
	case c.Increase <= 0 || c.DecreaseFactor <= 0 || c.DecreaseFactor >= 1 || c.SpareLoad < 0 || c.ShareSlack < 0:
		return errors.NotValidf("WindowConfig.Validate: Up %g, Down %g, Spare %g, Over %g", c.Increase, c.DecreaseFactor, c.SpareLoad, c.ShareSlack)
	}
	return nil
}

// Window decides whether a VM may send one more call to a model's replicas. It
// keeps the VM to its share of all replicas' places, because load reports are
// too old to say how many places the other VMs have taken since; and it learns
// the batch at which answers keep the target between tokens.
type Window struct {
	config     WindowConfig
	batch      float64
	seen, late int
	changed    time.Time
}

// NewWindow returns a window of the greatest batch.
//
// Errors: NotValid where the config is.
func NewWindow(c WindowConfig) (*Window, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Window{config: c, batch: c.MaxBatch}, nil
}

// Finished learns from an answer's mean time between tokens.
func (w *Window) Finished(now time.Time, perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	w.Record(now, perToken > w.config.TokenGap)
}

// Record learns from an answer whose target between tokens is its own: late tells
// whether it was missed.
func (w *Window) Record(now time.Time, late bool) {
	w.seen++
	if late {
		w.late++
	}
	if now.Sub(w.changed) < w.config.Interval || w.seen < minWindowSamples {
		return
	}
	w.change()
	w.seen, w.late, w.changed = 0, 0, now
}

func (w *Window) change() {
	if float64(w.late) > (1-w.config.OnTimeFraction)*float64(w.seen) {
		w.batch = max(w.config.MinBatch, w.batch*w.config.DecreaseFactor)
		return
	}
	w.batch = min(w.config.MaxBatch, w.batch+w.config.Increase)
}

// SetMaxBatch sets the greatest batch, for replicas that say how many requests they run
// at the same time.
func (w *Window) SetMaxBatch(greatest float64) {
	greatest = max(1, greatest)
	w.config.MaxBatch = greatest
	w.config.MinBatch = min(w.config.MinBatch, greatest)
	w.batch = min(w.batch, greatest)
}

// Batch returns the number of requests that a replica is to run at a time.
func (w *Window) Batch() float64 { return w.batch }

// Allows reports whether the VM, one of vms, may send one more call with inFlight
// of its own on the replicas. Running is the number of requests on the least
// loaded replica, by the last reports.
func (w *Window) Allows(inFlight, replicas, vms int, running float64) bool {
	batch := w.batch * (1 - w.config.ReservedFraction)
	share := batch * float64(replicas) / float64(max(1, vms))
	if float64(inFlight) < share*(1+w.config.ShareSlack) {
		return running < batch
	}
	return running < batch*w.config.SpareLoad
}

// minWindowSamples is how many answers a change of the batch needs.
const minWindowSamples = 8
