package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// Every replica is in the subsets of enough VMs, and in large fleets no VM uses all
// replicas. The cases are the present and the planned fleet sizes.
func TestSubsetsCoverTheFleet(t *testing.T) {
	tests := []struct {
		vms, replicas, zones int
		minCover, maxSubset  int
	}{
		{9, 20, 3, 9, 20},
		{9, 600, 3, 1, 600},
		{100, 300, 7, 8, 90},
		{330, 600, 7, 8, 60},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%dx%d", tt.vms, tt.replicas), func(t *testing.T) {
			cover := map[call.ReplicaID]int{}
			list := newReplicas(tt.replicas, tt.zones)
			for vm := range tt.vms {
				subset := subsetOf(t, vm, tt.vms, tt.zones, list)
				assert.Assert(t, len(subset) <= tt.maxSubset, "subset of %d", len(subset))
				for _, id := range subset {
					cover[id]++
				}
			}
			for _, replica := range list {
				assert.Assert(t, cover[replica.ID] >= tt.minCover, "%s: %d VMs", replica.ID, cover[replica.ID])
			}
		})
	}
}

func subsetOf(t testing.TB, vm, vms, zones int, list Replicas) []call.ReplicaID {
	r := newRouter(t, Config{Self: call.VMID(fmt.Sprintf("e%d", vm)), Zone: call.Zone(fmt.Sprintf("z%d", vm%zones))})
	r.SetVMs(vms)
	r.SetReplicas(t0, list)
	return r.Subset("m")
}

// Removing a replica changes at most one place in a subset.
func TestSubsetIsStable(t *testing.T) {
	list := newReplicas(600, 7)
	before := subsetOf(t, 1, 330, 7, list)
	in := map[call.ReplicaID]bool{}
	for _, id := range before {
		in[id] = true
	}
	for i, replica := range list {
		if !in[replica.ID] {
			continue
		}
		after := subsetOf(t, 1, 330, 7, append(append(Replicas{}, list[:i]...), list[i+1:]...))
		added := 0
		for _, id := range after {
			if !in[id] {
				added++
			}
		}
		assert.Assert(t, added <= 1, "without %s: %d new", replica.ID, added)
	}
}
