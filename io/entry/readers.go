package entry

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/prober"
	"gentianwell/core/reader"
	"gentianwell/core/spread"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
)

// kindReader is the kind of the items with which a reader says up to which time its list of
// replicas was complete. They are sent to the VMs that do not watch, and not spread any further.
const kindReader spread.Kind = "reader"

const (
	// readerInterval is how often a VM decides whether it watches by itself: a small part of the
	// bound for a change.
	readerInterval = 100 * time.Millisecond
	// roleInterval is how often the readers are chosen from the known VMs.
	roleInterval = 500 * time.Millisecond
	// claimsPerAge is how many claims a reader sends within the age at which a list is too old,
	// so that with two readers several have to be lost before VMs watch by themselves.
	claimsPerAge = 3
	// digestTime is how long a digest serves for messages to several VMs.
	digestTime = 50 * time.Millisecond
	// maxKeptChanges limits the changes kept for VMs that have not acknowledged them. A VM that
	// misses older ones has another digest, and reads the list by itself.
	maxKeptChanges = 512
)

// readerItem is the value of an item of kindReader.
type readerItem struct {
	// CompleteMs is the time up to which the list was complete, by the reader's clock, in
	// milliseconds since 1970.
	CompleteMs int64  `json:"completeMs,omitempty"`
	Digest     uint64 `json:"digest,omitempty"`
	// Lost is true if the reader cannot read the store any more.
	Lost bool `json:"lost,omitempty"`
}

// replicaMirror is the mirror of the list of replicas.
type replicaMirror interface {
	Watching() bool
	Pause()
	Resume(completeAt time.Time)
	Confirm(at time.Time)
}

var _ replicaMirror = (*mirror.Mirror)(nil)

// readersConfig configures readers. All fields are required.
type readersConfig struct {
	self call.VMID
	zone call.Zone
	// maxAge is the age at which the list is too old.
	maxAge time.Duration
	// minVMs is the number of known VMs, this one included, from which there are readers.
	minVMs   int
	others   func() []member
	isProber func(time.Time) bool
	storeUp  func() bool
	// digest returns the digest of this VM's list.
	digest func() uint64
	notify func(time.Time, peer.Peer, spread.Items) error
	// ahead returns how far the clock of a VM is ahead of this VM's.
	ahead func(call.VMID) time.Duration
	now   func() time.Time
	log   logrus.FieldLogger
}

// listener is a VM that this reader tells of changes.
type listener struct {
	peer peer.Peer
	// acknowledged is the number of the last change that it has.
	acknowledged uint64
	// busy is true while a message is under way, again if another one is to follow it.
	busy, again bool
}

// readersStatus is what the metrics show.
type readersStatus struct {
	isReader bool
	decision reader.Decision
}

// readers lets this VM watch the list of replicas for others, or not at all while others do.
type readers struct {
	readersConfig
	// observe is called when this VM begins or ceases to watch by itself.
	observe func(watch bool, reason reader.Reason)

	mu       sync.Mutex
	mirror   replicaMirror
	watch    *reader.Watch
	decision reader.Decision
	vms      int
	// isReader and listeners are this VM's role as of rolesAt; claimed is when it last told all
	// listeners.
	isReader  bool
	listeners map[call.VMID]*listener
	rolesAt   time.Time
	claimed   time.Time
	// changes holds the latest changes, of which the last has the number lastChange.
	changes    spread.Items
	lastChange uint64
	// digestOf is the last digest, of the time digestAt and after the change digestChange.
	digestOf     uint64
	digestAt     time.Time
	digestChange uint64
}

func newReaders(c readersConfig) (*readers, error) {
	watch, err := reader.NewWatch(reader.Config{MaxAge: c.maxAge, MinVMs: c.minVMs})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &readers{
		readersConfig: c, watch: watch, observe: func(bool, reader.Reason) {}, listeners: map[call.VMID]*listener{},
		decision: reader.Decision{Watch: true, Reason: reader.ReasonFewVMs},
	}, nil
}

