package place

import (
	"time"

	"gentianwell/core/duty"
)

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
// own monotonic clock.
type Term struct {
	*duty.Term
	config TermConfig
}

// NewTerm begins a term. The time asked is from before the lease's grant was
// requested, and taken from after the key was created.
func NewTerm(c TermConfig, fencingToken int64, asked, taken time.Time) *Term {
	return TermOf(c, duty.NewTerm(duty.TermConfig{TTL: c.TTL, Margin: c.Margin}, fencingToken, asked, taken))
}

// TermOf returns the rules for orders in a term of the election.
func TermOf(c TermConfig, t *duty.Term) *Term { return &Term{Term: t, config: c} }

// EarlierOrdersEnd returns the time by which all orders of earlier lease holders
// have ended at engines that ignore fencing tokens. The service may have ended the
// old lease early, so its holder can believe for another whole TTL that it holds
// the lease.
func (t *Term) EarlierOrdersEnd() time.Time {
	return t.TakenAt().Add(t.config.TTL + t.config.OrderTimeout)
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
	case !t.Covers(now, t.config.OrderTimeout):
		return false, "order could outlast the lease"
	}
	return true, ""
}
