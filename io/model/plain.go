package model

import (
	"math/rand/v2"
	"time"
)

// plainVM is a VM with one of the plain policies.
type plainVM struct {
	run         *policyRun
	policy      Policy
	rng         *rand.Rand
	next        int
	outstanding map[*engine]int
}

func newPlainVM(run *policyRun, p Policy, rng *rand.Rand) *vmPolicy {
	v := &plainVM{run: run, policy: p, rng: rng, next: rng.IntN(len(run.engines)), outstanding: map[*engine]int{}}
	return &vmPolicy{
		offer:     v.send,
		abandoned: func(*request) {},
		report:    func(*engine, loadReport) {},
		tick:      func() {},
	}
}

// send sends the request to an engine. If the engine refuses it, another one is chosen
// until the request has had plainMaxAttempts attempts.
func (v *plainVM) send(r *request) {
	for r.attempts < plainMaxAttempts {
		r.attempts++
		e := v.choose()
		r.onEnd = func(r *request, ok bool) { v.ended(e, r, ok) }
		v.outstanding[e]++
		if e.send(r) {
			return
		}
		v.outstanding[e]--
	}
	v.run.finish(r, stateRefused)
}

// ended handles the end of an attempt. After a failed one the request is
// sent again, unless its caller has given up.
func (v *plainVM) ended(e *engine, r *request, ok bool) {
	v.outstanding[e]--
	switch {
	case ok:
		v.run.finish(r, stateDone)
	case r.state == stateAbandoned:
	default:
		v.run.clock.after(retryDelay, func() { v.send(r) })
	}
}

func (v *plainVM) choose() *engine {
	engines := v.run.engines
	switch v.policy {
	case PolicyTwoChoices:
		a, b := engines[v.rng.IntN(len(engines))], engines[v.rng.IntN(len(engines))]
		if v.outstanding[b] < v.outstanding[a] {
			return b
		}
		return a
	case PolicyLeastOutstanding:
		return v.leastOutstanding()
	}
	v.next = (v.next + 1) % len(engines)
	return engines[v.next]
}

// leastOutstanding returns the engine with the fewest requests of this VM, of several the
// first one from a random start.
func (v *plainVM) leastOutstanding() *engine {
	var best *engine
	from := v.rng.IntN(len(v.run.engines))
	for i := range v.run.engines {
		e := v.run.engines[(from+i)%len(v.run.engines)]
		if best == nil || v.outstanding[e] < v.outstanding[best] {
			best = e
		}
	}
	return best
}

const (
	// plainMaxAttempts limits the attempts of one request.
	plainMaxAttempts = 3
	// retryDelay is the time from a failure on an engine to the next attempt.
	retryDelay = 20 * time.Millisecond
)
