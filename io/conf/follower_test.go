package conf

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// maxSpreadTime is the time within which a change has to be in force on all VMs.
const maxSpreadTime = 11 * time.Second

var vmIDs = []call.VMID{"e1", "e2", "e3"}

// inCluster runs a test in a synctest bubble with three VMs that have version 1 in
// force. It checks at the end that no VM has reverted to an older version.
func inCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for _, id := range vmIDs {
			c.start(id)
		}
		time.Sleep(3 * time.Second)
		c.mustSet("e1", "site.weight", "1")
		time.Sleep(maxSpreadTime)
		c.assertInForce("site.weight", "1")
		test(c)
		c.assertNeverReverted()
		for _, id := range c.ids() {
			c.stop(id)
		}
		synctest.Wait()
	})
}

func TestChangeIsInForceByWatch(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.mustSet("e2", "site.weight", "2")
		time.Sleep(100 * time.Millisecond)
		c.assertInForce("site.weight", "2")
	})
}

func TestChangeIsInForceWhereTheWatchIsSilent(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.setIsolated(true, "e3")
		c.fake.SetFaults(fakekv.Faults{SilentWatches: true})
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(defaultPollInterval + time.Second)
		c.assertInForce("site.weight", "2")
	})
}

func TestChangeIsInForceWhereTheWatchLosesEvents(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.setIsolated(true, vmIDs...)
		c.loseNextBatch("e3")
		c.mustSet("e1", "classes.plot", `{"tier": 0}`)
		time.Sleep(100 * time.Millisecond)
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		c.assertInForce("site.weight", "2")
		c.assertInForce("classes.plot.tier", "0")
	})
}

func TestChangeReachesAVMThatIsCutOff(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.setDisconnected(true, "e3")
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(3 * time.Second)
		c.assertInForce("site.weight", "2")
	})
}

func TestOlderPlatformIsRestored(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.fake.Save()
		c.mustSet("e1", "site.weight", "2")
		c.mustSet("e1", "site.tier", "3")
		time.Sleep(time.Second)
		c.fake.Restore()
		time.Sleep(maxSpreadTime)
		c.assertInForce("site.weight", "2")
		loaded, err := c.vms["e2"].store.Load(c.ctx)
		assert.NilError(c.t, err)
		assert.Equal(c.t, loaded.Version, int64(3))
		assert.Equal(c.t, value(loaded.Tree, "site.tier"), "3")
		assert.Equal(c.t, len(loaded.staleKeys), 0)
	})
}

func TestEmptiedPlatformIsRestored(t *testing.T) {
	inCluster(t, func(c *cluster) {
		var ops []kvs.Op
		snap, err := c.fake.Service().List(c.ctx, "gentianwell/")
		assert.NilError(c.t, err)
		for _, e := range snap.Entries {
			ops = append(ops, kvs.Delete(e.Key))
		}
		_, err = c.fake.Service().Transact(c.ctx, kvs.Txn{Then: ops})
		assert.NilError(c.t, err)
		time.Sleep(maxSpreadTime)
		c.assertInForce("site.weight", "1")
		c.mustSet("e3", "site.weight", "2")
		time.Sleep(time.Second)
		c.assertInForce("site.weight", "2")
	})
}

// A platform that came back with older data accepts a change through a new VM that
// knows no newer settings. The changes of both histories have to be kept.
func TestChangeOnAnOlderPlatformIsMerged(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.fake.Save()
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		c.setDisconnected(true, vmIDs...)
		c.fake.Restore()
		c.setIsolated(true, "e4")
		c.start("e4")
		time.Sleep(3 * time.Second)
		c.mustSet("e4", "site.tier", "1")
		c.mustSet("e4", "classes.plot", `{"tier": 0}`)
		c.setDisconnected(false, vmIDs...)
		time.Sleep(maxSpreadTime + 2*time.Second)
		c.assertInForce("site.weight", "2")
		c.assertInForce("site.tier", "1")
		c.assertInForce("classes.plot.tier", "0")
	})
}

func TestOperatorIsRefusedOnAnOlderPlatform(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.fake.Save()
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		c.fake.Restore()
		_, err := c.vms["e1"].Submit(c.ctx, set("site.tier", "1"))
		assert.ErrorIs(c.t, err, ErrBehind)
		time.Sleep(maxSpreadTime)
		c.mustSet("e1", "site.tier", "1")
	})
}

func TestRestartInAnOutageTakesPeersSettings(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		c.fake.SetFaults(fakekv.Faults{Outage: true})
		c.stop("e3")
		fresh := c.start("e3")
		assert.Assert(c.t, !fresh.Ready())
		time.Sleep(3 * time.Second)
		assert.Assert(c.t, fresh.Ready())
		c.assertInForce("site.weight", "2")
	})
}

// A restarted VM must not put the settings of a platform with older data into force
// if a peer has newer ones.
func TestRestartWithAnOlderPlatform(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.fake.Save()
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		c.setDisconnected(true, "e1", "e2")
		c.stop("e3")
		c.fake.Restore()
		fresh := c.start("e3")
		time.Sleep(5 * time.Second)
		fresh.mu.Lock()
		first := fresh.heads[0].Version
		fresh.mu.Unlock()
		assert.Equal(c.t, first, int64(2))
	})
}

// Settings are read from a platform that takes longer to respond than the initial
// ReadTimeout, because the timeout doubles with each failed read.
func TestSlowPlatformIsWaitedFor(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.fake.SetFaults(fakekv.Faults{Delay: 3 * time.Second})
		c.setIsolated(true, "e3")
		c.stop("e3")
		fresh := c.start("e3")
		time.Sleep(20 * time.Second)
		assert.Assert(c.t, fresh.Ready())
		c.mustSet("e1", "site.weight", "2")
		time.Sleep(maxSpreadTime)
		c.assertInForce("site.weight", "2")
	})
}

// Damaged keys are neither put into force nor overwritten, because a newer version
// of the program may have written them. Without the head the tree is restored.
func TestDamagedKeysChangeNothing(t *testing.T) {
	tests := []struct{ key, value string }{
		{HeadKey, "{"},
		{HeadKey, `{"version": -1}`},
		{branchKey(firstGeneration, tree.Branch{Kind: tree.KindSite}), `{"weihgt": 1}`},
	}
	for _, test := range tests {
		inCluster(t, func(c *cluster) {
			c.fake.Put(test.key, []byte(test.value))
			time.Sleep(maxSpreadTime)
			c.assertInForce("site.weight", "1")
			_, err := c.vms["e1"].Submit(c.ctx, set("site.weight", "2"))
			assert.ErrorIs(c.t, err, ErrDamaged)
			found, err := c.fake.Service().Get(c.ctx, test.key)
			assert.NilError(c.t, err)
			assert.Equal(c.t, string(found.Entry.Value), test.value)

			_, err = c.fake.Service().Transact(c.ctx, kvs.Txn{Then: []kvs.Op{kvs.Delete(HeadKey)}})
			assert.NilError(c.t, err)
			time.Sleep(maxSpreadTime)
			c.mustSet("e1", "site.weight", "2")
			time.Sleep(time.Second)
			c.assertInForce("site.weight", "2")
		})
	}
}
