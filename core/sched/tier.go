package sched

import "time"

// tierQueue holds the waiting items of one tier of one model.
type tierQueue struct {
	teams   *fair
	arrived chain
	items   int
	tokens  int
	// again is how many of the items take no place.
	again int
	// served is when the tier last had a dispatch or, if that is later, when it
	// last got work after having none.
	served time.Time
}

func newTierQueue() *tierQueue {
	return &tierQueue{teams: newFair(), arrived: chain{of: tierLinks}}
}

func (t *tierQueue) insert(now time.Time, e *entry) {
	if t.items == 0 {
		t.served = now
	}
	team := t.teams.flow(string(e.item.Call.Team))
	if team.classes == nil {
		team.classes = newFair()
	}
	class := team.classes.flow(string(e.item.Call.Class))
	class.team, class.waiting.of, class.late.of = team, classLinks, classLinks
	e.class = class
	if e.item.Requeued {
		class.waiting.pushFront(e)
	} else {
		class.waiting.push(e)
	}
	t.arrived.push(e)
	t.count(e, 1)
	team.classes.activate(class)
	t.teams.activate(team)
}

// head returns the entry that goes next; there is one.
func (t *tierQueue) head(now time.Time) *entry {
	return t.teams.first().classes.first().head(now)
}

// dispatch takes out the head and charges its team and class.
func (t *tierQueue) dispatch(now time.Time, e *entry) {
	class := e.class
	class.team.classes.served(class, e.item.Cost)
	t.teams.served(class.team, e.item.share())
	t.remove(e)
	t.served = now
}

// remove takes out any entry without a charge.
func (t *tierQueue) remove(e *entry) {
	class := e.class
	class.chain(e).remove(e)
	t.arrived.remove(e)
	t.count(e, -1)
	class.team.classes.settle(class)
	t.teams.settle(class.team)
}

// count adds sign times the entry to what waits.
func (t *tierQueue) count(e *entry, sign int) {
	tokens := sign * e.item.Cost
	for _, f := range []*flow{e.class, e.class.team} {
		f.items += sign
		f.tokens += tokens
	}
	if e.item.Requeued {
		t.again += sign
	}
	t.items += sign
	t.tokens += tokens
}

// newest returns the newest item that takes a place; there is one.
func (t *tierQueue) newest() *entry {
	e := t.arrived.last
	for e.item.Requeued {
		e = e.inTier.prev
	}
	return e
}

// team returns how many items and tokens of the team wait.
func (t *tierQueue) team(name string) (items, tokens int) {
	f, ok := t.teams.flows[name]
	if !ok {
		return 0, 0
	}
	return f.items, f.tokens
}
