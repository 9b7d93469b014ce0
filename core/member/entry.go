package member

import (
	"maps"
	"time"

	"gentianwell/core/call"
)

// entry is what is known about one VM.
type entry struct {
	id call.VMID
	// listed is the VM as on the last list that had it; onList tells whether the
	// last list has it, gone when a list first came without it.
	listed VM
	onList bool
	gone   time.Time
	// said is its last statement, heard at saidAt; restarted is when the
	// incarnation was first heard.
	said      Statement
	saidAt    time.Time
	restarted time.Time
	// answered is the state in its last answer to this VM.
	answered   State
	answeredAt time.Time
	// misses counts heartbeats missed in a row, the first at missedAt.
	misses   int
	missedAt time.Time
	opinions map[call.VMID]time.Time
}

func (e *entry) vm() *VM {
	if e.onList || e.said.Incarnation == 0 {
		return &e.listed
	}
	return &e.said.VM
}

// hear takes a statement; it returns false for one that is not newer.
func (e *entry) hear(now time.Time, s Statement) bool {
	if s.Version() <= e.said.Version() {
		return false
	}
	if s.Incarnation > e.said.Incarnation && e.said.Incarnation != 0 {
		e.restarted = now
		e.answered = ""
		e.misses = 0
	}
	e.said = s
	e.saidAt = now
	clear(e.opinions)
	return true
}

// stale reports whether the list may state what was true before the VM's restart.
func (e *entry) stale(list time.Time, lag time.Duration) bool {
	return !e.restarted.IsZero() && list.Before(e.restarted.Add(lag))
}

func (e *entry) silent(now time.Time, c Config) bool {
	if e.misses == 0 {
		return false
	}
	return e.misses >= c.MissesToSilence || now.Sub(e.missedAt) >= c.SilentAfter
}

// hearOpinion keeps as many opinions as may count.
func (e *entry) hearOpinion(now time.Time, by call.VMID, c Config) bool {
	if e.opinions == nil {
		e.opinions = map[call.VMID]time.Time{}
	}
	_, known := e.opinions[by]
	if !known && len(e.opinions) >= c.maxOpinions() {
		maps.DeleteFunc(e.opinions, func(_ call.VMID, at time.Time) bool { return now.Sub(at) >= c.OpinionMaxAge })
	}
	if !known && len(e.opinions) >= c.maxOpinions() {
		return false
	}
	e.opinions[by] = now
	return true
}

func (e *entry) opinionsAt(now time.Time, c Config) int {
	n := 0
	for _, at := range e.opinions {
		if now.Sub(at) < c.OpinionMaxAge {
			n++
		}
	}
	return n
}

// suspected counts the others' opinions and the own missed heartbeats as one.
func (e *entry) suspected(now time.Time, c Config) bool {
	if !e.answeredAt.IsZero() && now.Sub(e.answeredAt) < c.AnswerMaxAge {
		return false
	}
	own := min(e.misses, 1)
	return e.opinionsAt(now, c)+own >= c.OpinionsToSuspect
}

// reason judges the VM; list is when the last list was taken.
func (e *entry) reason(now, list time.Time, c Config) Reason {
	saysLive := e.said.VM.State == StateLive && now.Sub(e.saidAt) < c.StatementMaxAge
	switch {
	case !e.onList && e.said.Incarnation == 0:
		return ReasonGone
	case e.said.VM.State == StateLeaving || e.answered == StateLeaving:
		return ReasonSaysLeaving
	case !e.onList && (!saysLive || !e.saidAt.After(e.gone)):
		return ReasonGone
	case e.onList && e.listed.State == StateLeaving && !(saysLive && e.stale(list, c.ListLag)):
		return ReasonListLeaving
	case e.silent(now, c):
		return ReasonSilent
	case e.suspected(now, c):
		return ReasonSuspected
	case !e.onList:
		return ReasonSaysLive
	}
	return ReasonListed
}

func usable(r Reason) bool {
	return r == ReasonListed || r == ReasonSaysLive || r == ReasonAssumedLive
}
