package entry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/prober"
	"gentianwell/core/spread"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
)

const (
	// kindProbe is the kind of the items that mark a message as a notice of a read. They are neither kept
	// nor spread.
	kindProbe spread.Kind = "probe"
	// kindRead is the kind of the items that tell of the last read of each VM. Gossip spreads them to the
	// VMs that miss a notice.
	kindRead spread.Kind = "read"
	// readTTL is how long such an item is kept. What is left of it tells when the read began, whatever
	// the clocks show.
	readTTL = 4 * time.Second
)

// readItem is the value of an item of kindRead.
type readItem struct {
	// Changed has the prefixes whose copies the VM knows to have been complete when the read began, with
	// the revision of the newest change of each.
	Changed map[string]kvs.Revision `json:"changed"`
	// Version is that of the configuration in force on the VM.
	Version int64 `json:"version"`
	// GossipOnly is true if no notices tell of the read.
	GossipOnly bool `json:"gossipOnly,omitempty"`
}

// readsConfig configures reads. All fields are required.
type readsConfig struct {
	self call.VMID
	// peers returns the other VMs, items is the store of what gossip spreads.
	peers func() []peer.Peer
	items *spread.Store
	// notify sends a VM a notice.
	notify func(now time.Time, to peer.Peer, items spread.Items) error
	// ahead returns how far the clock of a VM is ahead of this VM's.
	ahead func(call.VMID) time.Duration
	// version returns the version of the configuration in force, configPrefix is its prefix in the store.
	version      func() int64
	configPrefix string
	// mirror returns the mirror of a prefix, nil if there is none.
	mirror func(prefix string) *mirror.Mirror
	// heard is called when a read was heard of, missing when it showed a change that the own copy lacks.
	heard   func(at time.Time)
	missing func(m *mirror.Mirror, changed kvs.Revision)
	now     func() time.Time
	log     logrus.FieldLogger
}

// reads tells the other VMs of the reads of the store's revision that this VM makes, and takes what they
// tell. So each VM knows how old its copies are.
type reads struct {
	readsConfig

	mu sync.Mutex
	// telling holds the VMs to which a notice is under way.
	telling map[call.VMID]bool
	// newest is the newest read that this VM made or heard of, and whose it was.
	newest   time.Time
	newestOf call.VMID
	// newestOther is the newest read of another VM that was news when this VM heard of it.
	newestOther time.Time
}

func newReads(c readsConfig) *reads {
	return &reads{readsConfig: c, telling: map[call.VMID]bool{}}
}

// tell tells the other VMs of a read of this VM and of the mirrors that were complete when it began, by
// notices and gossip or by gossip only. It does not wait for them.
func (r *reads) tell(began time.Time, mirrors []*mirror.Mirror, gossipOnly bool) {
	value := readItem{Changed: map[string]kvs.Revision{}, Version: r.version(), GossipOnly: gossipOnly}
	for _, m := range mirrors {
		if m.Watching() && !m.CompleteAt().Before(began) {
			value.Changed[m.Prefix()] = m.Changed()
		}
	}
	raw, err := json.Marshal(value)
	if err != nil {
		r.log.WithFields(logrus.Fields{"event": "read"}).WithError(err).Error("encoding what is told of a read failed")
		return
	}
	now := r.now()
	id := spread.ID{Kind: kindRead, Key: string(r.self)}
	kept, _ := r.items.Get(now, id)
	item := spread.Item{ID: id, Version: max(kept.Version+1, uint64(now.UnixMilli())), Value: raw, Expires: now.Add(readTTL - time.Since(began))}
	r.items.Put(now, item)
	r.note(r.self, began)
	if !gossipOnly {
		r.pass(now, item)
	}
}

// note records a read and reports whether it is the newest.
func (r *reads) note(reader call.VMID, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !at.After(r.newest) {
		return false
	}
	r.newest, r.newestOf = at, reader
	if reader != r.self {
		r.newestOther = at
	}
	return true
}

// pass sends a notice of a read to the VMs that are this VM's turn. It leaves out those that have not
// answered the last one yet.
func (r *reads) pass(now time.Time, item spread.Item) {
	peers := r.peers()
	ids := make([]call.VMID, 0, len(peers)+1)
	byID := make(map[call.VMID]peer.Peer, len(peers))
	for _, p := range peers {
		ids, byID[p.ID] = append(ids, p.ID), p
	}
	reader := call.VMID(item.Key)
	message := spread.Items{{ID: spread.ID{Kind: kindProbe, Key: item.Key}, Version: item.Version, Expires: now.Add(probeTimeout)}, item}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range prober.Children(append(ids, r.self), reader, r.self, item.Version) {
		if r.telling[id] || id == r.self {
			continue
		}
		r.telling[id] = true
		go r.tellOne(now, byID[id], message)
	}
}

func (r *reads) tellOne(now time.Time, to peer.Peer, message spread.Items) {
	if err := r.notify(now, to, message); err != nil {
		r.log.WithFields(logrus.Fields{"event": "read", "peer": to.ID}).WithError(err).Debug("a VM was not told of a read of the store's revision")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.telling, to.ID)
}

// receiveProbe takes the mark of a notice, which tells by the reader's clock when the read was made. VMs of
// an earlier version send nothing else.
func (r *reads) receiveProbe(now time.Time, item spread.Item) {
	id := call.VMID(item.Key)
	if id == r.self {
		return
	}
	r.heard(now.Add(-max(0, now.Sub(time.UnixMilli(int64(item.Version)).Add(-r.ahead(id))))))
}

// received makes the items of a message that was long under way older by that time.
func (r *reads) received(now time.Time, from call.VMID, sent time.Time, items spread.Items) spread.Items {
	delay := now.Sub(sent.Add(-r.ahead(from)))
	if delay <= 0 {
		return items
	}
	for i, item := range items {
		if item.Kind == kindRead {
			items[i].Expires = item.Expires.Add(-delay)
		}
	}
	return items
}

// apply takes what another VM tells of its last read, and passes it on if it is newer than all others.
func (r *reads) apply(now time.Time, item spread.Item) {
	var value readItem
	reader := call.VMID(item.Key)
	if err := json.Unmarshal(item.Value, &value); err != nil {
		r.log.WithFields(logrus.Fields{"event": "peerItem", "peer": reader}).WithError(err).Warn("what a VM tells of a read is not valid JSON")
		return
	}
	if reader == r.self {
		return
	}
	at := item.Expires.Add(-readTTL)
	r.heard(at)
	for prefix, changed := range value.Changed {
		m := r.mirror(prefix)
		switch {
		case m == nil || !m.Watching():
			continue
		case m.Revision() >= changed || prefix == r.configPrefix && r.version() >= value.Version:
			m.Confirm(at)
		}
		r.missing(m, changed)
	}
	// A comparison that took longer is told of with the time of its read.
	if newest := r.note(reader, at); !value.GossipOnly && (newest || now.Sub(at) < probeTimeout) {
		r.pass(now, item)
	}
}

// heardOther returns how old the newest read of another VM was at a time.
func (r *reads) heardOther(at time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return at.Sub(r.newestOther)
}

// lastHeard returns whose read this VM has heard of last, or made, and how long ago it was.
func (r *reads) lastHeard(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest.IsZero() {
		return "none"
	}
	return string(r.newestOf) + " " + now.Sub(r.newest).Round(time.Millisecond).String() + " ago"
}

// age returns how long ago the last read was made of which this VM has heard, zero before the first.
func (r *reads) age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest.IsZero() {
		return 0
	}
	return now.Sub(r.newest)
}
