package model

import (
	"math/rand/v2"
	"time"
)

// plain is a VM with one of the plain policies.
type plain struct {
	bench       *bench
	policy      Policy
	rng         *rand.Rand
	next        int
	outstanding map[*engine]int
}

func newPlain(b *bench, p Policy, rng *rand.Rand) *entry {
	v := &plain{bench: b, policy: p, rng: rng, next: rng.IntN(len(b.engines)), outstanding: map[*engine]int{}}
	return &entry{
		offer:  v.send,
		left:   func(*request) {},
		report: func(*engine, loadReport) {},
		tick:   func() {},
	}
}

// send tries up to plainAttempts engines.
func (v *plain) send(r *request) {
	for r.attempts < plainAttempts {
		r.attempts++
		e := v.choose()
		r.onEnd = func(r *request, ok bool) { v.ended(e, r, ok) }
		v.outstanding[e]++
		if e.send(r) {
			return
		}
		v.outstanding[e]--
	}
	v.bench.end(r, stateRefused)
}

func (v *plain) ended(e *engine, r *request, ok bool) {
	v.outstanding[e]--
	switch {
	case ok:
		v.bench.end(r, stateDone)
	case r.state == stateLeft:
	default:
		v.bench.clock.after(retryDelay, func() { v.send(r) })
	}
}

func (v *plain) choose() *engine {
	engines := v.bench.engines
	switch v.policy {
	case PolicyTwoChoices:
		a, b := engines[v.rng.IntN(len(engines))], engines[v.rng.IntN(len(engines))]
		if v.outstanding[b] < v.outstanding[a] {
			return b
		}
		return a
	case PolicyLeastOutstanding:
		return v.least()
	}
	v.next = (v.next + 1) % len(engines)
	return engines[v.next]
}

// least returns an engine with the fewest own requests, a random one of several.
func (v *plain) least() *engine {
	var best *engine
	from := v.rng.IntN(len(v.bench.engines))
	for i := range v.bench.engines {
		e := v.bench.engines[(from+i)%len(v.bench.engines)]
		if best == nil || v.outstanding[e] < v.outstanding[best] {
			best = e
		}
	}
	return best
}

const (
	// plainAttempts bounds the attempts of one request.
	plainAttempts = 3
	// retryDelay is the time from a failure to the next attempt.
	retryDelay = 20 * time.Millisecond
)
