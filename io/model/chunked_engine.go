package model

import (
	"math"
	"slices"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// chunkedEngine is an engine with continuous batching and chunked prefill: each step
// generates one token of each running answer and reads one chunk of prompts.
type chunkedEngine struct {
	id         call.ReplicaID
	zone       call.Zone
	spec       EngineSpec
	timeFactor float64
	// noise multiplies timeFactor at the moment.
	noise   float64
	clock   *clock
	waiting []*simulatedCall
	running []*simulatedCall
	busy    bool
	// cache holds the shared parts of prompts by id; cachedTokens is their length.
	// runningTokens is the memory of the running calls without shared parts.
	cache         map[uint64]*cachedPart
	cachedTokens  int
	runningTokens int
	// lastRead is when any engine last started a call with the shared part. All
	// engines of a simulation share the map.
	lastRead map[uint64]time.Time
	totals   *Totals
	// loads are the changes of the load within the last ReportLag and the newest one
	// before, oldest first.
	loads []route.Load
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
	inUse    int
}

// offer queues a call behind those of its tier. It returns false if the queue is full.
func (e *chunkedEngine) offer(c *simulatedCall) bool {
	if len(e.waiting) >= e.spec.MaxWaiting {
		return false
	}
	c.generated = 0
	at, _ := slices.BinarySearchFunc(e.waiting, c.call.Tier, func(w *simulatedCall, tier call.Tier) int {
		if w.call.Tier <= tier {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, c)
	e.recordLoad()
	if !e.busy {
		e.step()
	}
	return true
}

// cancel removes a call whose caller has given up.
func (e *chunkedEngine) cancel(c *simulatedCall) {
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if slices.Contains(e.running, c) {
		e.removeRunning(c)
	}
}

func (e *chunkedEngine) removeRunning(c *simulatedCall) {
	i := slices.Index(e.running, c)
	e.running = slices.Delete(e.running, i, i+1)
	e.runningTokens -= c.ownTokens
	for _, part := range c.parts {
		if k := e.cache[part.id]; k != nil && c.inBatch {
			k.inUse--
		}
	}
	c.inBatch = false
	e.recordLoad()
}

// admit starts waiting calls, the most urgent first, as far as slots and memory allow.
// If all slots are taken, it preempts a less urgent running call.
func (e *chunkedEngine) admit() {
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if len(e.running) >= e.spec.Slots && !e.preempt(next.call.Tier) {
			return
		}
		if e.runningTokens+next.ownTokens > e.spec.MemoryTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(next)
	}
}

// preempt moves a running call of a less urgent tier than the given one back to the
// queue: the newest one of the least urgent tier. It returns false if there is none.
func (e *chunkedEngine) preempt(tier call.Tier) bool {
	var victim *simulatedCall
	for _, c := range e.running {
		if c.call.Tier > tier && (victim == nil || c.call.Tier >= victim.call.Tier) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	e.removeRunning(victim)
	e.totals.Preempted++
	e.waiting = append(e.waiting, victim)
	slices.SortStableFunc(e.waiting, func(x, y *simulatedCall) int { return int(x.call.Tier - y.call.Tier) })
	return true
}

// start adds a call to the batch. Shared parts at the start of its prompt that are
// cached are not read again; neither the rest of the prompt nor an answer generated
// before a preemption is cached.
func (e *chunkedEngine) start(c *simulatedCall) {
	now := e.clock.now
	c.unread = c.call.PromptTokens + c.generated
	c.context = 0
	leading := true
	for _, part := range c.parts {
		k := e.cache[part.id]
		if k == nil || !leading {
			leading = false
			if last, ok := e.lastRead[part.id]; ok && now.Sub(last) < reuseWindow {
				e.totals.RereadTokens += part.tokens
			}
			if k == nil {
				k = &cachedPart{tokens: part.tokens}
				e.cache[part.id] = k
				e.cachedTokens += part.tokens
			}
		} else {
			c.unread -= part.tokens
			c.context += part.tokens
		}
		e.lastRead[part.id] = now
		k.lastUsed = now
		k.inUse++
	}
	c.inBatch = true
	e.runningTokens += c.ownTokens
	e.running = append(e.running, c)
	e.evict()
}

// reuseWindow is the time after its last use within which reading a shared part again
// counts in RereadTokens.
const reuseWindow = 7500 * time.Millisecond

// evict removes the least recently used parts that no running call uses until the
// memory suffices. Equal times are ordered by id, so that runs are reproducible.
func (e *chunkedEngine) evict() {
	for e.cachedTokens+e.runningTokens > e.spec.MemoryTokens {
		var oldest uint64
		var found *cachedPart
		for id, k := range e.cache {
			if k.inUse == 0 && (found == nil || k.lastUsed.Before(found.lastUsed) || k.lastUsed.Equal(found.lastUsed) && id < oldest) {
				oldest, found = id, k
			}
		}
		if found == nil {
			return
		}
		delete(e.cache, oldest)
		e.cachedTokens -= found.tokens
	}
}

// step runs one step of the batch and schedules the next.
func (e *chunkedEngine) step() {
	e.admit()
	e.recordLoad()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	budget, read, context := e.spec.PrefillChunk, 0, 0
	var pairs float64
	decoding := make([]*simulatedCall, 0, len(e.running))
	for _, c := range e.running {
		if c.unread == 0 {
			decoding = append(decoding, c)
			context += c.context
			continue
		}
		n := min(budget, c.unread)
		if n == 0 {
			continue
		}
		pairs += float64(n) * (float64(c.context) + float64(n)/2)
		c.unread -= n
		c.context += n
		budget -= n
		read += n
		if c.unread == 0 {
			decoding = append(decoding, c)
		}
	}
	took := float64(e.spec.StepTime) + float64(e.spec.ContextTime)*float64(context)/1000 +
		float64(read)/e.spec.PrefillRate*float64(time.Millisecond) + float64(e.spec.PairsTime)*pairs/1e6
	e.totals.ReadTokens += read
	e.clock.after(time.Duration(took*e.timeFactor*e.noise), func() {
		for _, c := range decoding {
			e.generateToken(c)
		}
		e.step()
	})
}

// generateToken generates one token of an answer. Every TokensPerEvent tokens, and at
// the first and the last one, it sends an event.
func (e *chunkedEngine) generateToken(c *simulatedCall) {
	if !c.inBatch {
		return
	}
	c.generated++
	c.context++
	done := c.generated >= c.answerEvents*e.spec.TokensPerEvent
	if c.generated == 1 || c.generated%e.spec.TokensPerEvent == 0 || done {
		var delay time.Duration
		if c.generated == 1 {
			delay = e.spec.FirstEventDelay
		}
		e.clock.after(delay, func() { c.onEvent(e.reportedLoad()) })
	}
	if done {
		e.removeRunning(c)
		e.clock.after(e.spec.FirstEventDelay, c.onEnd)
	}
}

// recordLoad records the present load for later reports.
func (e *chunkedEngine) recordLoad() {
	now := e.clock.now
	e.loads = append(e.loads, route.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.spec.Slots, MeasuredAt: now})
	for len(e.loads) > 1 && now.Sub(e.loads[1].MeasuredAt) >= e.spec.ReportLag {
		e.loads = e.loads[1:]
	}
}

// reportedLoad returns the load as an answer states it: that of ReportLag ago, but with
// the present time as MeasuredAt.
func (e *chunkedEngine) reportedLoad() route.Load {
	l := e.loads[0]
	for _, next := range e.loads {
		if e.clock.now.Sub(next.MeasuredAt) < e.spec.ReportLag {
			break
		}
		l = next
	}
	l.MeasuredAt = e.clock.now
	if e.spec.ReportsWork {
		l.WorkPercent = int(math.Round(100 * e.timeFactor * e.noise))
	}
	return l
}
