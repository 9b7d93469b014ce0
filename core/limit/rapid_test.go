package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianwell/core/gwtest"
)

const step = 500 * time.Millisecond

// reply is an allocator's reply in transit to a VM.
type reply struct {
	to     *testVM
	sent   time.Time
	shares Shares
}

type testVM struct {
	name   Member
	local  *Local
	demand int
	// cut is true while the VM's messages and the replies to it are lost.
	cut bool
}

// cluster simulates VMs with one allocator and a network that loses, delays and
// reorders messages.
type cluster struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	allocator *Allocator
	vms       []*testVM
	replies   []reply
	loss      float64
}

func newCluster(t *testing.T, rt *rapid.T, vms int, reserved float64) *cluster {
	seed := rapid.Uint64().Draw(rt, "seed")
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: start}
	c.loss = rapid.Float64Range(0, 0.9).Draw(rt, "loss")
	c.allocator = newTestAllocator(t, start, reserved, fixed(testLimit))
	for i := range vms {
		c.vms = append(c.vms, &testVM{name: Member(fmt.Sprint(i)), local: newTestLocal(t, reserved/float64(vms))})
	}
	return c
}

// round lets each VM make calls and report its demands, then delivers, delays or
// loses the replies.
func (c *cluster) round() (admitted int) {
	for _, vm := range c.vms {
		if c.rng.IntN(20) == 0 {
			vm.demand = c.rng.IntN(40)
		}
		for range vm.demand {
			if vm.local.Allow(c.now, Charge{testKey, 1}).Allowed {
				admitted++
			}
		}
		demands := vm.local.Demands(c.now)
		if len(demands) == 0 || vm.cut || c.rng.Float64() < c.loss {
			continue
		}
		c.replies = append(c.replies, reply{vm, c.now, c.allocator.Report(c.now, vm.name, demands)})
	}
	c.deliver()
	c.now = c.now.Add(step)
	return admitted
}

func (c *cluster) deliver() {
	var delayed []reply
	c.rng.Shuffle(len(c.replies), func(i, j int) { c.replies[i], c.replies[j] = c.replies[j], c.replies[i] })
	for _, r := range c.replies {
		switch {
		case r.to.cut || c.rng.Float64() < c.loss:
		case c.rng.IntN(3) == 0:
			delayed = append(delayed, r)
		default:
			r.to.local.Grant(c.now, r.sent, r.shares)
		}
	}
	c.replies = delayed
}

// totalRate returns the sum of the rates at which the VMs admit calls now.
func (c *cluster) totalRate() float64 {
	sum := 0.0
	for _, vm := range c.vms {
		sum += vm.local.rate(c.now, testKey, testLimit)
	}
	return sum
}

// TestSharesNeverExceedLimit loses, delays and reorders messages, cuts VMs off
// and replaces the allocator, and checks that the sum of the valid shares never
// exceeds the limit.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t, rt, rapid.IntRange(1, 8).Draw(rt, "vms"), 0.1)
		bursts := 0.0
		for i := range 200 {
			if c.rng.IntN(60) == 0 {
				c.allocator = newTestAllocator(t, c.now, 0.1, fixed(testLimit))
				c.replies = nil
			}
			if c.rng.IntN(30) == 0 {
				vm := c.vms[c.rng.IntN(len(c.vms))]
				vm.cut = !vm.cut
			}
			c.round()
			assert.Assert(rt, c.totalRate() <= testLimit*1.000001, "total rate %g in round %d", c.totalRate(), i)
			bursts += c.totalRate()
		}
	})
}

// TestKeyMovesBetweenOwners moves the key between three allocators that keep their
// state, also back to a previous one, and checks that the sum of the valid shares
// never exceeds the limit.
func TestKeyMovesBetweenOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t, rt, rapid.IntRange(1, 6).Draw(rt, "vms"), 0.1)
		allocators, owner := make([]*Allocator, 3), 0
		for i := range allocators {
			allocators[i] = newTestAllocator(t, start, 0.1, fixed(testLimit))
		}
		for i := range 200 {
			if c.rng.IntN(20) == 0 {
				before := owner
				owner = c.rng.IntN(len(allocators))
				for n, a := range allocators {
					a.OwnersChanged(c.now, func(Key) bool { return n == before })
				}
			}
			c.allocator = allocators[owner]
			c.round()
			assert.Assert(rt, c.totalRate() <= testLimit*1.000001, "total rate %g in round %d", c.totalRate(), i)
		}
	})
}

