package route

import (
	"math"
	"time"

	"gentianwell/core/call"
)

// Expectation is what a call can expect at a replica. The router gets it back with the Result.
type Expectation struct {
	// FirstToken is the expected time to the first token, Gap that between events; zero if not
	// known. Uncertainty is the standard deviation of the logarithm of FirstToken, Chance the
	// probability that the first token comes within the call's latency target; 1 without one.
	FirstToken, Gap time.Duration
	Uncertainty     float64
	Chance          float64
	// Factor is how long work takes at the replica as a factor of the usual, Age the age of
	// the newest figure or answer behind it; zero if there is none.
	Factor float64
	Age    time.Duration
	// Decides is true if the choice was made by expected times.
	Decides bool

	x      features
	lane   int
	sentAt time.Time
	prefix uint64
	model  call.Model
}

// expect holds what the answers to a model's calls have shown about their times. Long and short
// prompts are kept apart, as they use other replicas.
type expect struct {
	first, gap [2]fit
	// workAt is when a replica last reported a work figure, differsAt when a measured speed
	// was last seen to differ clearly.
	workAt, differsAt time.Time
}

// decides reports whether calls of a lane are routed by expected times, with measured also where no
// replica reports work figures.
func (e *expect) decides(now time.Time, lane int, measured bool) bool {
	if !e.first[lane].ready() {
		return false
	}
	return fresh(now, e.workAt, workActive) || measured && fresh(now, e.differsAt, 2*speedTime)
}

func fresh(now, at time.Time, maxAge time.Duration) bool { return !at.IsZero() && now.Sub(at) < maxAge }

// chance returns the probability that a time with the given median in seconds and deviation of
// its logarithm is within the target. The logistic function is close to the normal one.
func chance(target time.Duration, median, deviation float64) float64 {
	if target <= 0 {
		return 1
	}
	return 1 / (1 + math.Exp(-1.7*math.Log(target.Seconds()/median)/max(0.05, deviation)))
}

func (l lane) index() int {
	if l.long {
		return 1
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// learn learns from the outcome of a call.
func (r *Router) learn(now time.Time, s *state, result Result) {
	e := result.Expected
	p := r.pools[e.model]
	if p == nil || e.sentAt.IsZero() {
		return
	}
	switch result.Status {
	case StatusOK:
	case StatusCanceled:
		return
	default:
		p.held.forget(e.prefix, s.idHash)
		return
	}
	if result.FirstToken <= 0 {
		return
	}
	first := &p.expect.first[e.lane]
	measured, work := result.FirstToken.Seconds(), e.Factor
	if s.speed.workAt.After(e.sentAt) {
		// A report came with the answer: the work was done between the two figures.
		work = (work + s.speed.at(s.speed.workAt).value) / 2
	}
	gap, gapX := &p.expect.gap[e.lane], features{1, 0, e.x[2]}
	if first.ready() {
		s.speed.measured(now, measured/(work*first.predict(e.x)))
	}
	if first.ready() && gap.ready() && result.Gap > 0 {
		// Without the measured factor: the comparison is with the usual speed.
		usual := work / s.speed.lasting(now)
		s.speed.contrast.add(measured/(usual*first.predict(e.x)), result.Gap.Seconds()/(usual*gap.predict(gapX)), result.Gap.Seconds())
		if s.speed.contrast.differs(p.all) {
			p.expect.differsAt = now
		}
	}
	first.add(e.x, measured/work)
	if result.Gap > 0 {
		gap.add(gapX, result.Gap.Seconds()/work)
	}
}
