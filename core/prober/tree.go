package prober

import (
	"slices"

	"gentianwell/core/call"
)

// treeFanout is how many VMs a VM tells of a read.
const treeFanout = 8

// Children returns the VMs to which a VM passes on that another one, or itself, has made a read, so that
// each VM hears of it from one other. vms holds all known VMs. The tree differs from one turn to the next:
// a VM that stands still does not cut off the same ones each time.
func Children(vms []call.VMID, reader, self call.VMID, turn uint64) []call.VMID {
	others := slices.DeleteFunc(slices.Clone(vms), func(id call.VMID) bool { return id == reader })
	if !slices.IsSorted(others) {
		slices.Sort(others)
	}
	n := len(others)
	if n == 0 {
		return nil
	}
	start := int(turn % uint64(n))
	// The reader has the place 0, the others those from 1 on.
	place := 0
	if self != reader {
		i, known := slices.BinarySearch(others, self)
		if !known {
			return nil
		}
		place = 1 + (i-start+n)%n
	}
	var out []call.VMID
	for child := place*treeFanout + 1; child <= min(n, (place+1)*treeFanout); child++ {
		out = append(out, others[(child-1+start)%n])
	}
	return out
}
