package claims

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/core/gwtest"
	"gentianwell/io/fakekv"
)

const fleetTime = 20 * time.Second

// fleetLoad is the load of the claims of a fleet of VMs: counts, the rate of
// transactions and how long Begin took.
type fleetLoad struct {
	claims int
	txns   float64 // per second
	mean   time.Duration
	p95    time.Duration
}

// measureFleet makes and finishes claims on n VMs, on each at the given rate per
// second. The platform takes 3 ms for each reply.
func measureFleet(t *testing.T, n int, rate float64) fleetLoad {
	var load fleetLoad
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fake := fakekv.New(fakekv.Config{})
		fake.SetFaults(fakekv.Faults{Delay: 3 * time.Millisecond})
		var mu sync.Mutex
		var waits []time.Duration
		var all sync.WaitGroup
		for vm := range n {
			c := New(Config{
				Service: fake.Service(), VM: call.VMID(strconv.Itoa(vm)), Nonce: nonce, Every: every(ctx),
				VMs: func() int { return n },
			})
			go func() { assert.Check(t, c.Run(ctx)) }()
			rng := rand.New(rand.NewPCG(gwtest.Seed(), uint64(vm)))
			all.Go(func() {
				begun := time.Now()
				for i := 0; time.Since(begun) < fleetTime; i++ {
					time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
					all.Go(func() {
						start := time.Now()
						attempt := begin(t, c, "r", strconv.Itoa(vm)+"."+strconv.Itoa(i))
						mu.Lock()
						waits = append(waits, time.Since(start))
						mu.Unlock()
						assert.Check(t, attempt.MarkSent(time.Now()))
						assert.Check(t, c.Finish(ctx, attempt, claim.Outcome{Status: 200}))
					})
				}
			})
		}
		begun := time.Now()
		all.Wait()
		load.claims, load.txns = len(waits), float64(fake.Counts().Txns)/time.Since(begun).Seconds()
		slices.Sort(waits)
		for _, w := range waits {
			load.mean += w / time.Duration(len(waits))
		}
		load.p95 = waits[len(waits)*95/100]
		cancel()
		synctest.Wait()
	})
	return load
}

// The claims of all VMs together stay within MaxRate, whatever the number of VMs and
// the share of calls that need a claim; the time to make a claim grows instead.
func TestFleetRate(t *testing.T) {
	const calls = 5200.0 / 330 // per second on each VM at the peak
	for _, n := range []int{9, 40, 160, 330} {
		for _, share := range []float64{0.02, 0.1} {
			load := measureFleet(t, n, calls*share)
			t.Logf("vms=%d share=%.2f claims=%d txns/s=%.0f mean=%s p95=%s", n, share, load.claims, load.txns, load.mean.Round(time.Millisecond), load.p95.Round(time.Millisecond))
			allowed := defaultMaxRate + float64(n*burst)/fleetTime.Seconds()
			assert.Assert(t, load.txns <= allowed, "%d VMs: %.0f/s, allowed %.0f", n, load.txns, allowed)
		}
	}
}
