package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
)

// runCalls starts and finishes calls on a replica and returns the last ejection.
func runCalls(r *Router, now time.Time, id call.ReplicaID, result Result, times int) EjectReason {
	var last EjectReason
	for range times {
		r.Started(now, id, 1)
		if reason := r.Finished(now, id, 1, result); reason != "" {
			last = reason
		}
	}
	return last
}

func TestEjection(t *testing.T) {
	ok := Result{Status: StatusOK, FirstToken: 300 * time.Millisecond}
	slow := Result{Status: StatusOK, FirstToken: 3 * time.Second}
	tests := []struct {
		name   string
		result Result
		times  int
		want   EjectReason
	}{
		{"fails twice", Result{Status: StatusFailed}, 2, ""},
		{"fails three times", Result{Status: StatusFailed}, 3, EjectFailing},
		{"crashes", Result{Status: StatusCrashed}, 3, EjectFailing},
		{"unreachable", Result{Status: StatusUnreachable}, 3, EjectUnreachable},
		{"canceled", Result{Status: StatusCanceled}, 9, ""},
		{"slow", slow, 8, EjectSlow},
		{"slow a few times", slow, 7, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(t, Config{})
			r.SetReplicas(t0, newReplicas(5, 1))
			for _, id := range []call.ReplicaID{"r1", "r2", "r3", "r4"} {
				runCalls(r, t0, id, ok, 8)
			}
			assert.Equal(t, runCalls(r, t0, "r0", tt.result, tt.times), tt.want)
			assert.Equal(t, len(r.Ejected(t0)) == 1, tt.want != "")
			if tt.want != "" {
				assert.Equal(t, send(t, r, t0, request, 20)["r0"], 0)
			}
		})
	}
}

// A replica that is silent during calls that go on is ejected like one that fails them.
func TestSilentReplicaIsEjected(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(5, 1))
	r.Started(t0, "r0", 1)
	assert.Equal(t, r.Silent(t0, "r0"), EjectReason(""))
	assert.Equal(t, r.Silent(t0, "r0"), EjectReason(""))
	assert.Equal(t, r.Silent(t0, "r0"), EjectFailing)
	assert.Equal(t, r.Silent(t0, "unknown"), EjectReason(""))
	assert.Equal(t, send(t, r, t0, request, 20)["r0"], 0)
}

// An ejection ends after its time, each further one lasts twice as long, up to the
// maximum, and a series of successes resets the doubling.
func TestEjectionEndsAndDoubles(t *testing.T) {
	r := newRouter(t, Config{EjectTime: 5 * time.Second, EjectTimeMax: 15 * time.Second})
	r.SetReplicas(t0, newReplicas(4, 1))
	now := t0
	for _, want := range []time.Duration{5 * time.Second, 10 * time.Second, 15 * time.Second} {
		assert.Equal(t, runCalls(r, now, "r0", Result{Status: StatusFailed}, 3), EjectFailing)
		assert.DeepEqual(t, r.Ejected(now), Ejections{{ID: "r0", Reason: EjectFailing, Until: now.Add(want)}})
		now = now.Add(want)
		assert.Equal(t, len(r.Ejected(now)), 0)
	}
	runCalls(r, now, "r0", Result{Status: StatusOK}, defaultSlowSamples)
	assert.Equal(t, runCalls(r, now, "r0", Result{Status: StatusFailed}, 3), EjectFailing)
	assert.Equal(t, r.Ejected(now)[0].Until, now.Add(5*time.Second))
}

// A failure makes a replica less likely to be chosen for a limited time.
func TestFailurePenaltyDecays(t *testing.T) {
	tests := []struct {
		now  time.Duration
		want float64
	}{
		{0, 2}, {2500 * time.Millisecond, 1}, {5 * time.Second, 0}, {time.Hour, 0},
	}
	s := &state{failures: 2, lastFailure: t0}
	for _, tt := range tests {
		assert.Equal(t, s.failurePenalty(at(tt.now), 5*time.Second), tt.want)
	}
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(2, 1))
	runCalls(r, t0, "r0", Result{Status: StatusFailed}, 1)
	assert.Equal(t, send(t, r, t0, request, 6)["r0"], 0)
	assert.Assert(t, send(t, r, at(defaultEjectTime), request, 6)["r0"] >= 3)
}

// All replicas of unreachable zones are ejected, beyond the maximum ejected share.
func TestUnreachableZone(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(9, 3))
	for _, id := range []call.ReplicaID{"r1", "r2", "r4", "r5", "r7", "r8"} {
		assert.Equal(t, runCalls(r, t0, id, Result{Status: StatusUnreachable}, 3), EjectUnreachable, "%s", id)
	}
	got := send(t, r, t0, request, 30)
	assert.Equal(t, got["r0"]+got["r3"]+got["r6"], 30)
	_, err := r.Pick(t0, request, nil)
	assert.ErrorIs(t, err, ErrBusy)
}

// If only ejected replicas are left, Pick chooses one of them.
func TestEjectedAsLastResort(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(2, 1))
	runCalls(r, t0, "r0", Result{Status: StatusFailed}, 3)
	d, err := r.Pick(t0, request, []call.ReplicaID{"r1"})
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, ReasonLastResort)
	assert.Equal(t, d.Replica.ID, call.ReplicaID("r0"))
}

// Whatever the results, the ejected share of a model stays within EjectedShareMax.
func TestEjectedShareIsCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "replicas")
		r := newRouter(t, Config{})
		r.SetReplicas(t0, newReplicas(n, 1))
		statuses := rapid.SampledFrom([]Status{StatusOK, StatusFailed, StatusCrashed, StatusUnreachable})
		now := t0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(r.Subset("m")).Draw(t, "id")
			firstToken := time.Duration(rapid.IntRange(0, 5000).Draw(t, "firstToken")) * time.Millisecond
			runCalls(r, now, id, Result{Status: statuses.Draw(t, "status"), FirstToken: firstToken}, 3)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			most := 0
			if n > 1 {
				most = max(1, int(0.34*float64(n)))
			}
			assert.Assert(t, len(r.Ejected(now)) <= most, "%d of %d", len(r.Ejected(now)), n)
		}
	})
}
