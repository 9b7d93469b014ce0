package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// newHomeRouter returns the router of one of nine VMs, with replicas in three zones.
func newHomeRouter(t *testing.T, self call.VMID, replicas int) *Router {
	t.Helper()
	r, err := New(Config{Self: self, Zone: "a", Rand: rand.New(rand.NewPCG(1, uint64(len(self))))})
	assert.NilError(t, err)
	r.SetReplicas(time.Unix(1000, 0), threeZoneReplicas(replicas))
	r.SetVMs(9)
	return r
}

// threeZoneReplicas returns replicas of model "m" with 48 slots, spread over three zones.
func threeZoneReplicas(replicas int) Replicas {
	var list Replicas
	for i := range replicas {
		list = append(list, Replica{
			ID: call.ReplicaID(fmt.Sprintf("r%02d", i)), Zone: call.Zone([]string{"a", "b", "c"}[i%3]), Models: []call.Model{"m"}, Slots: 48,
		})
	}
	return list
}

// longCall returns a call whose prompt has a shared prefix long enough for a home.
func longCall(prefix uint64) call.Call {
	return call.Call{Model: "m", Prefixes: []uint64{1, prefix}, SharedTokens: 5000, PromptTokens: 12000}
}

// VMs that do not communicate send calls with the same long prefix to the same replica
// in any zone, and spread different prefixes over all replicas.
func TestVMsAgreeOnHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	one, two := newHomeRouter(t, "vm-1", 18), newHomeRouter(t, "vm-22", 18)
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

// A frequent prefix does not overload its home: the second home takes the excess, and no
// other replica computes the prefix while both have room.
func TestHotPrefixUsesTwoHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newHomeRouter(t, "vm-1", 18)
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

// If both homes are full, calls go to other replicas only while these are nearly idle and
// are refused after that: computing the prefix again would cost busier replicas too much.
func TestFullHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newHomeRouter(t, "vm-1", 18)
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

// A home that is excluded or ejected is skipped, and calls with a short shared prefix
// have no home.
func TestUnavailableHomeIsSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newHomeRouter(t, "vm-1", 18)
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
