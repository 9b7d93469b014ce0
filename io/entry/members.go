package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/io/peer"
)

// kindVM is the kind of gossip items by which entry VMs make themselves known: the
// address for other VMs.
const kindVM spread.Kind = "vm"

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

	mu sync.Mutex
	// silent is true for peers whose last call failed.
	silent map[call.VMID]bool
	// contacted is when any peer last answered.
	contacted time.Time
}

// announce renews this VM's own item.
func (m *members) announce(now time.Time) {
	m.store.Put(now, spread.Item{
		ID: spread.ID{Kind: kindVM, Key: string(m.self)}, Version: uint64(now.UnixMilli()),
		Value: []byte(m.address.String()), Expires: now.Add(aliveFor),
	})
}

// peers returns the other VMs.
func (m *members) peers() []peer.Peer {
	var out []peer.Peer
	for _, item := range m.store.All(m.now(), kindVM) {
		address, err := netip.ParseAddrPort(string(item.Value))
		if err != nil {
			m.log.WithFields(logrus.Fields{"event": "peer", "peer": item.Key}).WithError(err).Warn("address of a VM cannot be read")
			continue
		}
		if id := call.VMID(item.Key); id != m.self {
			out = append(out, peer.Peer{ID: id, Address: address})
		}
	}
	slices.SortFunc(out, func(a, b peer.Peer) int { return cmp.Compare(a.ID, b.ID) })
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
func (m *members) contact(now time.Time, c peer.Contact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Err == nil {
		m.contacted = now
	}
	if was := m.silent[c.Peer.ID]; was != (c.Err != nil) && c.Peer.ID != "" {
		m.silent[c.Peer.ID] = c.Err != nil
		entry := m.log.WithFields(logrus.Fields{"event": "peer", "peer": c.Peer.ID, "address": c.Peer.Address})
		if c.Err != nil {
			entry.WithError(c.Err).Warn("VM does not answer")
		} else {
			entry.Info("VM answers again")
		}
	}
}

// inTouch reports whether a peer has answered within a time.
func (m *members) inTouch(now time.Time, within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.contacted.IsZero() && now.Sub(m.contacted) < within
}
