package place

import "time"

// TermConfig configures a Term.
type TermConfig struct {
	// TTL is the lease's time to live.
	TTL time.Duration
	// Margin is how much earlier than the lease service this side treats the lease
	// as expired, to allow for clocks that run at different rates.
	Margin time.Duration
	// OrderTimeout is the time after which an order is certain to have ended.
	OrderTimeout time.Duration
}

// Term is the period in which one VM may send orders as the lease holder, by its
// own monotonic clock. FencingToken is the create revision of the lease's key.
type Term struct {
	config       TermConfig
	FencingToken int64
	takenAt      time.Time
	validUntil   time.Time
}

// NewTerm begins a term. The time asked is from before the lease's grant was
// requested, and taken from after the key was created.
func NewTerm(c TermConfig, fencingToken int64, asked, taken time.Time) *Term {
	t := &Term{config: c, FencingToken: fencingToken, takenAt: taken}
	t.Renewed(asked)
	return t
}

// Renewed extends the term by a successful renewal. The time asked is from before
// the renewal was requested.
func (t *Term) Renewed(asked time.Time) {
	if until := asked.Add(t.config.TTL - t.config.Margin); until.After(t.validUntil) {
		t.validUntil = until
	}
}

// Held reports whether the lease is certain to be still held.
func (t *Term) Held(now time.Time) bool { return now.Before(t.validUntil) }

// Until returns the time from which the lease may have expired.
func (t *Term) Until() time.Time { return t.validUntil }

// EarlierOrdersEnd returns the time by which all orders of earlier lease holders
// have ended at engines that ignore fencing tokens. The service may have ended the
// old lease early, so its holder can believe for another whole TTL that it holds
// the lease.
func (t *Term) EarlierOrdersEnd() time.Time {
	return t.takenAt.Add(t.config.TTL + t.config.OrderTimeout)
}

// MayOrder reports whether an order may be sent now, and if not, why. An engine
// that checks fencing tokens may get one as long as the lease is held. An engine
// that ignores them may get one only after EarlierOrdersEnd, and only if the order
// ends before the lease may have expired.
func (t *Term) MayOrder(now time.Time, checksOrders bool) (bool, string) {
	switch {
	case !t.Held(now):
		return false, "lease may have expired"
	case checksOrders:
		return true, ""
	case now.Before(t.EarlierOrdersEnd()):
		return false, "orders of an earlier lease holder may still arrive"
	case now.Add(t.config.OrderTimeout).After(t.validUntil):
		return false, "order could outlast the lease"
	}
	return true, ""
}
