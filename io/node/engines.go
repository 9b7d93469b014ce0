package node

import (
	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/io/back"
)

// engines returns the listed engines.
func (f *fleet) engines() member.VMs {
	var out member.VMs
	for _, vm := range f.all() {
		if vm.Role == member.RoleEngine {
			out = append(out, vm)
		}
	}
	return out
}

// target returns where a listed engine takes orders.
func (f *fleet) target(id call.ReplicaID) (back.Target, bool) {
	for _, vm := range f.engines() {
		if call.ReplicaID(vm.ID) == id {
			return back.Target{ID: id, Address: vm.Address}, true
		}
	}
	return back.Target{}, false
}
