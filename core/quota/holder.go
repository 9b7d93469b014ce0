package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// holders returns how many VMs hold a part of a limit.
func holders(limit, minShare float64, vms int) int {
	return max(1, int(min(float64(vms), limit/minShare)))
}

// isHolder reports whether a VM is among the first n of the order in which VMs hold a
// replica's limit: those of its zone before others, each by rendezvous hashing.
func isHolder(self call.VMID, vms []VM, replica Replica, n int) bool {
	type ranked struct {
		other bool
		hash  uint64
		id    call.VMID
	}
	compare := func(a, b ranked) int {
		switch {
		case a.other != b.other && b.other:
			return -1
		case a.other != b.other:
			return 1
		}
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	}
	order := make([]ranked, 0, len(vms))
	for _, vm := range vms {
		order = append(order, ranked{other: vm.Zone != replica.Zone, hash: xxhash.Sum64String(string(vm.ID) + "\x00" + string(replica.ID)), id: vm.ID})
	}
	slices.SortFunc(order, compare)
	return slices.ContainsFunc(order[:min(n, len(order))], func(r ranked) bool { return r.id == self })
}
