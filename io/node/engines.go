package node

import (
	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/io/back"
)

// engines returns the engines except those that the platform's list no longer has.
// Their state is leaving if the list or the engine itself says so.
func (f *fleet) engines() member.VMs {
	var out member.VMs
	for _, v := range f.view.Verdicts(f.now(), member.RoleEngine) {
		switch v.Reason {
		case member.ReasonGone:
			continue
		case member.ReasonListLeaving, member.ReasonSaysLeaving:
			v.VM.State = member.StateLeaving
		}
		out = append(out, v.VM)
	}
	return out
}

// target returns the address to which an engine's orders are sent.
func (f *fleet) target(id call.ReplicaID) (back.Target, bool) {
	for _, vm := range f.engines() {
		if call.ReplicaID(vm.ID) == id {
			return back.Target{ID: id, Address: vm.Address}, true
		}
	}
	return back.Target{}, false
}
