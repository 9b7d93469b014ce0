package reader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// PerZone is how many VMs of a zone are readers: with one of them gone, the others of the zone
// still hear from the other one.
const PerZone = 2

// VM is a VM as far as it matters for the choice of readers.
type VM struct {
	ID   call.VMID
	Zone call.Zone
	// CanRead is false if the VM has said that it cannot read the store.
	CanRead bool
	// Probes is true for the VMs that may compare the watches with the store.
	Probes bool
}

// Select returns the readers in the order of their ids: the VMs that may probe, and of each zone as
// many further VMs that can read the store as make PerZone, the first ones by a rendezvous hash.
func Select(vms []VM) []VM {
	byZone := map[call.Zone][]VM{}
	var out []VM
	for _, vm := range vms {
		if vm.Probes {
			out = append(out, vm)
		}
		if vm.CanRead {
			byZone[vm.Zone] = append(byZone[vm.Zone], vm)
		}
	}
	for _, zone := range byZone {
		slices.SortFunc(zone, func(a, b VM) int {
			return cmp.Or(compareProbes(a, b), cmp.Compare(weight(a.ID), weight(b.ID)), cmp.Compare(a.ID, b.ID))
		})
		out = append(out, zone[:min(PerZone, len(zone))]...)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b VM) bool { return a.ID == b.ID })
}

// compareProbes orders VMs that may probe before the others.
func compareProbes(a, b VM) int {
	switch {
	case a.Probes == b.Probes:
		return 0
	case a.Probes:
		return -1
	}
	return 1
}

func weight(vm call.VMID) uint64 { return xxhash.Sum64String("reader/" + string(vm)) }

// Listeners returns the VMs that a reader tells of changes: those of its own zone, those of zones
// without a reader, and all other readers, which pass a change on to their zones. It returns none
// if self is no reader.
func Listeners(self call.VMID, vms []VM) []call.VMID {
	readers := Select(vms)
	at := slices.IndexFunc(readers, func(vm VM) bool { return vm.ID == self })
	if at < 0 {
		return nil
	}
	isReader, hasReader := map[call.VMID]bool{}, map[call.Zone]bool{}
	for _, vm := range readers {
		isReader[vm.ID], hasReader[vm.Zone] = true, true
	}
	var out []call.VMID
	for _, vm := range vms {
		if vm.ID != self && (vm.Zone == readers[at].Zone || !hasReader[vm.Zone] || isReader[vm.ID]) {
			out = append(out, vm.ID)
		}
	}
	return out
}
