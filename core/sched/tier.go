package sched

import "time"

// tierQueue holds the waiting items of one tier of one model.
type tierQueue struct {
	teams     *fairQueue
	byArrival entryList
	items     int
	tokens    int
	// requeued is the number of requeued items, which use no capacity.
	requeued int
	// lastServed is the time of the tier's last dispatch or, if that is later, when
	// it last became non-empty.
	lastServed time.Time
}

func newTierQueue() *tierQueue {
	return &tierQueue{teams: newFairQueue(), byArrival: entryList{linksOf: tierLinks}}
}

func (t *tierQueue) insert(now time.Time, e *entry) {
	if t.items == 0 {
		t.lastServed = now
	}
	team := t.teams.flow(string(e.item.Call.Team))
	if team.classes == nil {
		team.classes = newFairQueue()
	}
	class := team.classes.flow(string(e.item.Call.Class))
	class.team, class.waiting.linksOf, class.stale.linksOf = team, classLinks, classLinks
	e.class = class
	if e.item.Requeued {
		class.waiting.pushFront(e)
	} else {
		class.waiting.push(e)
	}
	t.byArrival.push(e)
	t.addCounts(e, 1)
	team.classes.activate(class)
	t.teams.activate(team)
}

// next returns the entry to dispatch next. The tier must not be empty.
func (t *tierQueue) next(now time.Time) *entry {
	return t.teams.first().classes.first().next(now)
}

// dispatch removes the entry that next returned and charges its team and class.
func (t *tierQueue) dispatch(now time.Time, e *entry) {
	class := e.class
	class.team.classes.charge(class, e.item.Cost)
	t.teams.charge(class.team, e.item.teamCost())
	t.remove(e)
	t.lastServed = now
}

// remove removes an entry without charging its team and class.
func (t *tierQueue) remove(e *entry) {
	class := e.class
	class.listOf(e).remove(e)
	t.byArrival.remove(e)
	t.addCounts(e, -1)
	class.team.classes.deactivateIfEmpty(class)
	t.teams.deactivateIfEmpty(class.team)
}

// addCounts adds the entry to the counts of its tier, team and class if sign is 1,
// and subtracts it if sign is -1.
func (t *tierQueue) addCounts(e *entry, sign int) {
	tokens := sign * e.item.Cost
	for _, f := range []*flow{e.class, e.class.team} {
		f.items += sign
		f.tokens += tokens
	}
	if e.item.Requeued {
		t.requeued += sign
	}
	t.items += sign
	t.tokens += tokens
}

// newest returns the newest entry that is not requeued. There must be one.
func (t *tierQueue) newest() *entry {
	e := t.byArrival.last
	for e.item.Requeued {
		e = e.inTier.prev
	}
	return e
}

// teamLoad returns how many items and tokens of the team are waiting.
func (t *tierQueue) teamLoad(name string) (items, tokens int) {
	f, ok := t.teams.flows[name]
	if !ok {
		return 0, 0
	}
	return f.items, f.tokens
}
