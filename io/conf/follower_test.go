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

// bound is the time within which a change has to be in force everywhere.
const bound = 11 * time.Second

var three = []call.VMID{"e1", "e2", "e3"}

// inWorld runs a test in a bubble with three VMs that have version 1 in force.
func inWorld(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for _, id := range three {
			w.start(id)
		}
		time.Sleep(3 * time.Second)
		w.mustSet("e1", "site.weight", "1")
		time.Sleep(bound)
		w.inForce("site.weight", "1")
		test(w)
		w.neverDown()
		for _, id := range w.ids() {
			w.stop(id)
		}
		synctest.Wait()
	})
}

func TestChangeIsInForceByWatch(t *testing.T) {
	inWorld(t, func(w *world) {
		w.mustSet("e2", "site.weight", "2")
		time.Sleep(100 * time.Millisecond)
		w.inForce("site.weight", "2")
	})
}

func TestChangeIsInForceWhereTheWatchIsSilent(t *testing.T) {
	inWorld(t, func(w *world) {
		w.isolate(true, "e3")
		w.fake.SetFaults(fakekv.Faults{SilentWatches: true})
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(defaultPollInterval + time.Second)
		w.inForce("site.weight", "2")
	})
}

func TestChangeIsInForceWhereTheWatchLosesEvents(t *testing.T) {
	inWorld(t, func(w *world) {
		w.isolate(true, three...)
		w.lose("e3")
		w.mustSet("e1", "classes.plot", `{"tier": 0}`)
		time.Sleep(100 * time.Millisecond)
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		w.inForce("site.weight", "2")
		w.inForce("classes.plot.tier", "0")
	})
}

func TestChangeReachesAVMThatIsCutOff(t *testing.T) {
	inWorld(t, func(w *world) {
		w.cutOff(true, "e3")
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(3 * time.Second)
		w.inForce("site.weight", "2")
	})
}

func TestOlderPlatformIsRestored(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fake.Save()
		w.mustSet("e1", "site.weight", "2")
		w.mustSet("e1", "site.tier", "3")
		time.Sleep(time.Second)
		w.fake.Restore()
		time.Sleep(bound)
		w.inForce("site.weight", "2")
		loaded, err := w.vms["e2"].store.Load(w.ctx)
		assert.NilError(w.t, err)
		assert.Equal(w.t, loaded.Version, int64(3))
		assert.Equal(w.t, value(loaded.Tree, "site.tier"), "3")
		assert.Equal(w.t, len(loaded.stale), 0)
	})
}

func TestEmptiedPlatformIsRestored(t *testing.T) {
	inWorld(t, func(w *world) {
		var ops []kvs.Op
		snap, err := w.fake.Service().List(w.ctx, "gentianwell/")
		assert.NilError(w.t, err)
		for _, e := range snap.Entries {
			ops = append(ops, kvs.Delete(e.Key))
		}
		_, err = w.fake.Service().Transact(w.ctx, kvs.Txn{Then: ops})
		assert.NilError(w.t, err)
		time.Sleep(bound)
		w.inForce("site.weight", "1")
		w.mustSet("e3", "site.weight", "2")
		time.Sleep(time.Second)
		w.inForce("site.weight", "2")
	})
}

// A platform that came back older accepts a change from a fresh VM that was
// told nothing: both histories have to be kept.
func TestChangeOnAnOlderPlatformIsMerged(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fake.Save()
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		w.cutOff(true, three...)
		w.fake.Restore()
		w.isolate(true, "e4")
		w.start("e4")
		time.Sleep(3 * time.Second)
		w.mustSet("e4", "site.tier", "1")
		w.mustSet("e4", "classes.plot", `{"tier": 0}`)
		w.cutOff(false, three...)
		time.Sleep(bound + 2*time.Second)
		w.inForce("site.weight", "2")
		w.inForce("site.tier", "1")
		w.inForce("classes.plot.tier", "0")
	})
}

func TestOperatorIsRefusedOnAnOlderPlatform(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fake.Save()
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		w.fake.Restore()
		_, err := w.vms["e1"].Submit(w.ctx, set("site.tier", "1"))
		assert.ErrorIs(w.t, err, ErrBehind)
		time.Sleep(bound)
		w.mustSet("e1", "site.tier", "1")
	})
}

func TestRestartInAnOutageTakesPeersSettings(t *testing.T) {
	inWorld(t, func(w *world) {
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		w.fake.SetFaults(fakekv.Faults{Outage: true})
		w.stop("e3")
		fresh := w.start("e3")
		assert.Assert(w.t, !fresh.Ready())
		time.Sleep(3 * time.Second)
		assert.Assert(w.t, fresh.Ready())
		w.inForce("site.weight", "2")
	})
}

// A fresh VM must not put an older platform's settings into force when a peer
// has newer ones.
func TestRestartWithAnOlderPlatform(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fake.Save()
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(time.Second)
		w.cutOff(true, "e1", "e2")
		w.stop("e3")
		w.fake.Restore()
		fresh := w.start("e3")
		time.Sleep(5 * time.Second)
		fresh.mu.Lock()
		first := fresh.heads[0].Version
		fresh.mu.Unlock()
		assert.Equal(w.t, first, int64(2))
	})
}

// A platform that answers after longer than a read's first timeout is waited for.
func TestSlowPlatformIsWaitedFor(t *testing.T) {
	inWorld(t, func(w *world) {
		w.fake.SetFaults(fakekv.Faults{Delay: 3 * time.Second})
		w.isolate(true, "e3")
		w.stop("e3")
		fresh := w.start("e3")
		time.Sleep(20 * time.Second)
		assert.Assert(w.t, fresh.Ready())
		w.mustSet("e1", "site.weight", "2")
		time.Sleep(bound)
		w.inForce("site.weight", "2")
	})
}

// Damaged keys are neither taken over nor written over, as a newer program may
// have written them. Without its head the tree is restored.
func TestDamagedKeysChangeNothing(t *testing.T) {
	tests := []struct{ key, value string }{
		{HeadKey, "{"},
		{HeadKey, `{"version": -1}`},
		{branchKey(firstGeneration, tree.Branch{Kind: tree.KindSite}), `{"weihgt": 1}`},
	}
	for _, test := range tests {
		inWorld(t, func(w *world) {
			w.fake.Put(test.key, []byte(test.value))
			time.Sleep(bound)
			w.inForce("site.weight", "1")
			_, err := w.vms["e1"].Submit(w.ctx, set("site.weight", "2"))
			assert.ErrorIs(w.t, err, ErrDamaged)
			found, err := w.fake.Service().Get(w.ctx, test.key)
			assert.NilError(w.t, err)
			assert.Equal(w.t, string(found.Entry.Value), test.value)

			_, err = w.fake.Service().Transact(w.ctx, kvs.Txn{Then: []kvs.Op{kvs.Delete(HeadKey)}})
			assert.NilError(w.t, err)
			time.Sleep(bound)
			w.mustSet("e1", "site.weight", "2")
			time.Sleep(time.Second)
			w.inForce("site.weight", "2")
		})
	}
}
