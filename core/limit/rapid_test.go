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

// reply is an answer on its way.
type reply struct {
	to     *testVM
	sent   time.Time
	shares Shares
}

type testVM struct {
	name   Member
	local  *Local
	demand int
	// cut is true while no message of it gets through.
	cut bool
}

// bench is a number of VMs with one home and a network that loses and delays.
type bench struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	home    *Allocator
	vms     []*testVM
	replies []reply
	loss    float64
}

func newBench(t *testing.T, rt *rapid.T, vms int, keptBack float64) *bench {
	seed := rapid.Uint64().Draw(rt, "seed")
	b := &bench{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: start}
	b.loss = rapid.Float64Range(0, 0.9).Draw(rt, "loss")
	b.home = newTestHome(t, start, keptBack, fixed(testLimit))
	for i := range vms {
		b.vms = append(b.vms, &testVM{name: Member(fmt.Sprint(i)), local: newTestLocal(t, keptBack/float64(vms))})
	}
	return b
}

// round lets each VM ask and report, delivers some replies and loses others.
func (b *bench) round() (admitted int) {
	for _, vm := range b.vms {
		if b.rng.IntN(20) == 0 {
			vm.demand = b.rng.IntN(40)
		}
		for range vm.demand {
			if vm.local.Allow(b.now, Charge{testKey, 1}).Allowed {
				admitted++
			}
		}
		demands := vm.local.Demands(b.now)
		if len(demands) == 0 || vm.cut || b.rng.Float64() < b.loss {
			continue
		}
		b.replies = append(b.replies, reply{vm, b.now, b.home.Report(b.now, vm.name, demands)})
	}
	b.deliver()
	b.now = b.now.Add(step)
	return admitted
}

func (b *bench) deliver() {
	var later []reply
	b.rng.Shuffle(len(b.replies), func(i, j int) { b.replies[i], b.replies[j] = b.replies[j], b.replies[i] })
	for _, r := range b.replies {
		switch {
		case r.to.cut || b.rng.Float64() < b.loss:
		case b.rng.IntN(3) == 0:
			later = append(later, r)
		default:
			r.to.local.Grant(b.now, r.sent, r.shares)
		}
	}
	b.replies = later
}

// inForce is the sum of the rates at which the VMs admit now.
func (b *bench) inForce() float64 {
	sum := 0.0
	for _, vm := range b.vms {
		sum += vm.local.rate(b.now, testKey, testLimit)
	}
	return sum
}

// TestSharesNeverExceedLimit loses, delays and reorders messages, cuts VMs off
// and replaces the home: the shares in force never exceed the limit.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t, rt, rapid.IntRange(1, 8).Draw(rt, "vms"), 0.1)
		bursts := 0.0
		for i := range 200 {
			if b.rng.IntN(60) == 0 {
				b.home = newTestHome(t, b.now, 0.1, fixed(testLimit))
				b.replies = nil
			}
			if b.rng.IntN(30) == 0 {
				vm := b.vms[b.rng.IntN(len(b.vms))]
				vm.cut = !vm.cut
			}
			b.round()
			assert.Assert(rt, b.inForce() <= testLimit*1.000001, "%g in force in round %d", b.inForce(), i)
			bursts += b.inForce()
		}
	})
}

// TestKeyMovesBetweenHomes lets the key move between three homes that keep their
// state, back to a former one too: the shares in force never exceed the limit.
func TestKeyMovesBetweenHomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t, rt, rapid.IntRange(1, 6).Draw(rt, "vms"), 0.1)
		homes, owner := make([]*Allocator, 3), 0
		for i := range homes {
			homes[i] = newTestHome(t, start, 0.1, fixed(testLimit))
		}
		for i := range 200 {
			if b.rng.IntN(20) == 0 {
				before := owner
				owner = b.rng.IntN(len(homes))
				for n, h := range homes {
					h.OwnersChanged(b.now, func(Key) bool { return n == before })
				}
			}
			b.home = homes[owner]
			b.round()
			assert.Assert(rt, b.inForce() <= testLimit*1.000001, "%g in force in round %d", b.inForce(), i)
		}
	})
}

