package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

// All VMs have the same stale reports, in which only r0 is idle. If each VM chose the
// least loaded replica, r0 would get most of the calls.
func TestNoHerdOnStaleReport(t *testing.T) {
	for _, choices := range []int{1, defaultChoices, 3, 5, 20} {
		share := staleReportShare(t, choices)
		t.Logf("choices %d: r0 got %.2f times its fair share", choices, share)
		if choices == defaultChoices {
			assert.Assert(t, share <= 2.5, "r0 got %.2f times its fair share", share)
		}
	}
}

// staleReportShare lets 300 VMs send five calls each and returns the calls that r0 gets
// as a multiple of its fair share.
func staleReportShare(t *testing.T, choices int) float64 {
	const vms, callsEach = 300, 5
	replicas := newReplicas(20, 1)
	got := 0
	for vm := range vms {
		r := newRouter(t, Config{Self: call.VMID(fmt.Sprint(vm)), Choices: choices})
		r.cfg.Rand = rand.New(rand.NewPCG(gwtest.Seed(), uint64(vm)))
		r.SetReplicas(t0, replicas)
		for _, replica := range replicas[1:] {
			r.Report(t0, replica.ID, Load{Running: 3, MeasuredAt: t0})
		}
		got += send(t, r, t0, request, callsEach)["r0"]
	}
	return float64(got*len(replicas)) / (vms * callsEach)
}

// send picks a replica for n calls, starts them and returns their number by replica.
func send(t testing.TB, r *Router, now time.Time, c call.Call, n int) map[call.ReplicaID]int {
	t.Helper()
	got := map[call.ReplicaID]int{}
	for range n {
		d, err := r.Pick(now, c, nil)
		assert.NilError(t, err)
		r.Started(now, d.Replica.ID, 1)
		got[d.Replica.ID]++
	}
	return got
}

func TestPickSpreadsByOwnWork(t *testing.T) {
	const runs, calls = 400, 25
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(5, 1))
	total, deviation := map[call.ReplicaID]int{}, 0
	for range runs {
		got := send(t, r, t0, request, calls)
		for id, n := range got {
			total[id] += n
			deviation += max(n-calls/5, calls/5-n)
		}
		finish(r, t0, got)
	}
	for id, n := range total {
		share := float64(n) / (runs * calls)
		assert.Assert(t, share > 0.19 && share < 0.21, "%s: share %.3f", id, share)
	}
	mean := float64(deviation) / (runs * 5)
	assert.Assert(t, mean < 1, "%.2f calls off the fair share on average", mean)
}

func TestPickCountsCost(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(2, 1))
	for range 20 {
		r.Started(t0, "r1", 100)
		r.Finished(t0, "r1", 100, Result{Status: StatusOK})
	}
	r.Started(t0, "r0", 1000)
	r.Started(t0, "r1", 100)
	r.Started(t0, "r1", 100)
	d, err := r.Pick(t0, request, nil)
	assert.NilError(t, err)
	assert.Equal(t, d.Replica.ID, call.ReplicaID("r1"))
}

func TestPickPrefersItsZone(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(9, 3))
	local := func(got map[call.ReplicaID]int) int { return got["r0"] + got["r3"] + got["r6"] }
	first := send(t, r, t0, request, 4)
	assert.Equal(t, local(first), 4, "%v", first)
	// The own zone has 30 slots, so the other calls must go to other zones.
	rest := send(t, r, t0, request, 56)
	assert.Assert(t, local(first)+local(rest) <= 30)
	assert.Assert(t, local(first)+local(rest) >= 20, "%v", rest)

	for _, id := range []call.ReplicaID{"r0", "r3", "r6"} {
		for range 10 {
			r.Started(t0, id, 1)
		}
	}
	d, err := r.Pick(t0, request, nil)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, ReasonOtherZone)
}

// The hint attracts calls to r0 only while its load is close to the average.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(5, 1))
	c := request
	c.Prefixes = []uint64{1, 2, 3}
	r.Hints().Sent("m", c.Prefixes, "r0")
	d, err := r.Pick(t0, c, nil)
	assert.NilError(t, err)
	assert.Equal(t, d.Replica.ID, call.ReplicaID("r0"))
	assert.Equal(t, d.Reason, ReasonPrefixCached)
	assert.Equal(t, d.CachedPrefixes, 3)

	got := send(t, r, t0, c, 20)
	assert.Assert(t, got["r0"] >= 5, "%v", got)
	assert.Assert(t, got["r0"] <= 7, "r0 is far above the average of 4: %v", got)
}

func TestSlowStart(t *testing.T) {
	const runs, calls = 100, 20
	tests := []struct {
		name        string
		now         time.Duration
		least, most float64
	}{
		{"at once", 0, 0, 0.05},
		{"half way", 10 * time.Second, 0.10, 0.18},
		{"done", 20 * time.Second, 0.23, 0.27},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(t, Config{SlowStart: 20 * time.Second})
			replicas := newReplicas(4, 1)
			r.SetReplicas(t0, replicas[:3])
			r.SetReplicas(t0, replicas)
			fresh := 0
			for range runs {
				got := send(t, r, at(tt.now), request, calls)
				fresh += got["r3"]
				finish(r, at(tt.now), got)
			}
			share := float64(fresh) / (runs * calls)
			t.Logf("share of the fresh replica: %.3f", share)
			assert.Assert(t, share >= tt.least && share <= tt.most, "share %.3f", share)
		})
	}
}

// finish finishes the calls that send started.
func finish(r *Router, now time.Time, sent map[call.ReplicaID]int) {
	for id, n := range sent {
		for range n {
			r.Finished(now, id, 1, Result{Status: StatusOK})
		}
	}
}

