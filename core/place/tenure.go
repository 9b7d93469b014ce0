package place

import "time"

// TermConfig configures a Tenure.
type TermConfig struct {
	// TTL is the lease's time to live.
	TTL time.Duration
	// Margin is by how much earlier than the service this side takes the lease
	// for lapsed, for clocks that run at different rates.
	Margin time.Duration
	// OrderTimeout is after what time an order has surely ended.
	OrderTimeout time.Duration
}

// Term is the time for which one VM may give orders, by its own monotonic
// clock. Its fencing number is the create revision of the lease's key.
type Term struct {
	config       TermConfig
	FencingToken int64
	taken        time.Time
	until        time.Time
}

// NewTerm begins a tenure. The time asked is that before the lease's grant was
// asked for, and taken that after the key was created.
func NewTerm(c TermConfig, fencing int64, asked, taken time.Time) *Term {
	t := &Term{config: c, FencingToken: fencing, taken: taken}
	t.Renewed(asked)
	return t
}

// Renewed extends the tenure by a renewal that was asked for at the given time.
func (t *Term) Renewed(asked time.Time) {
	if until := asked.Add(t.config.TTL - t.config.Margin); until.After(t.until) {
		t.until = until
	}
}

// Held reports whether the lease is surely held.
func (t *Term) Held(now time.Time) bool { return now.Before(t.until) }

// Until returns when the lease isn't surely held any more.
func (t *Term) Until() time.Time { return t.until }

// EarlierOrdersEnd returns when all orders of earlier holders have surely ended at
// engines that ignore numbers. The old lease may have been ended early by the
// service, so its holder can believe in it for a whole TTL yet.
func (t *Term) EarlierOrdersEnd() time.Time { return t.taken.Add(t.config.TTL + t.config.OrderTimeout) }

// MayOrder reports whether an order may be given now, and why not. An engine
// that refuses old numbers may get it as long as the lease seems held. One that
// ignores them gets it only after Settled, and only if it ends within the lease.
func (t *Term) MayOrder(now time.Time, checks bool) (bool, string) {
	switch {
	case !t.Held(now):
		return false, "lease no longer surely held"
	case checks:
		return true, ""
	case now.Before(t.EarlierOrdersEnd()):
		return false, "earlier holder's orders may still arrive"
	case now.Add(t.config.OrderTimeout).After(t.until):
		return false, "order could outlast the lease"
	}
	return true, ""
}
