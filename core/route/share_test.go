package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// longCallsPerReplica lets each of 60 VMs try to send 200 summaries at once, after all VMs
// have seen summaries and questions and have received the same reports, by which each of
// 90 replicas runs 14 calls in 16 slots. It returns the average number of summaries sent
// to a replica.
func longCallsPerReplica(t *testing.T, limited bool) float64 {
	t.Helper()
	const vms, replicas = 60, 90
	fleet := newRouters(t, vms, replicas)
	now := time.Unix(1000, 0)
	summary := longCall(1)
	summary.Class = "summary"
	list := threeZoneReplicas(replicas)
	for i := range list {
		list[i].Slots = 16
	}
	for _, r := range fleet {
		r.SetReplicas(now, list)
		for range 60 {
			r.Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
			r.Arrived(now, summary)
		}
		for _, one := range list {
			r.Report(now, one.ID, Load{Running: 14, Slots: 16, MeasuredAt: now})
		}
	}
	sent := 0
	for i, r := range fleet {
		if !limited {
			// A VM that knows of no other VM may fill the lane.
			r.SetVMs(1)
		}
		for j := range 200 {
			summary.Prefixes = []uint64{1, uint64(i*1000 + j)}
			d, err := r.Pick(now, summary, nil)
			if err != nil {
				continue
			}
			r.Started(now, d.Replica.ID, 1)
			sent++
		}
	}
	return float64(sent) / replicas
}

// Each VM limits its long-lane calls in flight by its share of the demand, so that many
// VMs with the same reports do not fill the same slots. Without the limit each replica
// would get several times as many calls as it has slots.
func TestVMsShareABusyLane(t *testing.T) {
	assert.Assert(t, longCallsPerReplica(t, false) > 2*16, "without the limit only %g calls for each replica of 16 slots", longCallsPerReplica(t, false))
	got := longCallsPerReplica(t, true)
	assert.Assert(t, got <= longMaxLoad*16, "%g calls for each replica of 16 slots", got)
	assert.Assert(t, got >= 8, "%g calls for each replica of 16 slots", got)
}

// A VM that receives more of the calls has a larger share.
func TestShareFollowsCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newRouters(t, 2, 10)
	summary := longCall(1)
	summary.Class = "summary"
	for i, calls := range []int{90, 30} {
		for range calls {
			fleet[i].Arrived(now, summary)
		}
		fleet[i].Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
	}
	one, two := fleet[0].Demands(now), fleet[1].Demands(now)
	fleet[0].AverageDemands(now, two)
	fleet[1].AverageDemands(now, one)
	for i, want := range []float64{0.75, 0.25} {
		c := &fleet[i].pools["m"].classes
		assert.Equal(t, c.ownShare(now, c.longThreshold(now), 2), want)
	}
}

// The limit does not apply while the lane is not busy: a single VM may use all of it.
func TestIdleLaneIsNotShared(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRouters(t, 60, 10)[0]
	summary := longCall(1)
	summary.Class = "summary"
	for range 60 {
		r.Arrived(now, summary)
		r.Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
	}
	for i := range uint64(100) {
		summary.Prefixes = []uint64{1, i}
		d, err := r.Pick(now, summary, nil)
		assert.NilError(t, err)
		r.Started(now, d.Replica.ID, 1)
	}
}

// A call in the long lane may move to another replica although its VM's share is used up,
// but the VM gets no more calls by it: neither while both places are taken nor afterwards,
// and not for a call whose place does not count against the share.
func TestMoveNeedsNoFurtherShare(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRouters(t, 60, 10)[0]
	summary := longCall(1)
	summary.Class = "summary"
	for range 60 {
		r.Arrived(now, summary)
		r.Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
	}
	p := r.pools["m"]
	l := r.laneOf(now, summary, p)
	assert.Assert(t, l.long)
	var outside call.ReplicaID
	for _, s := range p.all {
		r.Report(now, s.ID, Load{Running: 7, Slots: 8, MeasuredAt: now})
		if !l.has(s) {
			outside = s.ID
		}
	}
	var from call.ReplicaID
	for d, err := r.Pick(now, summary, nil); err == nil; d, err = r.Pick(now, summary, nil) {
		from = d.Replica.ID
		r.Started(now, from, 1)
	}
	assert.Assert(t, from != "")
	refused := func(from call.ReplicaID) {
		t.Helper()
		_, err := r.PickOther(now, summary, []call.ReplicaID{from}, from)
		assert.ErrorContains(t, err, "its share is")
	}
	refused("")
	refused(outside)
	refused("unknown")
	before, _, _ := r.overShare(now, p, l)
	d, err := r.PickOther(now, summary, []call.ReplicaID{from}, from)
	assert.NilError(t, err)
	assert.Assert(t, d.Replica.ID != from)
	r.Started(now, d.Replica.ID, 1)
	refused("")
	r.Finished(now, from, 1, Result{Status: StatusCanceled})
	refused("")
	after, _, over := r.overShare(now, p, l)
	assert.Assert(t, over)
	assert.Equal(t, after, before)
	r.eject(now, r.byID[d.Replica.ID], EjectFailing)
	r.Started(now, from, 1)
	refused(d.Replica.ID)
}

// A call that leaves a replica may come back to it on a new connection: its own place
// there does not count, those of others do.
func TestMoveCountsNotItsOwnPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		others, slots int
		want          error
	}{
		"only its own":  {others: 0, slots: 1},
		"room left":     {others: 1, slots: 2},
		"others' place": {others: 2, slots: 2, want: ErrBusy},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := New(Config{Self: "e1", Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))})
			assert.NilError(t, err)
			r.SetReplicas(now, Replicas{{ID: "r0", Zone: "z", Models: []call.Model{"m"}, Slots: c.slots}})
			for range c.others + 1 {
				r.Started(now, "r0", 1)
			}
			moved := call.Call{Model: "m"}
			d, err := r.PickOther(now, moved, nil, "r0")
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, d.Replica.ID == "r0", c.want == nil)
			_, err = r.Pick(now, moved, nil)
			assert.ErrorIs(t, err, ErrBusy)
		})
	}
}
