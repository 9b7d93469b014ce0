// Package sched queues the calls of one entry VM. It decides which calls are
// accepted, which waiting call is dispatched next, and which expire or are
// displaced.
//
// There is one queue for each model. Within it, tiers are served by priority,
// teams within a tier share by estimated tokens (start-time fair queueing), and
// so do classes within a team. Under overload, these rules apply:
//
//   - A call that arrives at a full queue displaces the newest call of the lowest
//     tier below its own that uses shared capacity. A call is never displaced by
//     its own tier or a lower one.
//   - Protected tiers have strict priority. Every other tier takes turns, so that
//     it is not starved: after TurnEvery without a dispatch it goes before the
//     unprotected tiers above it. All turns together take at most TurnShare of
//     the dispatched tokens.
//   - Each tier has some capacity of its own, so that an overload of higher tiers
//     cannot keep it out of the queue.
//   - A team may not use more of a tier's capacity than is left for the tier, so
//     that a burst of one team leaves capacity for the others.
//   - A call that was dispatched before and has to continue (Item.Requeued) uses no
//     capacity and is not displaced.
//   - A call that can no longer meet its deadline, or that has waited for its
//     MaxWait, expires at once, before it costs tokens.
//
// # Usage
//
//	c := sched.Defaults()
//	c.Rand = rand.New(rand.NewPCG(seed, 0))
//	q, err := sched.New(c)
//	...
//	v := q.Offer(now, sched.Item{Call: call, Cost: 300, Service: 4 * time.Second})
//	answer(v.Displaced...) // each gets its final answer, with Retry-After
//	...
//	answer(q.Expire(now)...)
//	if item, reason, ok := q.Next(now, "drafts"); ok {
//		dispatch(item, reason)
//	}
//
// Each offered item leaves the queue exactly once: refused or displaced by Offer,
// returned by Next or Expire, or removed by Remove. A Queue is not safe for
// concurrent use and takes the time from the caller.
package sched

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Queue holds the waiting calls of one entry VM.
type Queue struct {
	config Config
	models map[call.Model]*modelQueue
	byID   map[string]*entry
	expiry entryHeap
	// expired holds the expired items that Expire has not returned yet.
	expired Refusals
	seq     uint64
}

// New returns an empty queue.
//
// Errors: NotValid if the config is not valid.
func New(c Config) (*Queue, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Queue{
		config: c,
		models: map[call.Model]*modelQueue{},
		byID:   map[string]*entry{},
	}, nil
}

// Offer queues the item or refuses it. The verdict lists the items that it
// displaced; their callers must get the final answer at once.
func (q *Queue) Offer(now time.Time, item Item) Verdict {
	if err := item.Validate(); err != nil {
		return Verdict{Reason: ReasonNotValid}
	}
	if _, ok := q.byID[item.Call.ID]; ok {
		return Verdict{Reason: ReasonIDInUse}
	}
	q.expireDue(now)
	m := q.model(item.Call.Model)
	if reason := q.refusalReason(now, m, item); reason != "" {
		v := Verdict{Reason: reason, RetryAfter: q.retryAfter(now, m, item.Call.Tier)}
		q.dropIfEmpty(m)
		return v
	}
	v := Verdict{Queued: true, Reason: ReasonQueued}
	if !item.Requeued && !m.hasCapacity(item.Call.Tier) {
		victim := m.victim(item.Call.Tier)
		v.Displaced = append(v.Displaced, q.refuse(now, victim, ReasonDisplaced))
	}
	q.insert(now, m, item)
	return v
}

// Next removes and returns the item to dispatch next for the model, with the reason
// for the choice. It returns false if no item is waiting.
func (q *Queue) Next(now time.Time, model call.Model) (Item, Reason, bool) {
	return q.NextUpTo(now, model, call.MaxTier)
}

// NextUpTo is like Next for the tiers from 0 to lowest only, for a dispatcher that
// reserves its last free slots for urgent tiers.
func (q *Queue) NextUpTo(now time.Time, model call.Model, lowest call.Tier) (Item, Reason, bool) {
	q.expireDue(now)
	m, ok := q.models[model]
	if !ok {
		return Item{}, ReasonEmpty, false
	}
	tier, reason := m.chooseTier(now, lowest)
	if tier == nil {
		return Item{}, reason, false
	}
	e := tier.next(now)
	m.dispatch(now, e, reason)
	q.unindex(e)
	q.dropIfEmpty(m)
	return e.item, reason, true
}

// Remove removes a waiting call, for example because its caller has disconnected.
func (q *Queue) Remove(id string) (Item, bool) {
	e, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	q.remove(e)
	return e.item, true
}

// Expire removes and returns the items that have expired, including those that
// Offer and Next found expired. Call it before Next and at NextExpiry.
func (q *Queue) Expire(now time.Time) Refusals {
	q.expireDue(now)
	out := q.expired
	q.expired = nil
	return out
}

// NextExpiry returns when the next item expires, or the zero time if Expire has items
// to return already. It returns false if there are neither.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expired) > 0 {
		return time.Time{}, true
	}
	if len(q.expiry.list) == 0 {
		return time.Time{}, false
	}
	return q.expiry.list[0].expires, true
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.byID) }

// Backlogged reports whether calls for the model are waiting.
func (q *Queue) Backlogged(model call.Model) bool {
	_, ok := q.models[model]
	return ok
}

// Waiting returns the models that have waiting calls, in no particular order.
func (q *Queue) Waiting() []call.Model {
	models := make([]call.Model, 0, len(q.models))
	for name := range q.models {
		models = append(models, name)
	}
	return models
}

func (q *Queue) model(name call.Model) *modelQueue {
	m, ok := q.models[name]
	if !ok {
		m = newModelQueue(name, &q.config)
		q.models[name] = m
	}
	return m
}

// SetSharedCapacity changes Config.SharedCapacity; values below 1 count as 1.
// Calls already queued beyond the new capacity stay.
func (q *Queue) SetSharedCapacity(capacity int) { q.config.SharedCapacity = max(1, capacity) }

func (q *Queue) maxWait(item Item) time.Duration {
	if item.MaxWait > 0 {
		return item.MaxWait
	}
	return q.config.Tiers[item.Call.Tier].MaxWait
}

// expireDue moves all items whose expiry time has passed to q.expired.
func (q *Queue) expireDue(now time.Time) {
	for len(q.expiry.list) > 0 && !q.expiry.list[0].expires.After(now) {
		e := q.expiry.list[0]
		q.expired = append(q.expired, q.refuse(now, e, e.reason))
	}
}

// refuse removes a waiting entry and returns it as a refusal.
func (q *Queue) refuse(now time.Time, e *entry, reason Reason) Refusal {
	after := q.retryAfter(now, e.model, e.item.Call.Tier)
	q.remove(e)
	return Refusal{Item: e.item, Reason: reason, RetryAfter: after}
}

func (q *Queue) remove(e *entry) {
	e.model.remove(e)
	q.unindex(e)
	q.dropIfEmpty(e.model)
}

// unindex removes the entry from the expiry heap and from byID.
func (q *Queue) unindex(e *entry) {
	q.expiry.remove(e)
	delete(q.byID, e.item.Call.ID)
}

// dropIfEmpty deletes the model's queue if it is empty, so that idle models use no
// memory.
func (q *Queue) dropIfEmpty(m *modelQueue) {
	if m.items == 0 {
		delete(q.models, m.name)
	}
}