// If all replicas are in slow start, they may use all of their slots, since no warm
// replica can take the rest.
func TestSlowStartOfAll(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(1, 1))
	list := newReplicas(3, 1)
	for i := range list {
		list[i].Models = []call.Model{"new"}
	}
	r.SetReplicas(t0, list[1:])
	c := request
	c.Model = "new"
	send(t, r, t0, c, 20)
}

func TestPickAlone(t *testing.T) {
	r := newRouter(t, Config{AloneWait: time.Minute})
	r.SetReplicas(t0, newReplicas(3, 3))
	r.Started(t0, "r0", 1)
	r.Report(t0, "r1", Load{Running: 1, MeasuredAt: t0})
	d, err := r.PickAlone(t0, request, nil)
	assert.NilError(t, err)
	assert.Equal(t, d.Replica.ID, call.ReplicaID("r2"))
	assert.Equal(t, send(t, r, t0, request, 5)["r2"], 0, "kept free")

	r.StartedAlone(t0, "r2", 1)
	d, err = r.PickAlone(t0, request, nil)
	assert.ErrorIs(t, err, ErrBusy)
	assert.Equal(t, d.Replica.ID, call.ReplicaID(""), "one at a time")
	assert.Equal(t, send(t, r, at(time.Minute), request, 5)["r2"], 0)
	r.FinishedAlone(t0, "r2", 1, Result{Status: StatusOK})
	assert.Assert(t, send(t, r, at(time.Minute), request, 5)["r2"] > 0)
}

// If no replica is idle, a single one is kept free until it is.
func TestPickAloneWaitsForOne(t *testing.T) {
	r := newRouter(t, Config{AloneWait: time.Minute})
	r.SetReplicas(t0, newReplicas(3, 1))
	for _, id := range []call.ReplicaID{"r0", "r0", "r1", "r2", "r2"} {
		r.Started(t0, id, 1)
	}
	for range 3 {
		d, err := r.PickAlone(t0, request, nil)
		assert.ErrorIs(t, err, ErrBusy)
		assert.Equal(t, d.Replica.ID, call.ReplicaID("r1"))
	}
	assert.Equal(t, send(t, r, t0, request, 6)["r1"], 0)
	r.Report(t0, "r1", Load{Running: 10, MeasuredAt: t0})
	d, err := r.PickAlone(t0, request, nil)
	assert.ErrorIs(t, err, ErrBusy)
	assert.Equal(t, d.Replica.ID, call.ReplicaID("r1"), "the choice does not change with the load of other VMs")
	r.Finished(t0, "r1", 1, Result{Status: StatusOK})
	d, err = r.PickAlone(at(defaultReportMaxAge), request, nil)
	assert.NilError(t, err)
	assert.Equal(t, d.Replica.ID, call.ReplicaID("r1"))

	_, err = r.PickAlone(t0, request, []call.ReplicaID{"r0", "r1", "r2"})
	assert.ErrorIs(t, err, ErrNoReplica)
}

func TestReserveByOtherVM(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(2, 1))
	r.Reserve("r1", at(time.Second))
	_, err := r.PickAlone(t0, request, nil)
	assert.ErrorIs(t, err, ErrBusy, "one at a time")
	assert.Equal(t, send(t, r, t0, request, 5)["r1"], 0)
	assert.Assert(t, send(t, r, at(time.Second), request, 5)["r1"] > 0)
}

// The only replica of a model is not kept free, since ordinary calls need it.
func TestPickAloneOfOne(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(1, 1))
	r.Started(t0, "r0", 1)
	_, err := r.PickAlone(t0, request, nil)
	assert.ErrorIs(t, err, ErrBusy)
	send(t, r, t0, request, 3)
}

// PickReplica chooses its replica also while that is ejected, but only within the limits
// that hold for every call.
func TestPickReplica(t *testing.T) {
	now := time.Unix(1000, 0)
	summary := longCall(1)
	for name, c := range map[string]struct {
		setUp func(*Router, *state)
		want  Reason
		err   error
	}{
		"idle":    {func(*Router, *state) {}, ReasonLeastLoaded, nil},
		"ejected": {func(r *Router, s *state) { r.eject(now, s, EjectFailing) }, ReasonLastResort, nil},
		"full":    {func(r *Router, s *state) { r.Report(now, s.ID, Load{Running: 8, Slots: 8, MeasuredAt: now}) }, "", ErrBusy},
		"ejected and full": {func(r *Router, s *state) {
			r.eject(now, s, EjectFailing)
			r.Report(now, s.ID, Load{Running: 8, Slots: 8, MeasuredAt: now})
		}, "", ErrBusy},
		"reserved": {func(_ *Router, s *state) { s.reservedUntil = now.Add(time.Second) }, "", ErrBusy},
		"share used up": {func(r *Router, s *state) {
			r.cfg.InitialLongShare = 0.5
			for _, other := range r.pools["m"].all {
				r.Report(now, other.ID, Load{Running: 7, Slots: 8, MeasuredAt: now})
			}
			for d, err := r.Pick(now, summary, nil); err == nil; d, err = r.Pick(now, summary, nil) {
				r.Started(now, d.Replica.ID, 1)
			}
		}, "", ErrBusy},
		"not listed": {func(r *Router, _ *state) { r.SetReplicas(now, threeZoneReplicas(10)[1:]) }, "", ErrNoReplica},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouters(t, 60, 10)[0]
			id := threeZoneReplicas(10)[0].ID
			c.setUp(r, r.byID[id])
			d, err := r.PickReplica(now, summary, id)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, d.Replica.ID, id)
			assert.Equal(t, d.Reason, c.want)
		})
	}
}
