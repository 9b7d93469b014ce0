package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// rush lets a fleet of 60 VMs that have seen summaries and questions send as many
// summaries as they can within a tenth of a second, after all have read the same
// report that each replica of 90 runs 14 calls in 16 slots. It returns how many were
// sent to each replica on average.
func rush(t *testing.T, limited bool) float64 {
	t.Helper()
	const vms, replicas = 60, 90
	fleet := wideFleet(t, vms, replicas)
	now := time.Unix(1000, 0)
	summary := longCall(1)
	summary.Class = "summary"
	list := fleetOf(replicas)
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
			// One that believes itself to be alone may fill the lane.
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

// A concurrency limit for each VM by its share of the demand: when many VMs read the
// same report, they do not all fill the same slots. Without it each replica would be
// sent several times what it has slots for.
func TestVMsShareABusyLane(t *testing.T) {
	assert.Assert(t, rush(t, false) > 2*16, "the load does not reach the bound: %g", rush(t, false))
	got := rush(t, true)
	assert.Assert(t, got <= longMaxLoad*16, "%g calls for each replica of 16 slots", got)
	assert.Assert(t, got >= 8, "%g calls for each replica of 16 slots", got)
}

// A VM that gets more of the calls has a greater share.
func TestShareFollowsCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := wideFleet(t, 2, 10)
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

// A lane that is not busy is not divided: a VM whose callers have just come may use
// all of it.
func TestIdleLaneIsNotShared(t *testing.T) {
	now := time.Unix(1000, 0)
	r := wideFleet(t, 60, 10)[0]
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
