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
	// laneRank is its place in the order by which lanes are filled.
	laneRank int
	// slowStartSince is the start of its slow start; zero: none.
	slowStartSince time.Time
	inFlight        int
	costInFlight    float64
	history    [historyLen]loadChange
	changes    int
	// otherLoad is the other VMs' load by the last report, taken at reported.
	otherLoad  float64
	reportedAt time.Time
	// lastReport is the lastReport report.
	lastReport Load
	// reportedSlots are the slots by its own report; zero: it has not said.
	reportedSlots int
	// aloneInFlight counts own calls in flight that have to be aloneInFlight, keptUntil is how
	// long the replica is kept free for one, reservedUntil what another VM told.
	aloneInFlight         int
	keptFreeUntil     time.Time
	reservedUntil time.Time
	// failures counts failures in a row, the last of them at failed; good
	// counts successes in a row.
	failures int
	// unreachable counts the connections in a row that could not be made.
	unreachable int
	lastFailure      time.Time
	successes        int
	// firstToken is the usual time to the first token in seconds.
	firstToken   float64
	samples      int
	ejections    int
	ejectedUntil time.Time
	ejectedFor   EjectReason
}

// loadChange is the own load that held from a time on.
type loadChange struct {
	at  time.Time
	inFlight int
}

func (s *state) setInFlight(now time.Time, own int) {
	s.inFlight = max(own, 0)
	s.history[s.changes%historyLen] = loadChange{at: now, inFlight: s.inFlight}
	s.changes++
}

// inFlightAt returns the own load at a time; where the history is too short, the
// oldest load that is known.
func (s *state) inFlightAt(t time.Time) int {
	oldest := max(0, s.changes-historyLen)
	for i := s.changes - 1; i >= oldest; i-- {
		change := s.history[i%historyLen]
		if !change.at.After(t) {
			return change.inFlight
		}
	}
	if oldest == 0 {
		return 0
	}
	return s.history[oldest%historyLen].inFlight
}

// report takes a load report: what is not the own load is the other VMs'.
func (s *state) report(now time.Time, l Load) bool {
	taken := l.MeasuredAt
	if taken.After(now) {
		taken = now
	}
	if !taken.After(s.reportedAt) {
		return false
	}
	s.reportedAt = taken
	s.lastReport = l
	s.lastReport.MeasuredAt = taken
	if l.Slots > 0 {
		s.Slots = l.Slots
		s.reportedSlots = l.Slots
	}
	s.otherLoad = float64(max(0, l.Running+l.Waiting-s.inFlightAt(taken)))
	return true
}

// otherLoadAt returns the other VMs' load, discounted by the report's age.
func (s *state) otherLoadAt(now time.Time, maxAge time.Duration) float64 {
	age := now.Sub(s.reportedAt)
	if s.otherLoad == 0 || age >= maxAge {
		return 0
	}
	return s.otherLoad * (1 - float64(age)/float64(maxAge))
}

// load returns the estimated requests on the replica.
func (s *state) load(now time.Time, maxAge time.Duration) float64 {
	return float64(s.inFlight) + s.otherLoadAt(now, maxAge)
}

// failurePenalty is a penalty for failures in a row, which fades within a time, so that
// the replica is tried again.
func (s *state) failurePenalty(now time.Time, fade time.Duration) float64 {
	age := now.Sub(s.lastFailure)
	if s.failures == 0 || age >= fade {
		return 0
	}
	return float64(s.failures) * (1 - float64(age)/float64(fade))
}

func (s *state) runsAlone() bool { return s.aloneInFlight > 0 }

func (s *state) keptFree(now time.Time) bool { return now.Before(s.keptFreeUntil) }

// reserved reports whether ordinary calls are kept off.
func (s *state) reserved(now time.Time) bool {
	return s.runsAlone() || s.keptFree(now) || now.Before(s.reservedUntil)
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }
