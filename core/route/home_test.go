package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

func homeFleet(t *testing.T, self call.VMID, replicas int) *Router {
	t.Helper()
	r, err := New(Config{Self: self, Zone: "a", Rand: rand.New(rand.NewPCG(1, uint64(len(self))))})
	assert.NilError(t, err)
	r.SetReplicas(time.Unix(1000, 0), fleetOf(replicas))
	r.SetVMs(9)
	return r
}

// fleetOf returns replicas of one model in three zones.
func fleetOf(replicas int) Replicas {
	var list Replicas
	for i := range replicas {
		list = append(list, Replica{
			ID: call.ReplicaID(fmt.Sprintf("r%02d", i)), Zone: call.Zone([]string{"a", "b", "c"}[i%3]), Models: []call.Model{"m"}, Slots: 48,
		})
	}
	return list
}

func longCall(prefix uint64) call.Call {
	return call.Call{Model: "m", Prefixes: []uint64{1, prefix}, SharedTokens: 5000, PromptTokens: 12000}
}

// Consistent hashing with bounded loads: VMs that know nothing of each other send
// the same long prefix to the same replica, in whatever zone, and different
// prefixes to different ones.
func TestVMsAgreeOnHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	one, two := homeFleet(t, "vm-1", 18), homeFleet(t, "vm-22", 18)
	used := map[call.ReplicaID]int{}
	for prefix := range uint64(200) {
		a, err := one.Pick(now, longCall(prefix), nil)
		assert.NilError(t, err)
		b, err := two.Pick(now, longCall(prefix), nil)
		assert.NilError(t, err)
		assert.Equal(t, a.Replica.ID, b.Replica.ID)
		assert.Equal(t, a.Reason, ReasonHome)
		used[a.Replica.ID]++
	}
	assert.Equal(t, len(used), 18)
	for id, n := range used {
		assert.Assert(t, n < 30, "%s is the home of %d prefixes of 200", id, n)
	}
}

// A hot prefix does not overload its home: its second home takes over, and nobody
// else has to read it while both have room.
func TestHotPrefixUsesTwoHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	r := homeFleet(t, "vm-1", 18)
	sent := map[call.ReplicaID]int{}
	for range 60 {
		d, err := r.Pick(now, longCall(7), nil)
		assert.NilError(t, err)
		r.Started(now, d.Replica.ID, 1)
		sent[d.Replica.ID]++
	}
	assert.Equal(t, len(sent), 2)
	for id, n := range sent {
		assert.Assert(t, float64(n) <= 48*max(r.cfg.HomeFloor, 0.5+r.cfg.HomeBound)+1, "%s got %d of 60 calls with 48 slots", id, n)
	}
}

// Where both homes are full, a call goes elsewhere only as long as somebody is half
// idle, and is refused then: reading the prefix anew would cost the others more.
func TestFullHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	r := homeFleet(t, "vm-1", 18)
	sent := map[call.ReplicaID]int{}
	var last error
	for range 18 * 96 {
		var d Decision
		if d, last = r.Pick(now, longCall(7), nil); last != nil {
			break
		}
		r.Started(now, d.Replica.ID, 1)
		sent[d.Replica.ID]++
	}
	assert.ErrorIs(t, last, ErrBusy)
	full := 0
	for _, n := range sent {
		if n > 25 {
			full++
		}
	}
	assert.Equal(t, full, 2)
}

// A home that failed the call, or is ejected, is passed over, and calls with a
// short prefix have none.
func TestHomePassedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	r := homeFleet(t, "vm-1", 18)
	first, err := r.Pick(now, longCall(7), nil)
	assert.NilError(t, err)
	second, err := r.Pick(now, longCall(7), []call.ReplicaID{first.Replica.ID})
	assert.NilError(t, err)
	assert.Assert(t, second.Replica.ID != first.Replica.ID && second.Reason == ReasonHome)
	for range 4 {
		r.Started(now, first.Replica.ID, 1)
		r.Finished(now, first.Replica.ID, 1, Result{Status: StatusFailed})
	}
	third, err := r.Pick(now, longCall(7), nil)
	assert.NilError(t, err)
	assert.Equal(t, third.Replica.ID, second.Replica.ID)
	short := longCall(7)
	short.SharedTokens = 100
	d, err := r.Pick(now, short, nil)
	assert.NilError(t, err)
	assert.Assert(t, d.Reason != ReasonHome)
}
