package sched

import "time"

// refusalReason returns why the item cannot be queued, or "" if it can.
func (q *Queue) refusalReason(now time.Time, m *modelQueue, item Item) Reason {
	if q.missesDeadline(now, m, item) {
		return ReasonDeadline
	}
	if item.Requeued {
		return ""
	}
	capacity := m.attainable(item.Call.Tier)
	if capacity == 0 {
		return ReasonFull
	}
	if m.teamItems(item.Call.Tier, item.Call.Team) >= capacity {
		return ReasonTeamFull
	}
	return ""
}

// missesDeadline reports whether the item is expected to finish after its
// deadline.
func (q *Queue) missesDeadline(now time.Time, m *modelQueue, item Item) bool {
	deadline := item.Call.Deadline
	if deadline.IsZero() {
		return false
	}
	wait := q.estimatedWait(now, m, item.Call.Tier, item.Call.Team, item.Cost)
	return now.Add(wait + item.Service).After(deadline)
}

// insert queues the item. The caller has made sure that there is capacity for it.
func (q *Queue) insert(now time.Time, m *modelQueue, item Item) {
	q.seq++
	e := &entry{item: item, model: m, arrived: now, seq: q.seq}
	e.expires = now.Add(q.maxWait(item))
	e.reason = ReasonMaxWait
	if start := item.latestDispatch(); !start.IsZero() && start.Before(e.expires) {
		e.expires, e.reason = start, ReasonDeadline
	}
	q.byID[item.Call.ID] = e
	q.expiry.push(e)
	m.insert(now, e)
}
