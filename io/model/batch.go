package model

import (
	"slices"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// batch is an engine that reads prompts in chunks between the tokens of all that it
// runs.
type batch struct {
	id      call.ReplicaID
	zone    call.Zone
	pace    EngineSpec
	speed   float64
	clock   *clock
	waiting []*ask
	running []*ask
	busy    bool
	// kept holds the shared parts that were read, with their last use.
	kept     map[uint64]*keptPart
	keptSum  int
	runSum   int
	readOnce map[uint64]time.Time
	totals   *Totals
	// reports are the loads of the last ReportLag, oldest first.
	reports []route.Load
}

type keptPart struct {
	tokens int
	used   time.Time
	inUse  int
}

// offer takes a call; false where the engine is full.
func (b *batch) offer(a *ask) bool {
	if len(b.waiting) >= b.pace.MaxWaiting {
		return false
	}
	a.generated = 0
	at, _ := slices.BinarySearchFunc(b.waiting, a.call.Tier, func(w *ask, tier call.Tier) int {
		if w.call.Tier <= tier {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, a)
	b.note()
	if !b.busy {
		b.step()
	}
	return true
}

// drop ends a call whose caller has left.
func (b *batch) drop(a *ask) {
	if i := slices.Index(b.waiting, a); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	if slices.Contains(b.running, a) {
		b.leave(a)
	}
}

func (b *batch) leave(a *ask) {
	i := slices.Index(b.running, a)
	b.running = slices.Delete(b.running, i, i+1)
	b.runSum -= a.memory
	for _, part := range a.parts {
		if k := b.kept[part.id]; k != nil && a.holds {
			k.inUse--
		}
	}
	a.holds = false
	b.note()
}

// admit fills the batch with the most urgent, preempting less urgent ones.
func (b *batch) admit() {
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		if len(b.running) >= b.pace.Slots && !b.preempt(next.call.Tier) {
			return
		}
		if b.runSum+next.memory > b.pace.MemoryTokens && len(b.running) > 0 {
			return
		}
		b.waiting = b.waiting[1:]
		b.begin(next)
	}
}

func (b *batch) preempt(tier call.Tier) bool {
	var victim *ask
	for _, a := range b.running {
		if a.call.Tier > tier && (victim == nil || a.call.Tier >= victim.call.Tier) {
			victim = a
		}
	}
	if victim == nil {
		return false
	}
	b.leave(victim)
	b.totals.Preempted++
	b.waiting = append(b.waiting, victim)
	slices.SortStableFunc(b.waiting, func(a, c *ask) int { return int(a.call.Tier - c.call.Tier) })
	return true
}

// begin puts a call into the batch; what is kept of its prompt is not read again.
func (b *batch) begin(a *ask) {
	now := b.clock.now
	a.unread = a.call.PromptTokens + a.generated
	a.context = 0
	leading := true
	for _, part := range a.parts {
		k := b.kept[part.id]
		if k == nil || !leading {
			leading = false
			if last, ok := b.readOnce[part.id]; ok && now.Sub(last) < reuseWindow {
				b.totals.RereadTokens += part.tokens
			}
			if k == nil {
				k = &keptPart{tokens: part.tokens}
				b.kept[part.id] = k
				b.keptSum += part.tokens
			}
		} else {
			a.unread -= part.tokens
			a.context += part.tokens
		}
		b.readOnce[part.id] = now
		k.used = now
		k.inUse++
	}
	a.holds = true
	b.runSum += a.memory
	b.running = append(b.running, a)
	b.evict()
}

// reuseWindow is how long after its last use a part counts when it is read again.
const reuseWindow = 7500 * time.Millisecond

// evict forgets the parts that were used least recently.
func (b *batch) evict() {
	for b.keptSum+b.runSum > b.pace.MemoryTokens {
		var oldest uint64
		var found *keptPart
		for id, k := range b.kept {
			if k.inUse == 0 && (found == nil || k.used.Before(found.used) || k.used.Equal(found.used) && id < oldest) {
				oldest, found = id, k
			}
		}
		if found == nil {
			return
		}
		delete(b.kept, oldest)
		b.keptSum -= found.tokens
	}
}

// step moves the batch on.
func (b *batch) step() {
	b.admit()
	b.note()
	if len(b.running) == 0 {
		b.busy = false
		return
	}
	b.busy = true
	budget, read, context := b.pace.PrefillChunk, 0, 0
	var pairs float64
	decoding := make([]*ask, 0, len(b.running))
	for _, a := range b.running {
		if a.unread == 0 {
			decoding = append(decoding, a)
			context += a.context
			continue
		}
		n := min(budget, a.unread)
		if n == 0 {
			continue
		}
		pairs += float64(n) * (float64(a.context) + float64(n)/2)
		a.unread -= n
		a.context += n
		budget -= n
		read += n
		if a.unread == 0 {
			decoding = append(decoding, a)
		}
	}
	took := float64(b.pace.StepTime) + float64(b.pace.ContextTime)*float64(context)/1000 +
		float64(read)/b.pace.PrefillRate*float64(time.Millisecond) + float64(b.pace.PairsTime)*pairs/1e6
	b.totals.ReadTokens += read
	b.clock.after(time.Duration(took*b.speed), func() {
		for _, a := range decoding {
			b.token(a)
		}
		b.step()
	})
}

// token makes one token of an answer.
func (b *batch) token(a *ask) {
	if !a.holds {
		return
	}
	a.generated++
	a.context++
	done := a.generated >= a.events*b.pace.TokensPerEvent
	if a.generated == 1 || a.generated%b.pace.TokensPerEvent == 0 || done {
		var delay time.Duration
		if a.generated == 1 {
			delay = b.pace.FirstEventDelay
		}
		b.clock.after(delay, func() { a.event(b.report()) })
	}
	if done {
		b.leave(a)
		b.clock.after(b.pace.FirstEventDelay, a.end)
	}
}

// note keeps the load for reports.
func (b *batch) note() {
	now := b.clock.now
	b.reports = append(b.reports, route.Load{Running: len(b.running), Waiting: len(b.waiting), Slots: b.pace.Slots, MeasuredAt: now})
	for len(b.reports) > 1 && now.Sub(b.reports[1].MeasuredAt) >= b.pace.ReportLag {
		b.reports = b.reports[1:]
	}
}

// report is the load as an answer tells it: of a while ago, but as if of now.
func (b *batch) report() route.Load {
	l := b.reports[0]
	for _, next := range b.reports {
		if b.clock.now.Sub(next.MeasuredAt) < b.pace.ReportLag {
			break
		}
		l = next
	}
	l.MeasuredAt = b.clock.now
	return l
}
