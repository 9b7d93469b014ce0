// Package member keeps track of the VMs and decides which of them may get new
// work. It combines the platform's list, which lags, the VMs' own statements and
// whether they answer heartbeats.
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
// A View combines the sources:
//
//	v, err := member.New(member.Config{Zone: "sala"})
//	v.SetList(now, list)                           // the platform's list, each time it is read
//	v.ApplyStatement(now, statement)               // a VM's own statement, received by gossip
//	v.Answered(now, "e2", member.StateLive)        // heartbeats and health checks
//	v.Missed(now, "e3")                            //
//	v.ApplyOpinion(now, opinion)                   // other VMs' missed heartbeats
//	for _, vm := range v.Usable(now, member.RoleEngine) {
//		// may get new work
//	}
//
// A VM that says that it is leaving gets no new work once ApplyStatement or
// Answered is called, whatever the list says; a silent VM gets none after
// MissesToSilence missed heartbeats or SilentAfter. A newer incarnation means that
// the VM was restarted. A Self makes the local VM's statements, and View.Opinions
// returns its opinions.
package member

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// ListPrefix is the key prefix of the platform's list. Each VM has one key, which
// is the prefix followed by the VM's ID; the value is a VM as JSON.
const ListPrefix = "platform/vms/"

// Role is the kind of work that a VM does.
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

// The states. A leaving VM finishes its current work and gets no new work.
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
	// Models are the models, or the plain service, that a backend server can
	// serve; backend servers only.
	Models []call.Model `json:"models,omitempty"`
	// ChecksOrders is true if the engine rejects outdated fencing tokens.
	ChecksOrders bool  `json:"checksOrders,omitempty"`
	State        State `json:"state"`
}

// VMs is the platform's list.
type VMs []VM

// ParseVM reads a VM from JSON.
//
// Errors: NotValid, with the name of the field.
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

// Validate checks the required fields.
func (v VM) Validate() error {
	switch {
	case v.ID == "":
		return errors.NotValidf("VM.Validate: empty id")
	case v.Role != RoleEntry && v.Role != RoleEngine && v.Role != RoleService:
		return errors.NotValidf("VM.Validate: %s: role %q, allowed %q, %q or %q", v.ID, v.Role, RoleEntry, RoleEngine, RoleService)
	case v.State != StateLive && v.State != StateLeaving:
		return errors.NotValidf("VM.Validate: %s: state %q, allowed %q or %q", v.ID, v.State, StateLive, StateLeaving)
	case !v.Address.IsValid():
		return errors.NotValidf("VM.Validate: %s: no address", v.ID)
	}
	return nil
}
