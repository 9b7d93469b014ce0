package scale

import (
	"time"

	"gentianwell/core/call"
)

// Outcome is what is known of an order that was sent.
type Outcome string

// The outcomes. An order of OutcomeUnknown may be executed later, one of OutcomeNotDone certainly is
// not. OutcomeNone means that no spot replicas are available.
const (
	OutcomeSent    Outcome = "sent"
	OutcomeDone    Outcome = "done"
	OutcomeUnknown Outcome = "unknown"
	OutcomeNotDone Outcome = "notDone"
	OutcomeNone    Outcome = "none"
)

// firstPause and maxPause bound the pause after an order that was not executed. It doubles with each.
const firstPause, maxPause = time.Second, 8 * time.Second

// subject is what an order is about.
type subject struct {
	zone call.Zone
	spot bool
}

// entry is the newest order of a subject.
type entry struct {
	count int
	at    time.Time
	// ready is the number of ready replicas when it was sent.
	ready   int
	outcome Outcome
	// before is the last time that an order before it, of which nothing is known, was sent.
	before time.Time
	// failures counts the orders that were not executed; none is sent before next.
	failures int
	next     time.Time
}

// Ledger holds the newest orders of one service. Its zero value is empty.
type Ledger struct {
	entries map[subject]entry
	// none is when a zone last had no spot replicas available, down when fewer replicas were last
	// ordered in it.
	none, down map[call.Zone]time.Time
}

// Sent records an order that is about to be sent; ready is the number of ready replicas of its kind.
func (l *Ledger) Sent(now time.Time, o Order, ready int) {
	if l.entries == nil {
		l.entries, l.none, l.down = map[subject]entry{}, map[call.Zone]time.Time{}, map[call.Zone]time.Time{}
	}
	key := subject{o.Zone, o.Spot}
	e := l.entries[key]
	if e.outcome == OutcomeUnknown || e.outcome == OutcomeSent {
		e.before = e.at
	}
	e.count, e.at, e.ready, e.outcome = o.Count, now, ready, OutcomeSent
	l.entries[key] = e
	if o.Count < ready {
		l.down[o.Zone] = now
	}
}

// Ended records the outcome of an order that was sent.
func (l *Ledger) Ended(now time.Time, o Order, outcome Outcome) {
	key := subject{o.Zone, o.Spot}
	e := l.entries[key]
	if e.outcome != OutcomeSent || e.count != o.Count {
		return
	}
	e.outcome = outcome
	switch outcome {
	case OutcomeNotDone:
		e.next = now.Add(min(maxPause, firstPause<<min(e.failures, 8)))
		e.failures++
	case OutcomeNone:
		l.none[o.Zone] = now
	default:
		e.failures = 0
	}
	l.entries[key] = e
}

// Forget forgets all orders: another VM may have ordered since.
func (l *Ledger) Forget() { *l = Ledger{} }

// removes reports whether the newest order for spot replicas in a zone removes some, and there are as
// many left as it says.
func (l *Ledger) removes(zone call.Zone, ready int) bool {
	e, ok := l.entries[subject{zone, true}]
	return ok && e.count < e.ready && ready >= e.count
}

// unseen reports whether an order for spot replicas in a zone was executed long enough ago for them
// to be there.
func (l *Ledger) unseen(c Config, in Input, zone call.Zone) bool {
	e := l.entries[subject{zone, true}]
	return e.outcome == OutcomeDone && e.count > 0 && in.Now.Sub(e.at) > in.Settings.Boot+c.Late
}

// mayTry reports whether an order of the subject may be sent: none is on its way, and the pause
// after one that was not executed is over.
func (l *Ledger) mayTry(now time.Time, zone call.Zone, spot bool) bool {
	e := l.entries[subject{zone, spot}]
	return e.outcome != OutcomeSent && !now.Before(e.next)
}

// unsettled reports whether an order of the subject without an answer may still be executed.
func (l *Ledger) unsettled(c Config, now time.Time, zone call.Zone, spot bool) bool {
	e := l.entries[subject{zone, spot}]
	return e.outcome == OutcomeUnknown && now.Sub(e.at) <= c.Late || !e.before.IsZero() && now.Sub(e.before) <= c.Late
}

// expected returns how many ready replicas there will be by the newest order, of ready ones now. An
// order counts until its replicas serve and a late execution is over.
func (l *Ledger) expected(c Config, in Input, zone call.Zone, spot bool, ready int) int {
	e, ok := l.entries[subject{zone, spot}]
	if !ok || e.outcome == OutcomeNotDone || e.outcome == OutcomeNone || in.Now.Sub(e.at) > in.Settings.Boot+c.Late {
		return ready
	}
	if e.count < e.ready {
		return min(ready, e.count)
	}
	// Replicas that are gone since do not count: they were lost, or an earlier order for fewer was
	// executed late.
	return max(ready, e.count-max(0, e.ready-ready))
}

// mayHaveSpot reports whether spot replicas may be ordered in a zone: none has been refused there
// for a time, and those that were ordered have come.
func (l *Ledger) mayHaveSpot(c Config, in Input, h *History, zone call.Zone, ready int) bool {
	recent := func(t time.Time) bool { return !t.IsZero() && in.Now.Sub(t) <= c.SpotPause }
	e, ok := l.entries[subject{zone, true}]
	age := in.Now.Sub(e.at)
	missing := ok && e.count > ready && age > in.Settings.Boot+c.Late && age <= in.Settings.Boot+c.Late+c.SpotPause
	return !recent(l.none[zone]) && !recent(h.reclaimed[zone]) && !missing
}

// InFlight returns the number of orders that were sent and have not ended.
func (l *Ledger) InFlight() int {
	n := 0
	for _, e := range l.entries {
		if e.outcome == OutcomeSent {
			n++
		}
	}
	return n
}
