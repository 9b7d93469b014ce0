package node

import (
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/core/route"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
)

// fleet is what this VM knows of the others.
type fleet struct {
	self call.VMID
	view *member.View
	now  func() time.Time
	log  logrus.FieldLogger
	// mu guards what refresh has found.
	mu       sync.Mutex
	known    []peer.Peer
	byZone   map[call.Zone][]peer.Peer
	backends route.Replicas
	vms      int
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
	reason := f.view.SetList(f.now(), vms)
	f.log.WithFields(logrus.Fields{"event": "vmList", "vms": len(vms), "reason": reason}).Debug("list of VMs")
	f.refresh(f.now())
}

// refresh judges all VMs anew.
func (f *fleet) refresh(now time.Time) {
	entries := f.view.Verdicts(now, member.RoleEntry)
	backends := append(toReplicas(f.view.Usable(now, member.RoleEngine)), toReplicas(f.view.Usable(now, member.RoleService))...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = f.toPeers(entries)
	f.byZone = f.toZones(entries)
	f.backends = backends
	f.vms = len(entries.UsableVMs())
}

// toPeers leaves out this VM, but not silent ones: they are asked until they
// answer again.
func (f *fleet) toPeers(entries member.Verdicts) []peer.Peer {
	var out []peer.Peer
	for _, v := range entries {
		reachable := v.VM.PeerAddress.IsValid() && !v.VM.PeerAddress.Addr().IsUnspecified()
		if v.VM.ID != f.self && v.Reason != member.ReasonGone && reachable {
			out = append(out, peer.Peer{ID: v.VM.ID, Address: v.VM.PeerAddress})
		}
	}
	return out
}

func toReplicas(vms member.VMs) route.Replicas {
	out := make(route.Replicas, 0, len(vms))
	for _, vm := range vms {
		out = append(out, route.Replica{ID: call.ReplicaID(vm.ID), Zone: vm.Zone, Address: vm.Address, Models: vm.Models})
	}
	return out
}

// peers returns the other entry VMs.
func (f *fleet) peers() []peer.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// replicas returns the backend servers that may get new work.
func (f *fleet) replicas() route.Replicas {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends
}

// entries returns the number of entry VMs that serve.
func (f *fleet) entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms
}

// unusable returns the VMs that get no new work.
func (f *fleet) unusable() Unusables {
	out := Unusables{}
	for _, role := range []member.Role{member.RoleEntry, member.RoleEngine, member.RoleService} {
		for _, v := range f.view.Verdicts(f.now(), role) {
			if !v.Usable {
				out = append(out, Unusable{VM: v.VM.ID, Reason: v.Reason})
			}
		}
	}
	return out
}

// silent returns the backend servers that do not answer.
func (f *fleet) silent() route.Replicas {
	var silent member.VMs
	for _, role := range []member.Role{member.RoleEngine, member.RoleService} {
		for _, v := range f.view.Verdicts(f.now(), role) {
			if v.Reason == member.ReasonSilent || v.Reason == member.ReasonSuspected {
				silent = append(silent, v.VM)
			}
		}
	}
	return toReplicas(silent)
}

// zones returns the usable entry VMs of each zone, this one included.
func (f *fleet) zones() map[call.Zone][]peer.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byZone
}

func (f *fleet) toZones(entries member.Verdicts) map[call.Zone][]peer.Peer {
	out := map[call.Zone][]peer.Peer{}
	for _, v := range entries {
		if v.Usable || v.VM.ID == f.self {
			out[v.VM.Zone] = append(out[v.VM.Zone], peer.Peer{ID: v.VM.ID, Address: v.VM.PeerAddress})
		}
	}
	return out
}
