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

// wideFleet is 60 VMs before 90 replicas, each with its own luck.
func wideFleet(t *testing.T, vms, replicas int) []*Router {
	t.Helper()
	var out []*Router
	for i := range vms {
		r, err := New(Config{Self: call.VMID(fmt.Sprint("vm-", i)), Zone: "a", Rand: rand.New(rand.NewPCG(7, uint64(i)))})
		assert.NilError(t, err)
		r.SetReplicas(time.Unix(1000, 0), fleetOf(replicas))
		r.SetVMs(vms)
		out = append(out, r)
	}
	return out
}

// borders offers 20 seconds of a load of which each VM of a wide fleet sees a few
// calls a second, and returns the least and the greatest length of the long lane
// that the VMs come to. Each VM talks to two others every 400 ms, or to none.
func borders(t *testing.T, talk bool) (least, most int) {
	t.Helper()
	const vms, replicas = 60, 90
	fleet := wideFleet(t, vms, replicas)
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
			if !talk || tick%4 != 0 {
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

// Averaging gossip: VMs of a wide fleet, each of which sees a few calls a second,
// draw the border between the lanes at about the same replica. Alone they do not, and
// long prompts of some run beside short answers of others.
func TestVMsAgreeOnLanes(t *testing.T) {
	least, most := borders(t, false)
	assert.Assert(t, most-least > 9, "alone: %d to %d", least, most)
	least, most = borders(t, true)
	assert.Assert(t, most-least <= 9, "together: %d to %d", least, most)
}

// The counts of all VMs together stay as they are when two of them average.
func TestAverageKeepsTheSum(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := wideFleet(t, 2, 6)
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

// A VM that has just started has the lanes of those that it hears.
func TestFreshVMTakesOverDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := wideFleet(t, 2, 20)
	summary := longCall(1)
	summary.Class = "summary"
	for range 100 {
		fleet[0].Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
		fleet[0].Arrived(now, summary)
	}
	fleet[1].AverageDemands(now, fleet[0].Demands(now))
	assert.Equal(t, fleet[1].laneOf(now, summary, fleet[1].pools["m"]), fleet[0].laneOf(now, summary, fleet[0].pools["m"]))
}

// What another VM says is not believed where it cannot be.
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
			r, bad := wideFleet(t, 1, 6)[0], good
			change(&bad)
			r.AverageDemands(now, []Demand{bad})
			assert.Equal(t, len(r.Demands(now)), 0)
		})
	}
}
