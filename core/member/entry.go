package member

import (
	"maps"
	"time"

	"gentianwell/core/call"
)

// entry is what is known about one VM.
type entry struct {
	id call.VMID
	// listed is the VM as given by the last list that had it; onList is true if
	// the latest list has it; unlistedAt is when a list was first without it.
	listed     VM
	onList     bool
	unlistedAt time.Time
	// statement is the VM's last statement and statementAt when it arrived.
	// restartedAt is when a newer incarnation last replaced a known one.
	statement   Statement
	statementAt time.Time
	restartedAt time.Time
	// answeredState is the state in the VM's last answer to the local VM.
	answeredState State
	answeredAt    time.Time
	// misses is the number of consecutive missed heartbeats, the first of them
	// at missedAt.
	misses   int
	missedAt time.Time
	opinions map[call.VMID]time.Time
}

func (e *entry) vm() *VM {
	if e.onList || e.statement.Incarnation == 0 {
		return &e.listed
	}
	return &e.statement.VM
}

// applyStatement stores a statement if it is newer than the last one. It reports
// whether it did.
func (e *entry) applyStatement(now time.Time, s Statement) bool {
	if s.Version() <= e.statement.Version() {
		return false
	}
	if s.Incarnation > e.statement.Incarnation && e.statement.Incarnation != 0 {
		e.restartedAt = now
		e.answeredState = ""
		e.misses = 0
	}
	e.statement = s
	e.statementAt = now
	clear(e.opinions)
	return true
}

// listMayBeStale reports whether a list applied at listAt may show the VM as it
// was before its restart.
func (e *entry) listMayBeStale(listAt time.Time, lag time.Duration) bool {
	return !e.restartedAt.IsZero() && listAt.Before(e.restartedAt.Add(lag))
}

func (e *entry) silent(now time.Time, c Config) bool {
	if e.misses == 0 {
		return false
	}
	return e.misses >= c.MissesToSilence || now.Sub(e.missedAt) >= c.SilentAfter
}

// applyOpinion stores the opinion of a VM, or refreshes its time. It returns false
// if maxOpinions others are stored that have not expired.
func (e *entry) applyOpinion(now time.Time, by call.VMID, c Config) bool {
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

func (e *entry) currentOpinions(now time.Time, c Config) int {
	n := 0
	for _, at := range e.opinions {
		if now.Sub(at) < c.OpinionMaxAge {
			n++
		}
	}
	return n
}

// suspected reports whether enough VMs miss this one. The local VM's missed
// heartbeats count as one opinion. A recent answer outweighs all opinions.
func (e *entry) suspected(now time.Time, c Config) bool {
	if !e.answeredAt.IsZero() && now.Sub(e.answeredAt) < c.AnswerMaxAge {
		return false
	}
	own := min(e.misses, 1)
	return e.currentOpinions(now, c)+own >= c.OpinionsToSuspect
}

// reason returns the reason for the VM's verdict; listAt is when the last list was
// applied.
func (e *entry) reason(now, listAt time.Time, c Config) Reason {
	saysLive := e.statement.VM.State == StateLive && now.Sub(e.statementAt) < c.StatementMaxAge
	switch {
	case !e.onList && e.statement.Incarnation == 0:
		return ReasonGone
	case e.statement.VM.State == StateLeaving || e.answeredState == StateLeaving:
		return ReasonSaysLeaving
	case !e.onList && (!saysLive || !e.statementAt.After(e.unlistedAt)):
		return ReasonGone
	case e.onList && e.listed.State == StateLeaving && !(saysLive && e.listMayBeStale(listAt, c.ListLag)):
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
