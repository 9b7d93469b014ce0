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

// The fleet size to design for, and the number of VMs that are cut off from the
// platform.
const (
	fleetVMs          = 330
	fleetDisconnected = fleetVMs / 7
)

// A change is in force on every VM of a large fleet within maxSpreadTime, although
// all watches are silent and a zone is cut off from the platform.
func TestChangeIsInForceOnALargeFleet(t *testing.T) {
	inFleet(t, 7*time.Millisecond, func(c *cluster) {
		ids := c.ids()
		c.fake.SetFaults(fakekv.Faults{SilentWatches: true})
		c.setDisconnected(true, ids[fleetVMs-fleetDisconnected:]...)
		c.mustSet(ids[0], "site.weight", "2")
		began := time.Now()
		for len(c.vmsWithout("site.weight", "2")) > 0 && time.Since(began) < maxSpreadTime {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("in force on %d VMs after %s", fleetVMs, time.Since(began))
		assert.Equal(c.t, len(c.vmsWithout("site.weight", "2")), 0)
	})
}

// maxRestoreTxns is the maximum number of transactions with which a large fleet
// restores a platform that came back with older data, if each call takes 20 ms
// and all VMs poll at the same time.
const maxRestoreTxns = 60

func TestLargeFleetRestoresAPlatformWithFewCalls(t *testing.T) {
	inFleet(t, 0, func(c *cluster) {
		c.fake.Save()
		c.mustSet("e000", "site.weight", "2")
		time.Sleep(2 * time.Second)
		c.fake.SetFaults(fakekv.Faults{Delay: 20 * time.Millisecond})
		before := c.fake.Counts()
		c.fake.Restore()
		time.Sleep(maxSpreadTime)
		loaded, err := c.vms["e001"].store.Load(c.ctx)
		assert.NilError(c.t, err)
		assert.Equal(c.t, loaded.Version, int64(1))
		assert.Equal(c.t, len(c.vmsWithout("site.weight", "2")), 0)
		after := c.fake.Counts()
		t.Logf("restored with %d transactions and %d reads in %s", after.Txns-before.Txns, after.Reads-before.Reads, maxSpreadTime)
		assert.Assert(c.t, after.Txns-before.Txns <= maxRestoreTxns)
	})
}

// inFleet runs a test in a synctest bubble with a large fleet whose VMs are started
// one after another, startInterval apart.
func inFleet(t *testing.T, startInterval time.Duration, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for i := range fleetVMs {
			c.start(call.VMID(fmt.Sprintf("e%03d", i)))
			time.Sleep(startInterval)
		}
		time.Sleep(3 * time.Second)
		test(c)
		for _, id := range c.ids() {
			c.stop(id)
		}
		synctest.Wait()
	})
}

// vmsWithout returns the VMs on which the value is not in force.
func (c *cluster) vmsWithout(path, want string) []call.VMID {
	var ids []call.VMID
	for id, v := range c.vms {
		if value(v.Current().Tree, path) != want {
			ids = append(ids, id)
		}
	}
	return ids
}
