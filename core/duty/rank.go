package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// Order returns VMs in the order in which they try to take the lease, by a rendezvous hash, so
// that all VMs agree on it as far as they know the same VMs.
func Order(vms []call.VMID) []call.VMID {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b call.VMID) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	return slices.Compact(out)
}

// Rank returns the position of a VM in the order of it and others.
func Rank(self call.VMID, others []call.VMID) int {
	rank, own := 0, weight(self)
	for _, vm := range others {
		if vm != self && cmp.Or(cmp.Compare(weight(vm), own), cmp.Compare(vm, self)) < 0 {
			rank++
		}
	}
	return rank
}

func weight(vm call.VMID) uint64 { return xxhash.Sum64String("duty/" + string(vm)) }
