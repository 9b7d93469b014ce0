package route

import (
	"time"
)

// historyLen is how many changes of the own load are kept for each replica.
const historyLen = 32

// firstTokenWeight is the weight of a new sample in the usual time to the first token.
const firstTokenWeight = 0.2

// state is what the Router keeps about one replica.
type state struct {
	Replica
	listed bool
	// lane is its place in the order by which lanes are filled.
	lane int
	// freshSince is the start of its slow start; zero: none.
	freshSince time.Time
	own        int
	ownCost    float64
	history    [historyLen]ownChange
	changes    int
	// foreign is the other VMs' load by the last report, taken at reported.
	foreign  float64
	reported time.Time
	// last is the last report.
	last Load
	// saidSlots are the slots by its own report; zero: it has not said.
	saidSlots int
	// alone counts own calls in flight that have to be alone, keptUntil is how
	// long the replica is kept free for one, reservedUntil what another VM told.
	alone         int
	keptUntil     time.Time
	reservedUntil time.Time
	// failures counts failures in a row, the last of them at failed; good
	// counts successes in a row.
	failures int
	// unreachable counts the connections in a row that could not be made.
	unreachable int
	failed      time.Time
	good        int
	// firstToken is the usual time to the first token in seconds.
	firstToken   float64
	samples      int
	ejections    int
	ejectedUntil time.Time
	ejectedFor   EjectReason
}

// ownChange is the own load that held from a time on.
type ownChange struct {
	at  time.Time
	own int
}

func (s *state) setOwn(now time.Time, own int) {
	s.own = max(own, 0)
	s.history[s.changes%historyLen] = ownChange{at: now, own: s.own}
	s.changes++
}

// ownAt returns the own load at a time; where the history is too short, the
// oldest load that is known.
func (s *state) ownAt(t time.Time) int {
	oldest := max(0, s.changes-historyLen)
	for i := s.changes - 1; i >= oldest; i-- {
		change := s.history[i%historyLen]
		if !change.at.After(t) {
			return change.own
		}
	}
	if oldest == 0 {
		return 0
	}
	return s.history[oldest%historyLen].own
}

// report takes a load report: what is not the own load is the other VMs'.
func (s *state) report(now time.Time, l Load) bool {
	taken := l.MeasuredAt
	if taken.After(now) {
		taken = now
	}
	if !taken.After(s.reported) {
		return false
	}
	s.reported = taken
	s.last = l
	s.last.MeasuredAt = taken
	if l.Slots > 0 {
		s.Slots = l.Slots
		s.saidSlots = l.Slots
	}
	s.foreign = float64(max(0, l.Running+l.Waiting-s.ownAt(taken)))
	return true
}

// foreignAt returns the other VMs' load, discounted by the report's age.
func (s *state) foreignAt(now time.Time, maxAge time.Duration) float64 {
	age := now.Sub(s.reported)
	if s.foreign == 0 || age >= maxAge {
		return 0
	}
	return s.foreign * (1 - float64(age)/float64(maxAge))
}

// load returns the estimated requests on the replica.
func (s *state) load(now time.Time, maxAge time.Duration) float64 {
	return float64(s.own) + s.foreignAt(now, maxAge)
}

// failing is a penalty for failures in a row, which fades within a time, so that
// the replica is tried again.
func (s *state) failing(now time.Time, fade time.Duration) float64 {
	age := now.Sub(s.failed)
	if s.failures == 0 || age >= fade {
		return 0
	}
	return float64(s.failures) * (1 - float64(age)/float64(fade))
}

func (s *state) running() bool { return s.alone > 0 }

func (s *state) kept(now time.Time) bool { return now.Before(s.keptUntil) }

// reserved reports whether ordinary calls are kept off.
func (s *state) reserved(now time.Time) bool {
	return s.running() || s.kept(now) || now.Before(s.reservedUntil)
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }
