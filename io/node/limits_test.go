package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/limit"
	"gentianwell/io/peer"
)

// TestMembersInAnyOrder: the same VMs, listed in another order, do not make the
// homes quiet.
func TestMembersInAnyOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	key := limit.TeamRequests("judges")
	vms := []peer.Peer{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	l, err := newLimits(&limits{
		self: limit.Owner(key, []call.VMID{"e1", "e2", "e3"}), zone: "sala", now: func() time.Time { return now },
		zones: func() map[call.Zone][]peer.Peer { return map[call.Zone][]peer.Peer{"sala": vms} },
	}, rand.New(rand.NewPCG(gwtest.Seed(), 0)))
	assert.NilError(t, err)
	l.values[key] = 100
	l.noteMembers(now, vms, vms)
	now = now.Add(limit.AllocatorDefaults().TTL)
	for range 5 {
		vms[0], vms[1], vms[2] = vms[1], vms[2], vms[0]
		l.noteMembers(now, vms, vms)
		assert.Equal(t, len(l.zoneHome.Report(now, "e1", limit.Demands{{Key: key, Wanted: 5}})), 1)
	}
	// A VM that comes takes no limit from its home but those that move to itself.
	l.noteMembers(now, append(vms, peer.Peer{ID: "e4"}), vms)
	assert.Equal(t, len(l.zoneHome.Report(now, "e1", limit.Demands{{Key: key, Wanted: 5}})), 1)
}
