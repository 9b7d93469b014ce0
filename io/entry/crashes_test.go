package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/poison"
	"gentianwell/core/spread"
)

// newCrashes returns the records of a VM that cannot read the store, and can only gossip.
func newCrashes(t *testing.T, vm call.VMID, now func() time.Time) *crashes {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	c := &crashes{
		items: spread.New(spread.Config{Self: vm, Rand: rand.New(rand.NewPCG(1, 2))}), storeUp: func() bool { return false }, now: now, log: log,
	}
	var err error
	c.registries.requests, err = poison.New(crashConfig(vm))
	assert.NilError(t, err)
	c.registries.parts, err = poison.New(partCrashConfig(Config{VM: vm}))
	assert.NilError(t, err)
	return c
}

// While the store is down, the records of all requests that were on crashed replicas filled
// the gossip items, and later crashes of a known request or part were not told any more.
func TestGossipOfCrashesWhenFull(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	a, b := newCrashes(t, "a", clock), newCrashes(t, "b", clock)
	const part poison.Fingerprint = 7
	crash := func(replica call.ReplicaID) {
		now = now.Add(time.Second)
		for i := range maxCrashItems {
			fp := poison.Fingerprint(now.Unix()*maxCrashItems + int64(i))
			a.registries.requests.Crashed(now, fp, replica, false)
			a.gossip(now, crashID{crashRequest, fp})
		}
		a.registries.parts.CrashedRun(now, part, poison.Crash{Replica: replica, Began: now.Add(-time.Millisecond), At: now})
		a.gossip(now, crashID{crashPart, part})
	}
	for _, replica := range []call.ReplicaID{"r1", "r2", "r3"} {
		crash(replica)
	}
	assert.Assert(t, len(a.items.All(now, kindCrash)) == maxCrashItems)
	for _, item := range a.items.All(now, kindPartCrash) {
		b.apply(now, item.Key, item.Value)
	}
	assert.Equal(t, len(b.registries.parts.RefusedParts(now, []poison.Fingerprint{part})), 1)
}