// TestAdmittedWithinBound counts what the VMs really admit, over every window of
// the run: at most the limit for the window and the burst time.
func TestAdmittedWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(rt, "vms")
		b := newBench(t, rt, vms, 0.1)
		var admitted []int
		for range 120 {
			admitted = append(admitted, b.round())
		}
		const window = 40 // rounds of half a second
		for from := range len(admitted) - window {
			sum := 0
			for _, n := range admitted[from : from+window] {
				sum += n
			}
			// One burst for the window's start and one for each raise of a share.
			allowed := testLimit*(window*step.Seconds()+1) + float64(vms)
			assert.Assert(rt, float64(sum) <= allowed, "%d admitted, %g allowed", sum, allowed)
		}
	})
}

// TestSharesFollowDemand: without losses the whole limit is in use soon after
// the demand has moved from one VM to another.
func TestSharesFollowDemand(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t, rt, rapid.IntRange(2, 8).Draw(rt, "vms"), 0.1)
		b.loss = 0
		for turn := range 3 {
			busy := b.vms[turn%len(b.vms)]
			last := 0
			for i := range 100 {
				for _, vm := range b.vms {
					vm.demand = 0
				}
				busy.demand = 100
				got := b.roundFixed()
				if i >= 60 {
					last += got
				}
			}
			assert.Assert(rt, float64(last) >= 0.85*testLimit*40*step.Seconds(), "turn %d: %d admitted", turn, last)
		}
	})
}

// roundFixed is round with the demands as they are.
func (b *bench) roundFixed() (admitted int) {
	for _, vm := range b.vms {
		for range vm.demand {
			if vm.local.Allow(b.now, Charge{testKey, 1}).Allowed {
				admitted++
			}
		}
		if demands := vm.local.Demands(b.now); len(demands) > 0 {
			vm.local.Grant(b.now, b.now, b.home.Report(b.now, vm.name, demands))
		}
	}
	b.now = b.now.Add(step)
	return admitted
}

// TestZonesCutOff has a home in each of three zones and the site's home in the
// first; zones are cut off at random. The shares in force stay within the limit
// while all are joined, and within limit x (2 - 1/zones) always.
func TestZonesCutOff(t *testing.T) {
	const zones, vmsPerZone, keptBack = 3, 3, 0.1
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		now, cutUntil := start, start
		site := newTestHome(t, start, keptBack, fixed(testLimit))
		var benches [zones]*bench
		var holders [zones]*Holder
		for z := range zones {
			holders[z] = NewHolder()
			benches[z] = &bench{t: t, rng: rng, now: start, loss: 0.2}
			benches[z].home = newTestHome(t, start, 0, func(now time.Time, key Key) (float64, time.Time) {
				if rate, until, ok := holders[z].Rate(now, key); ok {
					return rate, until
				}
				return testLimit * (1 - keptBack) / zones, time.Time{}
			})
			for i := range vmsPerZone {
				name := Member(fmt.Sprint(z, "-", i))
				benches[z].vms = append(benches[z].vms, &testVM{name: name, local: newTestLocal(t, keptBack/zones/vmsPerZone)})
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
			for z, b := range benches {
				b.round()
				if cut[z] {
					anyCut = true
				} else if demands := b.home.Demands(now); len(demands) > 0 {
					holders[z].Grant(now, site.Report(now, Member(fmt.Sprint(z)), demands))
				}
				sum += b.inForce()
			}
			if anyCut {
				cutUntil = now.Add(2 * testTTL)
			}
			assert.Assert(rt, sum <= testLimit*(2-1.0/zones)*1.000001, "%g in force", sum)
			joined := now.After(cutUntil) && now.After(start.Add(3*testTTL)) && len(site.keys) > 0
			if joined && allHold(now, holders[:]) {
				assert.Assert(rt, sum <= testLimit*1.000001, "%g in force in round %d, all joined", sum, i)
			}
			now = now.Add(step)
		}
	})
}

// allHold reports whether no zone has used its fixed fraction for a TTL.
func allHold(now time.Time, holders []*Holder) bool {
	for _, h := range holders {
		if _, _, ok := h.Rate(now, testKey); !ok {
			return false
		}
	}
	return true
}
