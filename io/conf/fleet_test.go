package conf

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/io/fakekv"
)

// The size to design for, and the part of it that is cut off from the platform.
const (
	fleetVMs = 330
	fleetCut = fleetVMs / 7
)

// A change is in force on every VM of a large fleet within the bound, although
// all watches are silent and a zone is cut off from the platform.
func TestChangeIsInForceOnALargeFleet(t *testing.T) {
	inFleet(t, 7*time.Millisecond, func(w *world) {
		ids := w.ids()
		w.fake.SetFaults(fakekv.Faults{SilentWatches: true})
		w.cutOff(true, ids[fleetVMs-fleetCut:]...)
		w.mustSet(ids[0], "site.weight", "2")
		began := time.Now()
		for len(w.behind("site.weight", "2")) > 0 && time.Since(began) < bound {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("in force on %d VMs after %s", fleetVMs, time.Since(began))
		assert.Equal(w.t, len(w.behind("site.weight", "2")), 0)
	})
}

// maxRestores bounds the transactions that a large fleet spends on a platform
// that came back older, at 20 ms for each call and with all polls at once.
const maxRestores = 60

func TestLargeFleetRestoresAPlatformWithFewCalls(t *testing.T) {
	inFleet(t, 0, func(w *world) {
		w.fake.Save()
		w.mustSet("e000", "site.weight", "2")
		time.Sleep(2 * time.Second)
		w.fake.SetFaults(fakekv.Faults{Delay: 20 * time.Millisecond})
		before := w.fake.Counts()
		w.fake.Restore()
		time.Sleep(bound)
		loaded, err := w.vms["e001"].store.Load(w.ctx)
		assert.NilError(w.t, err)
		assert.Equal(w.t, loaded.Version, int64(1))
		assert.Equal(w.t, len(w.behind("site.weight", "2")), 0)
		after := w.fake.Counts()
		t.Logf("restored with %d transactions and %d reads in %s", after.Txns-before.Txns, after.Reads-before.Reads, bound)
		assert.Assert(w.t, after.Txns-before.Txns <= maxRestores)
	})
}

// inFleet runs a test in a bubble with a large fleet whose VMs start apart.
func inFleet(t *testing.T, apart time.Duration, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for i := range fleetVMs {
			w.start(call.VMID(fmt.Sprintf("e%03d", i)))
			time.Sleep(apart)
		}
		time.Sleep(3 * time.Second)
		test(w)
		for _, id := range w.ids() {
			w.stop(id)
		}
		synctest.Wait()
	})
}

// behind returns the VMs that do not have the value in force.
func (w *world) behind(path, want string) []call.VMID {
	var behind []call.VMID
	for id, v := range w.vms {
		if value(v.Current().Tree, path) != want {
			behind = append(behind, id)
		}
	}
	return behind
}
