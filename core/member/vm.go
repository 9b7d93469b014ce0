// Package member keeps the view of the VMs that exist: which of them may get
// new work, judged by the platform's lagging list, by what the VMs say
// themselves and by whether they answer.
//
// # Usage
//
// The platform's list is read as VM values:
//
//	vm, err := member.ParseVM(value)
//	if err != nil {
//		return errors.Trace(err)
//	}
//
// A View puts the sources together:
//
//	v, err := member.New(member.Config{Zone: "sala"})
//	v.SetList(now, list)                           // the platform's, each time it is read
//	v.ApplyStatement(now, statement)               // what a VM says itself, by gossip
//	v.Answered(now, "e2", member.StateLive)        // heartbeats and health checks
//	v.Missed(now, "e3")                            //
//	v.ApplyOpinion(now, opinion)                   // other VMs' missed heartbeats
//	for _, vm := range v.Usable(now, member.RoleEngine) {
//		// may get new work
//	}
//
// A VM that says that it leaves gets no new work from the call of ApplyStatement or
// Answered on, whatever the list says; a silent one after MissesToSilence missed
// heartbeats or SilentAfter. A newer incarnation is a new start. The own
// statements come from a Self, the own opinions from View.Opinions.
package member

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// ListPrefix is the prefix of the platform's list: one key for each VM, ended by
// the VM's id, with a VM in JSON as its value.
const ListPrefix = "platform/vms/"

// Role is what a VM does.
type Role string

// The roles: an entry VM, a backend server with a model engine, a backend
// server with a plain service.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is a VM's state.
type State string

// The states. A leaving VM finishes what it has and gets no new work.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	ID   call.VMID `json:"id"`
	Zone call.Zone `json:"zone"`
	Role Role      `json:"role"`
	// Address is where callers (entry) or entry VMs (backend server) connect.
	Address netip.AddrPort `json:"address"`
	// PeerAddress is where other entry VMs connect; entry VMs only.
	PeerAddress netip.AddrPort `json:"peerAddress,omitzero"`
	// Models are the models or the plain service it can serve; backend servers only.
	Models []call.Model `json:"models,omitempty"`
	// ChecksOrders is true where the engine refuses old fencing numbers.
	ChecksOrders bool  `json:"checksOrders,omitempty"`
	State        State `json:"state"`
}

// VMs is the platform's list.
type VMs []VM

// ParseVM reads a VM from JSON.
//
// Errors: NotValid with the field.
func ParseVM(value []byte) (VM, error) {
	var vm VM
	if err := json.Unmarshal(value, &vm); err != nil {
		return VM{}, errors.NewNotValid(err, "ParseVM")
	}
	if err := vm.Validate(); err != nil {
		return VM{}, errors.Trace(err)
	}
	return vm, nil
}

// Validate checks that all needed fields are there.
func (v VM) Validate() error {
	switch {
	case v.ID == "":
		return errors.NotValidf("VM.Validate: empty id")
	case v.Role != RoleEntry && v.Role != RoleEngine && v.Role != RoleService:
		return errors.NotValidf("VM.Validate: %s: role %q", v.ID, v.Role)
	case v.State != StateLive && v.State != StateLeaving:
		return errors.NotValidf("VM.Validate: %s: state %q", v.ID, v.State)
	case !v.Address.IsValid():
		return errors.NotValidf("VM.Validate: %s: no address", v.ID)
	}
	return nil
}
