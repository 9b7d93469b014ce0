package prober

import (
	"cmp"
	"slices"

	"gentianwell/core/call"
)

// MaxProbers is how many VMs probe before all others may: two of them can be lost at a time at the cost
// of one step each.
const MaxProbers = 3

// VM is a VM as far as it matters for the choice of those that probe.
type VM struct {
	ID   call.VMID
	Zone call.Zone
	// CanRead is false if the VM has said that it cannot read the store, Unreachable is true if the
	// last exchange with it failed.
	CanRead, Unreachable bool
}

// Select returns the VMs that probe first, in their order: of those that can read the store and can be
// reached the one with the lowest id, and then the next ones, of zones without one first.
func Select(vms []VM) []call.VMID {
	able := slices.DeleteFunc(slices.Clone(vms), func(vm VM) bool { return !vm.CanRead || vm.Unreachable })
	slices.SortFunc(able, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	var out, sameZone []call.VMID
	zones := map[call.Zone]bool{}
	for _, vm := range able {
		if zones[vm.Zone] {
			sameZone = append(sameZone, vm.ID)
			continue
		}
		zones[vm.Zone] = true
		out = append(out, vm.ID)
	}
	out = append(out, sameZone...)
	return out[:min(MaxProbers, len(out))]
}
