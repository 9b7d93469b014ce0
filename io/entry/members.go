package entry

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/io/peer"
)

// kindVM is the kind of gossip items by which entry VMs make themselves known.
const kindVM spread.Kind = "vm"

// vmItem is what a VM tells of itself.
type vmItem struct {
	// Address is where other VMs connect.
	Address netip.AddrPort `json:"address"`
	// StoreLost is true while it cannot read the platform's store.
	StoreLost bool `json:"storeLost,omitempty"`
}

// member is another entry VM.
type member struct {
	peer.Peer
	storeLost bool
}

// aliveFor is how long a VM counts after its last word, aliveEvery how often it
// renews it.
const (
	aliveFor   = 12 * time.Second
	aliveEvery = 3 * time.Second
)

// members are the entry VMs that this one knows by gossip.
type members struct {
	self    call.VMID
	address netip.AddrPort
	store   *spread.Store
	now     func() time.Time
	log     logrus.FieldLogger
	// storeUp reports whether this VM can read the store.
	storeUp func() bool

	mu sync.Mutex
	// silent is true for peers whose last call failed.
	silent map[call.VMID]bool
	// contacted is when any peer last answered.
	contacted time.Time
}

// announce renews this VM's own item.
func (m *members) announce(now time.Time) {
	value, err := json.Marshal(vmItem{Address: m.address, StoreLost: !m.storeUp()})
	if err != nil {
		m.log.WithFields(logrus.Fields{"event": "announce"}).WithError(err).Error("this VM cannot make itself known")
		return
	}
	m.store.Put(now, spread.Item{
		ID: spread.ID{Kind: kindVM, Key: string(m.self)}, Version: uint64(now.UnixMilli()), Value: value, Expires: now.Add(aliveFor),
	})
}

// others returns the other VMs in the order of their ids.
func (m *members) others() []member {
	var out []member
	for _, item := range m.store.All(m.now(), kindVM) {
		if item.Key == string(m.self) {
			continue
		}
		var said vmItem
		if err := json.Unmarshal(item.Value, &said); err != nil {
			m.log.WithFields(logrus.Fields{"event": "peerItem", "peer": item.Key}).WithError(err).Warn("word of a VM cannot be read")
			continue
		}
		out = append(out, member{Peer: peer.Peer{ID: call.VMID(item.Key), Address: said.Address}, storeLost: said.StoreLost})
	}
	return out
}

// peers returns the other VMs as gossip knows them.
func (m *members) peers() []peer.Peer {
	others := m.others()
	out := make([]peer.Peer, 0, len(others))
	for _, other := range others {
		out = append(out, other.Peer)
	}
	return out
}

// count is how many VMs there are, this one included.
func (m *members) count() int { return len(m.peers()) + 1 }

// strangers returns the seeds that no known VM has as its address.
func (m *members) strangers(seeds []netip.AddrPort) []netip.AddrPort {
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

// contact notes how a call of a peer went.
func (m *members) contact(now time.Time, c peer.ExchangeResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Err == nil {
		m.contacted = now
	}
	if was := m.silent[c.Peer.ID]; was == (c.Err != nil) || c.Peer.ID == "" {
		return
	}
	m.silent[c.Peer.ID] = c.Err != nil
	if c.Err != nil {
		m.log.WithFields(logrus.Fields{"event": "peerLost", "peer": c.Peer.ID, "address": c.Peer.Address}).WithError(c.Err).Warn("VM does not answer")
		return
	}
	m.log.WithFields(logrus.Fields{"event": "peerRegained", "peer": c.Peer.ID, "address": c.Peer.Address}).Info("VM answers again")
}

// inTouch reports whether a peer has answered within a time.
func (m *members) inTouch(now time.Time, within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.contacted.IsZero() && now.Sub(m.contacted) < within
}

// isSilent reports whether the last call of a VM failed.
func (m *members) isSilent(vm call.VMID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silent[vm]
}