// TestAdmittedWithinBound counts the calls that the VMs admit and checks that in
// every window of the run they are at most the limit for the window and the burst
// time.
func TestAdmittedWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(rt, "vms")
		c := newCluster(t, rt, vms, 0.1)
		var admitted []int
		for range 120 {
			admitted = append(admitted, c.round())
		}
		const window = 40 // rounds of half a second
		for from := range len(admitted) - window {
			sum := 0
			for _, n := range admitted[from : from+window] {
				sum += n
			}
			// One BurstTime at the limit, and one call of each VM.
			allowed := testLimit*(window*step.Seconds()+1) + float64(vms)
			assert.Assert(rt, float64(sum) <= allowed, "%d admitted, %g allowed", sum, allowed)
		}
	})
}

// TestSharesFollowDemand checks that without losses nearly the whole limit is in
// use soon after the demand has moved from one VM to another.
func TestSharesFollowDemand(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t, rt, rapid.IntRange(2, 8).Draw(rt, "vms"), 0.1)
		c.loss = 0
		for turn := range 3 {
			busy := c.vms[turn%len(c.vms)]
			last := 0
			for i := range 100 {
				for _, vm := range c.vms {
					vm.demand = 0
				}
				busy.demand = 100
				got := c.roundFixed()
				if i >= 60 {
					last += got
				}
			}
			assert.Assert(rt, float64(last) >= 0.85*testLimit*40*step.Seconds(), "turn %d: %d admitted", turn, last)
		}
	})
}

// roundFixed is round with unchanged demands and without losses or delays.
func (c *cluster) roundFixed() (admitted int) {
	for _, vm := range c.vms {
		for range vm.demand {
			if vm.local.Allow(c.now, Charge{testKey, 1}).Allowed {
				admitted++
			}
		}
		if demands := vm.local.Demands(c.now); len(demands) > 0 {
			vm.local.Grant(c.now, c.now, c.allocator.Report(c.now, vm.name, demands))
		}
	}
	c.now = c.now.Add(step)
	return admitted
}

// TestZonesCutOff has an allocator in each of three zones, and the site's allocator
// in the first; the other zones are cut off at random. The sum of the valid shares
// must stay within the limit while no zone is cut off, and within
// limit x (2 - 1/zones) always.
func TestZonesCutOff(t *testing.T) {
	const zones, vmsPerZone, reserved = 3, 3, 0.1
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		now, cutUntil := start, start
		site := newTestAllocator(t, start, reserved, fixed(testLimit))
		var clusters [zones]*cluster
		var holders [zones]*Holder
		for z := range zones {
			holders[z] = NewHolder()
			clusters[z] = &cluster{t: t, rng: rng, now: start, loss: 0.2}
			clusters[z].allocator = newTestAllocator(t, start, 0, func(now time.Time, key Key) (float64, time.Time) {
				if rate, until, ok := holders[z].Rate(now, key); ok {
					return rate, until
				}
				return testLimit * (1 - reserved) / zones, time.Time{}
			})
			for i := range vmsPerZone {
				name := Member(fmt.Sprint(z, "-", i))
				clusters[z].vms = append(clusters[z].vms, &testVM{name: name, local: newTestLocal(t, reserved/zones/vmsPerZone)})
			}
		}
		var cut [zones]bool
		for i := range 200 {
			for z := 1; z < zones; z++ {
				if rng.IntN(50) == 0 {
					cut[z] = !cut[z]
				}
			}
			sum, anyCut := 0.0, false
			for z, c := range clusters {
				c.round()
				if cut[z] {
					anyCut = true
				} else if demands := c.allocator.Demands(now); len(demands) > 0 {
					holders[z].Grant(now, site.Report(now, Member(fmt.Sprint(z)), demands))
				}
				sum += c.totalRate()
			}
			if anyCut {
				cutUntil = now.Add(2 * testTTL)
			}
			assert.Assert(rt, sum <= testLimit*(2-1.0/zones)*1.000001, "total rate %g", sum)
			connected := now.After(cutUntil) && now.After(start.Add(3*testTTL)) && len(site.keys) > 0
			if connected && allHold(now, holders[:]) {
				assert.Assert(rt, sum <= testLimit*1.000001, "total rate %g in round %d with no zone cut off", sum, i)
			}
			now = now.Add(step)
		}
	})
}

// allHold reports whether every zone has a valid share, so that none uses its fixed
// fraction.
func allHold(now time.Time, holders []*Holder) bool {
	for _, h := range holders {
		if _, _, ok := h.Rate(now, testKey); !ok {
			return false
		}
	}
	return true
}
