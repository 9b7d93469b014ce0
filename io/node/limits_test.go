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

// The allocators stop granting for a TTL when the VMs that owners are chosen from
// change. The same VMs in another order are no such change.
func TestCandidatesInAnyOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	key := limit.TeamRequests("judges")
	vms := []peer.Peer{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	l, err := newLimits(&limits{
		self: limit.Owner(key, []call.VMID{"e1", "e2", "e3"}), zone: "sala", now: func() time.Time { return now },
		zones: func() map[call.Zone][]peer.Peer { return map[call.Zone][]peer.Peer{"sala": vms} },
	}, rand.New(rand.NewPCG(gwtest.Seed(), 0)))
	assert.NilError(t, err)
	l.values[key] = 100
	l.updateCandidates(now, vms, vms)
	now = now.Add(limit.AllocatorDefaults().TTL)
	for range 5 {
		vms[0], vms[1], vms[2] = vms[1], vms[2], vms[0]
		l.updateCandidates(now, vms, vms)
		assert.Equal(t, len(l.zoneAllocator.Report(now, "e1", limit.Demands{{Key: key, Wanted: 5}})), 1)
	}
	// A VM that joins takes over only the limits that it now owns; the others stay
	// with their owners, which go on granting.
	l.updateCandidates(now, append(vms, peer.Peer{ID: "e4"}), vms)
	assert.Equal(t, len(l.zoneAllocator.Report(now, "e1", limit.Demands{{Key: key, Wanted: 5}})), 1)
}
