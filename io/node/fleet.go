package node

import (
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/core/route"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
)

// fleet is what the platform's list says of the VMs.
type fleet struct {
	self call.VMID
	log  logrus.FieldLogger
	mu   sync.Mutex
	vms  member.VMs
}

// set takes a new copy of the platform's list. An entry that cannot be read is
// left out and logged; the others count.
func (f *fleet) set(snap kvs.Snapshot) {
	var vms member.VMs
	for _, e := range snap.Entries {
		vm, err := member.ParseVM(e.Value)
		if err != nil || strings.TrimPrefix(e.Key, member.ListPrefix) != string(vm.ID) {
			f.log.WithFields(logrus.Fields{"event": "vmList", "key": e.Key, "cause": err}).Error("entry left out")
			continue
		}
		vms = append(vms, vm)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
}

// all returns the list.
func (f *fleet) all() member.VMs {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms
}

// peers returns the other entry VMs.
func (f *fleet) peers() []peer.Peer {
	var out []peer.Peer
	for _, vm := range f.all() {
		if vm.Role == member.RoleEntry && vm.ID != f.self && vm.PeerAddress.IsValid() {
			out = append(out, peer.Peer{ID: vm.ID, Address: vm.PeerAddress})
		}
	}
	return out
}

// replicas returns the backend servers that may get new work.
func (f *fleet) replicas(usable func(member.VM) bool) route.Replicas {
	var out route.Replicas
	for _, vm := range f.all() {
		if vm.Role == member.RoleEntry || !usable(vm) {
			continue
		}
		out = append(out, route.Replica{ID: call.ReplicaID(vm.ID), Zone: vm.Zone, Address: vm.Address, Models: vm.Models})
	}
	return out
}

// zones returns the live entry VMs of each zone, this one included.
func (f *fleet) zones() map[call.Zone][]peer.Peer {
	out := map[call.Zone][]peer.Peer{}
	for _, vm := range f.all() {
		if vm.Role == member.RoleEntry && (vm.State == member.StateLive || vm.ID == f.self) {
			out[vm.Zone] = append(out[vm.Zone], peer.Peer{ID: vm.ID, Address: vm.PeerAddress})
		}
	}
	return out
}