// setMirror sets the mirror that is paused and resumed.
func (r *readers) setMirror(m replicaMirror) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mirror = m
}

func (r *readers) status() readersStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return readersStatus{r.isReader, r.decision}
}

// tick chooses the readers anew if that is due, decides whether this VM watches, and tells the
// listeners of a reader up to which time its list is complete.
func (r *readers) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateRole(now)
	r.decide(now)
	if r.isReader && now.Sub(r.claimed) >= r.maxAge/claimsPerAge {
		r.tellAll(now)
	}
}

// storeChanged decides anew after the store was lost or regained. A reader that has lost it says so.
func (r *readers) storeChanged(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReader && !r.storeUp() {
		r.tellAll(now)
	}
	r.rolesAt = time.Time{}
	r.decide(now)
}

// distrust makes this VM read the list by itself, after an outage or a restore of the store.
func (r *readers) distrust(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.Forget()
	r.decide(now)
}

// updateRole chooses the readers from the known VMs; r.mu is held.
func (r *readers) updateRole(now time.Time) {
	if !r.rolesAt.IsZero() && now.Sub(r.rolesAt) < roleInterval && now.After(r.rolesAt) {
		return
	}
	r.rolesAt = now
	others := r.others()
	r.vms = len(others) + 1
	wasReader := r.isReader
	wanted := map[call.VMID]bool{}
	if r.isReader = false; r.vms >= r.minVMs {
		wanted = r.choose(now, others)
	}
	for _, other := range others {
		switch l := r.listeners[other.ID]; {
		case !wanted[other.ID]:
		case l == nil:
			r.listeners[other.ID] = &listener{peer: other.Peer, acknowledged: r.lastChange}
		default:
			l.peer = other.Peer
		}
	}
	for id := range r.listeners {
		if !wanted[id] {
			delete(r.listeners, id)
		}
	}
	if r.isReader != wasReader {
		r.log.WithFields(logrus.Fields{"event": "reader", "reader": r.isReader, "vms": r.vms, "listeners": len(r.listeners), "storeUp": r.storeUp()}).Info("role in watching the replicas changed")
	}
}

// choose sets isReader and returns this VM's listeners; r.mu is held. The VMs that may probe are known
// by what all VMs say of themselves, except for this VM, which may also probe since it cannot reach
// others.
func (r *readers) choose(now time.Time, others []member) map[call.VMID]bool {
	vms := []reader.VM{{ID: r.self, Zone: r.zone, CanRead: r.storeUp()}}
	for _, other := range others {
		vms = append(vms, reader.VM{ID: other.ID, Zone: other.zone, CanRead: !other.storeLost})
	}
	candidates := make([]prober.VM, 0, len(vms))
	for _, vm := range vms {
		candidates = append(candidates, prober.VM{ID: vm.ID, Zone: vm.Zone, CanRead: vm.CanRead})
	}
	probers := prober.Select(candidates)
	for i, vm := range vms {
		vms[i].Probes = slices.Contains(probers, vm.ID)
	}
	vms[0].Probes = vms[0].Probes || r.isProber(now)
	for _, vm := range reader.Select(vms) {
		r.isReader = r.isReader || vm.ID == r.self
	}
	wanted := map[call.VMID]bool{}
	for _, id := range reader.Listeners(r.self, vms) {
		wanted[id] = true
	}
	return wanted
}

// decide pauses or resumes the mirror; r.mu is held.
func (r *readers) decide(now time.Time) {
	if r.mirror == nil {
		return
	}
	before := r.decision
	r.decision = r.watch.Decide(now, reader.State{
		VMs: r.vms, IsReader: r.isReader, HasList: !before.Watch || r.mirror.Watching(), StoreUp: r.storeUp(),
	})
	if r.decision.Watch == before.Watch {
		return
	}
	if r.decision.Watch {
		r.mirror.Resume(r.watch.CompleteAt())
	} else {
		r.mirror.Pause()
	}
	r.observe(r.decision.Watch, r.decision.Reason)
	r.log.WithFields(logrus.Fields{
		"event": "ownWatch", "watch": r.decision.Watch, "reason": r.decision.Reason, "age": r.decision.Age.String(), "maxAge": r.maxAge.String(), "vms": r.vms,
	}).Info("own watch of the replicas changed")
}

