package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// newRouters returns the routers of several VMs with the same replicas and different
// random sources.
func newRouters(t *testing.T, vms, replicas int) []*Router {
	t.Helper()
	var out []*Router
	for i := range vms {
		r, err := New(Config{Self: call.VMID(fmt.Sprint("vm-", i)), Zone: "a", Rand: rand.New(rand.NewPCG(7, uint64(i)))})
		assert.NilError(t, err)
		r.SetReplicas(time.Unix(1000, 0), threeZoneReplicas(replicas))
		r.SetVMs(vms)
		out = append(out, r)
	}
	return out
}

// longLaneSizes simulates 20 seconds of load of which each of 60 VMs sees a few calls a
// second. It returns the minimum and the maximum size of the long lane over the VMs. If
// exchange is true, each VM exchanges demands with two others every 400 ms.
func longLaneSizes(t *testing.T, exchange bool) (least, most int) {
	t.Helper()
	const vms, replicas = 60, 90
	fleet := newRouters(t, vms, replicas)
	rng := rand.New(rand.NewPCG(11, 3))
	question := call.Call{Model: "m", Class: "question", PromptTokens: 900}
	var now time.Time
	for tick := range 200 {
		now = time.Unix(1000, 0).Add(time.Duration(tick) * 100 * time.Millisecond)
		for range 15 {
			fleet[rng.IntN(vms)].Arrived(now, question)
			if rng.IntN(3) == 0 {
				long := longCall(rng.Uint64())
				long.Class = "summary"
				fleet[rng.IntN(vms)].Arrived(now, long)
			}
		}
		for _, r := range fleet {
			if !exchange || tick%4 != 0 {
				continue
			}
			for range 2 {
				other := fleet[rng.IntN(vms)]
				mine, theirs := r.Demands(now), other.Demands(now)
				other.AverageDemands(now, mine)
				r.AverageDemands(now, theirs)
			}
		}
	}
	least, most = replicas, 0
	for _, r := range fleet {
		length := r.laneOf(now, question, r.pools["m"]).from
		least, most = min(least, length), max(most, length)
	}
	return least, most
}

// With gossip averaging, VMs that each see only a few calls a second agree on the
// boundary between the lanes, except for a few replicas. Without it they do not, and
// long prompts of some VMs run beside short calls of others.
func TestVMsAgreeOnLanes(t *testing.T) {
	least, most := longLaneSizes(t, false)
	assert.Assert(t, most-least > 9, "without exchange: long lane of %d to %d replicas", least, most)
	least, most = longLaneSizes(t, true)
	assert.Assert(t, most-least <= 9, "with exchange: long lane of %d to %d replicas", least, most)
}

// Averaging preserves the sum of the counts over the VMs.
func TestAverageKeepsTheSum(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newRouters(t, 2, 6)
	for range 30 {
		fleet[0].Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
	}
	fleet[1].Arrived(now, call.Call{Model: "m", Class: "summary", PromptTokens: 9000})
	one, two := fleet[0].Demands(now), fleet[1].Demands(now)
	fleet[0].AverageDemands(now, two)
	fleet[1].AverageDemands(now, one)
	want := []Demand{
		{Model: "m", Class: "question", Seen: 15, PromptTokens: 900, WorkTokens: 900},
		{Model: "m", Class: "summary", Seen: 0.5, PromptTokens: 9000, WorkTokens: 9000},
	}
	for _, r := range fleet {
		assert.DeepEqual(t, r.Demands(now), want)
	}
}

// A VM that has just started adopts the lanes of the VMs that it exchanges demands with.
func TestNewVMAdoptsDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newRouters(t, 2, 20)
	summary := longCall(1)
	summary.Class = "summary"
	for range 100 {
		fleet[0].Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
		fleet[0].Arrived(now, summary)
	}
	fleet[1].AverageDemands(now, fleet[0].Demands(now))
	assert.Equal(t, fleet[1].laneOf(now, summary, fleet[1].pools["m"]), fleet[0].laneOf(now, summary, fleet[0].pools["m"]))
}

// Demands of another VM that are out of range or of an unknown model are ignored.
func TestDemandsOutOfRange(t *testing.T) {
	now := time.Unix(1000, 0)
	good := Demand{Model: "m", Class: "question", Seen: 1, PromptTokens: 900, WorkTokens: 900}
	for name, change := range map[string]func(*Demand){
		"model": func(d *Demand) { d.Model = "other" }, "negative": func(d *Demand) { d.Seen = -1 },
		"infinite": func(d *Demand) { d.Seen = math.Inf(1) }, "no number": func(d *Demand) { d.Seen = math.NaN() },
		"no prompt": func(d *Demand) { d.PromptTokens = 0 }, "endless prompt": func(d *Demand) { d.PromptTokens = math.Inf(1) },
		"no work": func(d *Demand) { d.WorkTokens = math.NaN() },
	} {
		t.Run(name, func(t *testing.T) {
			r, bad := newRouters(t, 1, 6)[0], good
			change(&bad)
			r.AverageDemands(now, []Demand{bad})
			assert.Equal(t, len(r.Demands(now)), 0)
		})
	}
}
