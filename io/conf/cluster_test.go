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

// cluster is a fake platform and several VMs that follow it. The VMs exchange their
// versions in simulated gossip rounds, without the network.
type cluster struct {
	t    *testing.T
	fake *fakekv.Fake
	ctx  context.Context
	// starts counts the VM starts, so that a restarted VM creates new change IDs.
	starts int

	mu  sync.Mutex
	vms map[call.VMID]*clusterVM
	// lostBatches is the number of event batches that the watch of a VM still has
	// to lose.
	lostBatches map[call.VMID]int
	// isolated are the VMs that are cut off from their peers, and disconnected
	// those that are cut off from the platform.
	isolated     map[call.VMID]bool
	disconnected map[call.VMID]bool
}

// clusterVM is the follower of one entry VM, with the heads that it has put into
// force, in order.
type clusterVM struct {
	*Follower
	store  *Store
	cancel context.CancelFunc
	// targets selects the peers of one gossip round.
	targets func(all []call.VMID) []call.VMID

	mu    sync.Mutex
	heads []tree.Head
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, fake: fakekv.New(fakekv.Config{}), ctx: t.Context(),
		vms: map[call.VMID]*clusterVM{}, isolated: map[call.VMID]bool{}, disconnected: map[call.VMID]bool{}, lostBatches: map[call.VMID]int{},
	}
}

// setIsolated cuts VMs off from their peers, or reconnects them.
func (c *cluster) setIsolated(on bool, ids ...call.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.isolated[id] = on
	}
}

// setDisconnected cuts VMs off from the platform, or reconnects them.
func (c *cluster) setDisconnected(on bool, ids ...call.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.disconnected[id] = on
	}
}

// platformError returns the error of a call to the platform if the VM is cut off
// from it.
func (c *cluster) platformError(id call.VMID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected[id] {
		return errors.Annotate(kvs.ErrUnavailable, "cut off")
	}
	return nil
}

// loseNextBatch makes the watch of a VM lose the next batch of events.
func (c *cluster) loseNextBatch(id call.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostBatches[id]++
}

// losesBatch reports whether the watch of a VM loses the batch, and counts it.
func (c *cluster) losesBatch(id call.VMID, b kvs.Batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostBatches[id] == 0 || len(b.Events) == 0 {
		return false
	}
	c.lostBatches[id]--
	return true
}

// peer returns the VM to if from can reach it.
func (c *cluster) peer(from, to call.VMID) (*clusterVM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.vms[to]; ok && !c.isolated[from] && !c.isolated[to] {
		return v, nil
	}
	return nil, errors.Timeoutf("peer %s", to)
}

func (c *cluster) ids() []call.VMID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.vms))
}

// serviceFor returns the platform's service with the faults of one VM.
func (c *cluster) serviceFor(id call.VMID) kvs.Service {
	svc := c.fake.Service()
	list, get, transact, watch := svc.List, svc.Get, svc.Transact, svc.Watch
	svc.List = func(ctx context.Context, prefix string) (kvs.Snapshot, error) {
		if err := c.platformError(id); err != nil {
			return kvs.Snapshot{}, err
		}
		return list(ctx, prefix)
	}
	svc.Get = func(ctx context.Context, key string) (kvs.Lookup, error) {
		if err := c.platformError(id); err != nil {
			return kvs.Lookup{}, err
		}
		return get(ctx, key)
	}
	svc.Transact = func(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
		if err := c.platformError(id); err != nil {
			return kvs.TxnResult{}, err
		}
		return transact(ctx, txn)
	}
	svc.Watch = func(ctx context.Context, prefix string, from kvs.Revision, fn func(kvs.Batch) error) error {
		return watch(ctx, prefix, from, func(b kvs.Batch) error {
			if err := c.platformError(id); err != nil {
				return err
			}
			if c.losesBatch(id, b) {
				return nil
			}
			return fn(b)
		})
	}
	return svc
}

// start starts a VM's follower.
func (c *cluster) start(id call.VMID) *clusterVM {
	ctx, cancel := context.WithCancel(c.ctx)
	v := &clusterVM{cancel: cancel}
	c.starts++
	rnd := func(part uint64) *rand.Rand { return rand.New(rand.NewPCG(gwtest.Seed()+part, uint64(c.starts))) }
	v.targets = spread.New(spread.Config{Self: id, Rand: rnd(1)}).Targets
	v.store = newStore(c.serviceFor(id), fmt.Sprintf("%s-%d", id, c.starts))
	timers := timer.New(timer.Config{Now: time.Now})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	v.Follower, err = NewFollower(FollowerConfig{
		Self: id, Store: v.store, Timer: timers, Log: log,
		Rand: rnd(0),
		Fetch: func(ctx context.Context, from call.VMID, have int64) ([]byte, error) {
			peer, err := c.peer(id, from)
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
	assert.NilError(c.t, err)
	timers.Every("gossip", gossipInterval, func(time.Time) { c.gossip(id, v) })
	c.mu.Lock()
	c.vms[id] = v
	c.mu.Unlock()
	go func() { _ = timers.Run(ctx) }()
	go func() { _ = v.Run(ctx) }()
	return v
}

// gossip makes a VM and a few others exchange their versions.
func (c *cluster) gossip(id call.VMID, v *clusterVM) {
	for _, other := range v.targets(c.ids()) {
		peer, err := c.peer(id, other)
		if err != nil {
			continue
		}
		v.ReportPeerVersion(other, peer.Current().Version)
		peer.ReportPeerVersion(id, v.Current().Version)
	}
}

// stop stops a VM, which loses its state.
func (c *cluster) stop(id call.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms[id].cancel()
	delete(c.vms, id)
}

// newIDs returns a generator of change IDs that are the same in each run.
func newIDs(prefix string) func() string {
	var n atomic.Int64
	return func() string { return fmt.Sprintf("%s-%d", prefix, n.Add(1)) }
}

// assertNeverReverted checks that each head in force included the one before.
func (c *cluster) assertNeverReverted() {
	for id, v := range c.vms {
		v.mu.Lock()
		for i := 1; i < len(v.heads); i++ {
			relation := v.heads[i-1].Compare(v.heads[i]).Relation
			assert.Equal(c.t, relation, tree.RelationAhead, "VM %s went from %s to %s", id, v.heads[i-1].ChangeRef, v.heads[i].ChangeRef)
		}
		v.mu.Unlock()
	}
}

// assertInForce checks that the value is in force on all VMs.
func (c *cluster) assertInForce(path, want string) {
	c.t.Helper()
	for id, v := range c.vms {
		assert.Equal(c.t, value(v.Current().Tree, path), want, "VM %s", id)
	}
}

// value returns one value in JSON, or "" if the branch does not set it.
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

func (c *cluster) mustSet(id call.VMID, path, raw string) ChangeResult {
	c.t.Helper()
	accepted, err := c.vms[id].Submit(c.ctx, set(path, raw))
	assert.NilError(c.t, err)
	return accepted
}
