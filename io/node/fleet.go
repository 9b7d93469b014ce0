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

// fleet holds this VM's view of the other VMs.
type fleet struct {
	self call.VMID
	view *member.View
	now  func() time.Time
	log  logrus.FieldLogger
	// mu guards the fields below, which refresh sets.
	mu            sync.Mutex
	others        []peer.Peer
	byZone        map[call.Zone][]peer.Peer
	backends      route.Replicas
	usableEntries int
}

// setList applies a new copy of the platform's list. An entry that is not valid is
// logged and ignored; the others are applied.
func (f *fleet) setList(snap kvs.Snapshot) {
	var vms member.VMs
	for _, e := range snap.Entries {
		vm, err := member.ParseVM(e.Value)
		if err != nil || strings.TrimPrefix(e.Key, member.ListPrefix) != string(vm.ID) {
			f.log.WithFields(logrus.Fields{"event": "vmList", "key": e.Key, "cause": err}).Error("entry of the VM list is not valid; ignoring it")
			continue
		}
		vms = append(vms, vm)
	}
	result := f.view.SetList(f.now(), vms)
	f.log.WithFields(logrus.Fields{"event": "vmList", "vms": len(vms), "reason": result}).Debug("list of VMs received")
	f.refresh(f.now())
}

// refresh computes the peers, zones and backend servers from the verdicts at now.
func (f *fleet) refresh(now time.Time) {
	entries := f.view.Verdicts(now, member.RoleEntry)
	backends := append(toReplicas(f.view.Usable(now, member.RoleEngine)), toReplicas(f.view.Usable(now, member.RoleService))...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others = f.toPeers(entries)
	f.byZone = f.groupByZone(entries)
	f.backends = backends
	f.usableEntries = len(entries.UsableVMs())
}

// toPeers returns the other entry VMs that have a peer address, except those that
// the list no longer has. It includes silent VMs, which are contacted until they
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
	return f.others
}

// replicas returns the backend servers that may get new work.
func (f *fleet) replicas() route.Replicas {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends
}

// usableEntryCount returns the number of usable entry VMs.
func (f *fleet) usableEntryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usableEntries
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

// silentReplicas returns the backend servers that do not answer this VM, or that
// several other VMs report as silent. They are polled until they answer again.
func (f *fleet) silentReplicas() route.Replicas {
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

// zones returns the usable entry VMs of each zone. This VM is always included.
func (f *fleet) zones() map[call.Zone][]peer.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byZone
}

// groupByZone returns the usable entry VMs and this VM, by zone.
func (f *fleet) groupByZone(entries member.Verdicts) map[call.Zone][]peer.Peer {
	out := map[call.Zone][]peer.Peer{}
	for _, v := range entries {
		if v.Usable || v.VM.ID == f.self {
			out[v.VM.Zone] = append(out[v.VM.Zone], peer.Peer{ID: v.VM.ID, Address: v.VM.PeerAddress})
		}
	}
	return out
}