// replicaChanged tells the listeners of a change, from whichever source it came.
func (r *readers) replicaChanged(item spread.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, item)
	r.changes = r.changes[max(0, len(r.changes)-maxKeptChanges):]
	r.lastChange++
	if r.isReader {
		r.tellAll(r.now())
	}
}

// tellAll sends each listener a message; r.mu is held.
func (r *readers) tellAll(now time.Time) {
	r.claimed = now
	for _, l := range r.listeners {
		if l.busy {
			l.again = true
			continue
		}
		l.busy = true
		go r.tell(l)
	}
}

// tell sends a listener what it has not acknowledged, and this reader's claim, until nothing is to
// follow. After a failure it waits for the next claim.
func (r *readers) tell(l *listener) {
	for {
		claim, err := r.claim()
		if err != nil {
			r.log.WithFields(logrus.Fields{"event": "readerClaim"}).WithError(err).Error("encoding the claim of this reader failed")
		}
		now := r.now()
		r.mu.Lock()
		missing := min(r.lastChange-l.acknowledged, uint64(len(r.changes)))
		items := append(spread.Items{}, r.changes[uint64(len(r.changes))-missing:]...)
		upTo := r.lastChange
		to := l.peer
		l.again = false
		r.mu.Unlock()
		err = r.notify(now, to, append(items, claim))
		r.mu.Lock()
		if err == nil {
			l.acknowledged = upTo
		}
		if err != nil || !l.again {
			l.busy = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
	}
}

// claim returns the item that says up to which time this VM's list is complete: until now while a
// watch is under way. The time is taken before the digest, and the digest before the changes that
// are sent with it.
func (r *readers) claim() (spread.Item, error) {
	now := r.now()
	value := readerItem{Lost: !r.storeUp()}
	r.mu.Lock()
	complete := !value.Lost && r.mirror != nil && r.mirror.Watching()
	cached := r.digestChange == r.lastChange && now.Sub(r.digestAt).Abs() < digestTime
	change := r.lastChange
	value.Digest = r.digestOf
	r.mu.Unlock()
	if complete {
		value.CompleteMs = now.UnixMilli()
	}
	if !cached {
		// The digest is read without mu: replicaChanged is called while its lock is held.
		value.Digest = r.digest()
		r.mu.Lock()
		r.digestOf, r.digestAt, r.digestChange = value.Digest, now, change
		r.mu.Unlock()
	}
	raw, err := json.Marshal(value)
	return spread.Item{ID: spread.ID{Kind: kindReader, Key: string(r.self)}, Version: uint64(now.UnixMilli()), Value: raw, Expires: now.Add(r.maxAge)}, errors.Trace(err)
}

// receive takes the claim of a reader. The changes that came with it have been applied.
func (r *readers) receive(now time.Time, item spread.Item) {
	var value readerItem
	if err := json.Unmarshal(item.Value, &value); err != nil {
		r.log.WithFields(logrus.Fields{"event": "peerItem", "peer": item.Key}).WithError(err).Warn("claim of a reader is not valid JSON")
		return
	}
	id := call.VMID(item.Key)
	claim := reader.Claim{Reader: id, Lost: value.Lost}
	if value.CompleteMs != 0 {
		// The sum has the monotonic reading of now, so that a later step of the clock does not
		// change the age.
		claim.CompleteAt = now.Add(-now.Sub(time.UnixMilli(value.CompleteMs).Add(-r.ahead(id))))
		claim.Matches = value.Digest == r.digest()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.Heard(now, claim)
	switch {
	case claim.Lost:
		r.decide(now)
	case !r.decision.Watch:
		r.mirror.Confirm(r.watch.CompleteAt())
	}
}
