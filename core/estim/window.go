package estim

import (
	"time"

	"github.com/juju/errors"
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// MinBatch and MaxBatch bound the batch: the number of requests that run on one
	// replica at the same time.
	MinBatch, MaxBatch float64
	// TokenGap is the target for the mean time between an answer's tokens.
	TokenGap time.Duration
	// OnTimeFraction is the fraction of answers that is to meet the target.
	OnTimeFraction float64
	// Interval is the least time between two changes of the batch.
	Interval time.Duration
	// Increase is added to the batch if enough answers meet the target; otherwise
	// the batch is multiplied by DecreaseFactor.
	Increase, DecreaseFactor float64
	// SpareLoad is the load of a replica, as a fraction of the batch, below which a
	// VM may exceed its share. ShareSlack is the fraction by which it may exceed its
	// share at any load below the batch.
	SpareLoad, ShareSlack float64
	// ReservedFraction is the fraction of the batch that is reserved for urgent
	// calls, which are sent without asking Allows. It is for engines that do not
	// preempt other requests for urgent ones.
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
// Errors: NotValid with the fields' names and values.
func (c *WindowConfig) Validate() error {
	switch {
	case c.MinBatch < 1 || c.MaxBatch < c.MinBatch:
		return errors.NotValidf("WindowConfig.Validate: MinBatch %g (must be at least 1), MaxBatch %g (must be at least MinBatch)",
			c.MinBatch, c.MaxBatch)
	case c.TokenGap <= 0 || c.Interval <= 0 || c.OnTimeFraction <= 0 || c.OnTimeFraction >= 1:
		return errors.NotValidf("WindowConfig.Validate: TokenGap %s, Interval %s (each must be positive), OnTimeFraction %g (must be between 0 and 1)",
			c.TokenGap, c.Interval, c.OnTimeFraction)
	case c.ReservedFraction < 0 || c.ReservedFraction >= 1:
		return errors.NotValidf("WindowConfig.Validate: ReservedFraction %g (must be at least 0 and below 1)", c.ReservedFraction)
	case c.Increase <= 0 || c.DecreaseFactor <= 0 || c.DecreaseFactor >= 1 || c.SpareLoad < 0 || c.ShareSlack < 0:
		return errors.NotValidf("WindowConfig.Validate: Increase %g (> 0), DecreaseFactor %g (> 0, < 1), SpareLoad %g (>= 0), ShareSlack %g (>= 0)",
			c.Increase, c.DecreaseFactor, c.SpareLoad, c.ShareSlack)
	}
	return nil
}

// Window is a congestion window: it decides whether a VM may send one more call to
// a model's replicas. It limits the VM to its share of the replicas' capacity,
// because load reports are too old to show what the other VMs have sent since. It
// adapts the batch to the target for the time between tokens, by additive increase
// and multiplicative decrease.
type Window struct {
	config WindowConfig
	batch  float64
	// answers and lateAnswers count since the last change of the batch.
	answers, lateAnswers int
	changedAt            time.Time
}

// NewWindow returns a window whose batch is MaxBatch.
//
// Errors: NotValid if the config is not valid.
func NewWindow(c WindowConfig) (*Window, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Window{config: c, batch: c.MaxBatch}, nil
}

// Finished records an answer with the given mean time between tokens, which is
// late if that exceeds TokenGap. Zero, for an answer of one token, is ignored.
func (w *Window) Finished(now time.Time, perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	w.Record(now, perToken > w.config.TokenGap)
}

// Record records an answer that has a target of its own for the time between
// tokens; late says whether it missed it.
func (w *Window) Record(now time.Time, late bool) {
	w.answers++
	if late {
		w.lateAnswers++
	}
	if now.Sub(w.changedAt) < w.config.Interval || w.answers < minAnswersPerChange {
		return
	}
	w.adjustBatch()
	w.answers, w.lateAnswers, w.changedAt = 0, 0, now
}

func (w *Window) adjustBatch() {
	if float64(w.lateAnswers) > (1-w.config.OnTimeFraction)*float64(w.answers) {
		w.batch = max(w.config.MinBatch, w.batch*w.config.DecreaseFactor)
		return
	}
	w.batch = min(w.config.MaxBatch, w.batch+w.config.Increase)
}

// SetMaxBatch sets the largest batch, and lowers MinBatch to it where needed. It is
// for replicas that report how many requests they can run at the same time.
func (w *Window) SetMaxBatch(maxBatch float64) {
	maxBatch = max(1, maxBatch)
	w.config.MaxBatch = maxBatch
	w.config.MinBatch = min(w.config.MinBatch, maxBatch)
	w.batch = min(w.batch, maxBatch)
}

// Batch returns the number of requests that a replica is to run at the same time.
func (w *Window) Batch() float64 { return w.batch }

// Allows reports whether the VM, one of vms, may send one more call while it has
// inFlight calls on the replicas. Running is the number of requests on the least
// loaded replica according to the last reports.
func (w *Window) Allows(inFlight, replicas, vms int, running float64) bool {
	batch := w.batch * (1 - w.config.ReservedFraction)
	share := batch * float64(replicas) / float64(max(1, vms))
	if float64(inFlight) < share*(1+w.config.ShareSlack) {
		return running < batch
	}
	return running < batch*w.config.SpareLoad
}

// minAnswersPerChange is the number of answers needed for a change of the batch.
const minAnswersPerChange = 8
