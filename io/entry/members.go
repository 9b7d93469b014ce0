package entry

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/prober"
	"gentianwell/core/spread"
	"gentianwell/io/peer"
)

// kindVM is the kind of the gossip items with which entry VMs announce themselves.
const kindVM spread.Kind = "vm"

// vmItem is the value of the item with which a VM announces itself.
type vmItem struct {
	// Address is the VM's listen address for other VMs.
	Address netip.AddrPort `json:"address"`
	// Zone is the VM's availability zone.
	Zone call.Zone `json:"zone,omitempty"`
	// StoreLost is true while the VM cannot read the platform's store.
	StoreLost bool `json:"storeLost,omitempty"`
}

// member is another entry VM.
type member struct {
	peer.Peer
	zone      call.Zone
	storeLost bool
}

// memberTTL is how long a VM is listed after its last announcement, announceInterval how
// often it announces itself.
const (
	memberTTL        = 12 * time.Second
	announceInterval = 3 * time.Second
)

// members is the list of the entry VMs that this VM knows by gossip.
type members struct {
	self    call.VMID
	zone    call.Zone
	address netip.AddrPort
	items   *spread.Store
	now     func() time.Time
	log     logrus.FieldLogger
	// storeUp reports whether this VM can read the store.
	storeUp func() bool

	mu sync.Mutex
	// unreachable is true for a peer if the last exchange with it failed.
	unreachable map[call.VMID]bool
	// lastContact is the time when a peer last answered.
	lastContact time.Time
}

// announce puts this VM's item, with a new expiry, into the gossip store. Its version grows
// even if the clock has been set back since this VM, or its process before, announced itself.
func (m *members) announce(now time.Time) {
	value, err := json.Marshal(vmItem{Address: m.address, Zone: m.zone, StoreLost: !m.storeUp()})
	if err != nil {
		m.log.WithFields(logrus.Fields{"event": "announce"}).WithError(err).Error("encoding the announcement of this VM failed")
		return
	}
	id := spread.ID{Kind: kindVM, Key: string(m.self)}
	kept, _ := m.items.Get(now, id)
	m.items.Put(now, spread.Item{ID: id, Version: max(kept.Version+1, uint64(now.UnixMilli())), Value: value, Expires: now.Add(memberTTL)})
}

// others returns the other VMs, ordered by id.
func (m *members) others() []member {
	var out []member
	for _, item := range m.items.All(m.now(), kindVM) {
		if item.Key == string(m.self) {
			continue
		}
		var announced vmItem
		if err := json.Unmarshal(item.Value, &announced); err != nil {
			m.log.WithFields(logrus.Fields{"event": "peerItem", "peer": item.Key}).WithError(err).Warn("announcement of a VM is not valid JSON")
			continue
		}
		out = append(out, member{Peer: peer.Peer{ID: call.VMID(item.Key), Address: announced.Address}, zone: announced.Zone, storeLost: announced.StoreLost})
	}
	return out
}

// peers returns the other VMs, as gossip needs them.
func (m *members) peers() []peer.Peer {
	others := m.others()
	out := make([]peer.Peer, 0, len(others))
	for _, other := range others {
		out = append(out, other.Peer)
	}
	return out
}

// probers returns all known VMs, this one included, for the choice of those that probe.
func (m *members) probers() []prober.VM {
	out := []prober.VM{{ID: m.self, Zone: m.zone, CanRead: m.storeUp()}}
	for _, other := range m.others() {
		out = append(out, prober.VM{ID: other.ID, Zone: other.zone, CanRead: !other.storeLost, Unreachable: m.isUnreachable(other.ID)})
	}
	return out
}

// count returns the number of known VMs, including this one.
func (m *members) count() int { return len(m.peers()) + 1 }

// unknownSeeds returns the seeds that are not the address of a known VM.
func (m *members) unknownSeeds(seeds []netip.AddrPort) []netip.AddrPort {
	known := map[netip.AddrPort]bool{m.address: true}
	for _, p := range m.peers() {
		known[p.Address] = true
	}
	var out []netip.AddrPort
	for _, seed := range seeds {
		if !known[seed] {
			out = append(out, seed)
		}
	}
	return out
}

// exchangeDone records the result of an exchange with a peer.
func (m *members) exchangeDone(now time.Time, result peer.ExchangeResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if result.Err == nil {
		m.lastContact = now
	}
	if before := m.unreachable[result.Peer.ID]; before == (result.Err != nil) || result.Peer.ID == "" {
		return
	}
	m.unreachable[result.Peer.ID] = result.Err != nil
	if result.Err != nil {
		m.log.WithFields(logrus.Fields{"event": "peerLost", "peer": result.Peer.ID, "address": result.Peer.Address}).WithError(result.Err).Warn("exchange with a VM failed")
		return
	}
	m.log.WithFields(logrus.Fields{"event": "peerRegained", "peer": result.Peer.ID, "address": result.Peer.Address}).Info("exchange with a VM succeeded again")
}

// contactedWithin reports whether a peer has answered within the given time.
func (m *members) contactedWithin(now time.Time, within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lastContact.IsZero() && now.Sub(m.lastContact) < within
}

// isUnreachable reports whether the last exchange with a VM failed.
func (m *members) isUnreachable(vm call.VMID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable[vm]
}
