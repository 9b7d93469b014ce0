package conf

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/spread"
	"gentianwell/core/timer"
	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// gossipInterval is the time between exchanges with peers.
const gossipInterval = 500 * time.Millisecond

// world is a platform and some VMs that follow it; VMs hear of each other's
// versions at once, as gossip would tell them.
type world struct {
	t    *testing.T
	fake *fakekv.Fake
	ctx  context.Context
	// starts counts the VMs started, so that a restarted one has fresh ids.
	starts int

	mu  sync.Mutex
	vms map[call.VMID]*vm
	// drops is how many batches of events the watch of a VM loses.
	drops map[call.VMID]int
	// deaf are VMs cut off from their peers, cut those cut off from the platform.
	deaf map[call.VMID]bool
	cut  map[call.VMID]bool
}

// vm is one entry VM's follower with what it had in force, in order.
type vm struct {
	*Follower
	store  *Store
	cancel context.CancelFunc
	// targets chooses the peers of one round of gossip.
	targets func(all []call.VMID) []call.VMID

	mu    sync.Mutex
	heads []tree.Head
}

func newWorld(t *testing.T) *world {
	return &world{
		t: t, fake: fakekv.New(fakekv.Config{}), ctx: t.Context(),
		vms: map[call.VMID]*vm{}, deaf: map[call.VMID]bool{}, cut: map[call.VMID]bool{}, drops: map[call.VMID]int{},
	}
}

// isolate cuts VMs off from their peers, or ends that.
func (w *world) isolate(on bool, ids ...call.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.deaf[id] = on
	}
}

// cutOff cuts VMs off from the platform, or ends that.
func (w *world) cutOff(on bool, ids ...call.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.cut[id] = on
	}
}

// reach returns an error for a VM that is cut off from the platform.
func (w *world) reach(id call.VMID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[id] {
		return errors.Annotate(kvs.ErrUnavailable, "cut off")
	}
	return nil
}

// lose makes the watch of a VM lose the next batch of events.
func (w *world) lose(id call.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drops[id]++
}

// drop reports whether the watch of a VM loses the batch.
func (w *world) drop(id call.VMID, b kvs.Batch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drops[id] == 0 || len(b.Events) == 0 {
		return false
	}
	w.drops[id]--
	return true
}

// peer returns a VM if the two can talk.
func (w *world) peer(from, to call.VMID) (*vm, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.vms[to]; ok && !w.deaf[from] && !w.deaf[to] {
		return v, nil
	}
	return nil, errors.Timeoutf("peer %s", to)
}

func (w *world) ids() []call.VMID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.vms))
}

// service is the platform as one VM reaches it.
func (w *world) service(id call.VMID) kvs.Service {
	svc := w.fake.Service()
	list, get, transact, watch := svc.List, svc.Get, svc.Transact, svc.Watch
	svc.List = func(ctx context.Context, prefix string) (kvs.Snapshot, error) {
		if err := w.reach(id); err != nil {
			return kvs.Snapshot{}, err
		}
		return list(ctx, prefix)
	}
	svc.Get = func(ctx context.Context, key string) (kvs.Lookup, error) {
		if err := w.reach(id); err != nil {
			return kvs.Lookup{}, err
		}
		return get(ctx, key)
	}
	svc.Transact = func(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
		if err := w.reach(id); err != nil {
			return kvs.TxnResult{}, err
		}
		return transact(ctx, txn)
	}
	svc.Watch = func(ctx context.Context, prefix string, from kvs.Revision, fn func(kvs.Batch) error) error {
		return watch(ctx, prefix, from, func(b kvs.Batch) error {
			if err := w.reach(id); err != nil {
				return err
			}
			if w.drop(id, b) {
				return nil
			}
			return fn(b)
		})
	}
	return svc
}

// start starts a VM's follower.
func (w *world) start(id call.VMID) *vm {
	ctx, cancel := context.WithCancel(w.ctx)
	v := &vm{cancel: cancel}
	w.starts++
	rnd := func(part uint64) *rand.Rand { return rand.New(rand.NewPCG(gwtest.Seed()+part, uint64(w.starts))) }
	v.targets = spread.New(spread.Config{Self: id, Rand: rnd(1)}).Targets
	v.store = newStore(w.service(id), fmt.Sprintf("%s-%d", id, w.starts))
	timers := timer.New(timer.Config{Now: time.Now})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	v.Follower, err = NewFollower(FollowerConfig{
		Self: id, Store: v.store, Timer: timers, Log: log,
		Rand: rnd(0),
		Fetch: func(ctx context.Context, from call.VMID, have int64) ([]byte, error) {
			peer, err := w.peer(id, from)
			if err != nil {
				return nil, err
			}
			_, raw, err := peer.NewerDocument(ctx, have)
			return raw, err
		},
		Apply: func(s *tree.Snapshot) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.heads = append(v.heads, s.Head)
		},
	})
	assert.NilError(w.t, err)
	timers.Every("gossip", gossipInterval, func(time.Time) { w.gossip(id, v) })
	w.mu.Lock()
	w.vms[id] = v
	w.mu.Unlock()
	go func() { _ = timers.Run(ctx) }()
	go func() { _ = v.Run(ctx) }()
	return v
}

// gossip has a VM and a few others tell each other their versions.
func (w *world) gossip(id call.VMID, v *vm) {
	for _, other := range v.targets(w.ids()) {
		peer, err := w.peer(id, other)
		if err != nil {
			continue
		}
		v.ReportPeerVersion(other, peer.Current().Version)
		peer.ReportPeerVersion(id, v.Current().Version)
	}
}

// stop stops a VM, which forgets everything.
func (w *world) stop(id call.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms[id].cancel()
	delete(w.vms, id)
}

// newIDs returns ids that are the same on each run.
func newIDs(prefix string) func() string {
	var n atomic.Int64
	return func() string { return fmt.Sprintf("%s-%d", prefix, n.Add(1)) }
}

// neverDown checks that each head in force held the one before.
func (w *world) neverDown() {
	for id, v := range w.vms {
		v.mu.Lock()
		for i := 1; i < len(v.heads); i++ {
			verdict := v.heads[i-1].Compare(v.heads[i]).Relation
			assert.Equal(w.t, verdict, tree.RelationAhead, "VM %s went from %s to %s", id, v.heads[i-1].ChangeRef, v.heads[i].ChangeRef)
		}
		v.mu.Unlock()
	}
}

// inForce checks that all VMs have the value in force.
func (w *world) inForce(path, want string) {
	w.t.Helper()
	for id, v := range w.vms {
		assert.Equal(w.t, value(v.Current().Tree, path), want, "VM %s", id)
	}
}

// value returns one value in JSON; "" where the branch does not set it.
func value(t *tree.Tree, text string) string {
	path, err := tree.ParsePath(text)
	if err != nil {
		return err.Error()
	}
	raw, _ := t.Value(path)
	return string(raw)
}

func set(path, raw string) Change {
	return Change{Author: "anna", Edits: tree.Edits{{Path: path, Value: []byte(raw)}}}
}

func (w *world) mustSet(id call.VMID, path, raw string) ChangeResult {
	w.t.Helper()
	accepted, err := w.vms[id].Submit(w.ctx, set(path, raw))
	assert.NilError(w.t, err)
	return accepted
}
