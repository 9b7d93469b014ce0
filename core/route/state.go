package route

import (
	"time"

	"gentianwell/core/call"
)

// historyLen is the number of changes of the in-flight count that are kept for each
// replica.
const historyLen = 32

// firstTokenWeight is the weight of a new sample in the moving average of the time to
// the first token.
const firstTokenWeight = 0.2

// state is the Router's state of one replica.
type state struct {
	Replica
	listed bool
	// idHash is the hash of the replica's id.
	idHash uint64
	// laneRank is the replica's position in the order from which lanes are cut.
	laneRank int
	// slowStartSince is the start of its slow start; zero if it has none.
	slowStartSince time.Time
	// inFlight counts this VM's calls on the replica, costInFlight is their cost.
	// history is a ring buffer of the changes of inFlight.
	inFlight     int
	costInFlight float64
	history      [historyLen]loadChange
	changes      int
	// otherLoad is the load of the other VMs by the last report, which was measured
	// at reportedAt.
	otherLoad  float64
	reportedAt time.Time
	lastReport Load
	// speed estimates how long work takes on the replica.
	speed speed
	// reportedSlots is the number of slots by the replica's own reports; zero if they
	// do not state it.
	reportedSlots int
	// aloneInFlight counts this VM's calls in flight that must run alone. Until
	// keptFreeUntil the replica is kept free for such a call of this VM, until
	// reservedUntil for one of another VM.
	aloneInFlight int
	keptFreeUntil time.Time
	reservedUntil time.Time
	// failures counts consecutive failures, the last of them at lastFailure;
	// successes counts consecutive successes.
	failures int
	// unreachable counts consecutive failures to connect.
	unreachable int
	lastFailure time.Time
	successes   int
	// firstToken is the moving average of the time to the first token, in seconds.
	firstToken float64
	samples    int
	// leaving is true once the replica has said that it leaves, pausedUntil is until when it
	// has asked for no requests.
	leaving      bool
	pausedUntil  time.Time
	ejections    int
	ejectedUntil time.Time
	ejectedFor   EjectReason
}

// loadChange is the value of state.inFlight from a time on.
type loadChange struct {
	at       time.Time
	inFlight int
}

func (s *state) setInFlight(now time.Time, n int) {
	s.inFlight = max(n, 0)
	s.history[s.changes%historyLen] = loadChange{at: now, inFlight: s.inFlight}
	s.changes++
}

// inFlightAt returns the in-flight count at a time, or the oldest known count if the
// history does not reach back that far.
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

// report records a load report. The load that exceeds this VM's calls in flight at
// the time of the measurement is that of the other VMs.
func (s *state) report(now time.Time, l Load) bool {
	measuredAt := l.MeasuredAt
	if measuredAt.After(now) {
		measuredAt = now
	}
	if !measuredAt.After(s.reportedAt) {
		return false
	}
	s.reportedAt = measuredAt
	s.lastReport = l
	s.lastReport.MeasuredAt = measuredAt
	if l.Slots > 0 {
		s.Slots = l.Slots
		s.reportedSlots = l.Slots
	}
	if l.WorkPercent > 0 {
		s.speed.report(l.WorkPercent, measuredAt)
	}
	s.otherLoad = float64(max(0, l.Running+l.Waiting-s.inFlightAt(measuredAt)))
	return true
}

// otherLoadAt returns the load of the other VMs, discounted by the report's age.
func (s *state) otherLoadAt(now time.Time, maxAge time.Duration) float64 {
	age := now.Sub(s.reportedAt)
	if s.otherLoad == 0 || age >= maxAge {
		return 0
	}
	return s.otherLoad * (1 - float64(age)/float64(maxAge))
}

// load returns the estimated number of requests on the replica.
func (s *state) load(now time.Time, maxAge time.Duration) float64 {
	return float64(s.inFlight) + s.otherLoadAt(now, maxAge)
}

// failurePenalty returns a penalty for consecutive failures. It decreases to zero
// within decay, so that the replica is tried again.
func (s *state) failurePenalty(now time.Time, decay time.Duration) float64 {
	age := now.Sub(s.lastFailure)
	if s.failures == 0 || age >= decay {
		return 0
	}
	return float64(s.failures) * (1 - float64(age)/float64(decay))
}

// runs reports whether the replica's software is of the version that the call needs.
func (s *state) runs(c call.Call) bool { return c.Version == "" || s.Version == c.Version }

func (s *state) runsAlone() bool { return s.aloneInFlight > 0 }

func (s *state) keptFree(now time.Time) bool { return now.Before(s.keptFreeUntil) }

// reserved reports whether the replica takes no ordinary calls because it runs a call
// alone or is kept free for one.
func (s *state) reserved(now time.Time) bool {
	return s.runsAlone() || s.keptFree(now) || now.Before(s.reservedUntil)
}

func (s *state) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }
