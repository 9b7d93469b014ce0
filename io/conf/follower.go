package conf

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// Follower keeps the settings in force on one VM up to date.
type Follower struct {
	c FollowerConfig
	// current is the snapshot in force.
	current atomic.Pointer[tree.Snapshot]
	ready   atomic.Bool
	// newerPeers are the peers to fetch a newer document from. The other channels
	// request a poll, a restart of the watch and a restore of the platform.
	newerPeers      chan call.VMID
	pollRequests    chan struct{}
	watchRestarts   chan struct{}
	restoreRequests chan struct{}

	// readTimeout is the current timeout of reads, in nanoseconds.
	readTimeout atomic.Int64

	randMu sync.Mutex
	mu     sync.Mutex
	// started is true after StartWait, when documents are put into force
	// immediately; pending is the newest document received before that.
	started bool
	pending *tree.Document
	// restoring is true while a restore is scheduled or running.
	restoring bool
	encoded   encodedDocument
}

// encodedDocument is a document in JSON with its latest change.
type encodedDocument struct {
	ref tree.ChangeRef
	raw []byte
}

// NewFollower returns a follower with an empty tree of version 0 in force.
//
// Errors: NotValid for the configuration.
func NewFollower(c FollowerConfig) (*Follower, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	f := &Follower{
		c:               c,
		newerPeers:      make(chan call.VMID, newerPeersCapacity),
		pollRequests:    make(chan struct{}, 1),
		watchRestarts:   make(chan struct{}, 1),
		restoreRequests: make(chan struct{}, 1),
	}
	f.current.Store(tree.NewSnapshot(tree.Document{}))
	f.readTimeout.Store(int64(c.ReadTimeout))
	return f, nil
}

// Current returns the snapshot in force.
func (f *Follower) Current() *tree.Snapshot { return f.current.Load() }

// Ready reports whether settings from the platform or a peer are in force.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Run follows the platform and the peers until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	stopPolls := f.c.Timer.Every("settings poll", f.c.PollInterval, func(time.Time) { notify(f.pollRequests) })
	defer stopPolls()
	f.after("settings start", f.c.StartWait, f.start)
	var loops sync.WaitGroup
	loops.Go(func() { f.watchLoop(ctx) })
	loops.Go(func() { f.pollLoop(ctx) })
	loops.Go(func() { f.peerLoop(ctx) })
	loops.Wait()
	return nil
}

// after calls fn once after the duration d.
func (f *Follower) after(name string, d time.Duration, fn func()) {
	var stop func()
	var once sync.Once
	armed := make(chan struct{})
	stop = f.c.Timer.Every(name, d, func(time.Time) {
		<-armed
		stop()
		once.Do(fn)
	})
	close(armed)
}

// notify sends on c unless its buffer is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Submit makes an operator's change and puts it into force here.
//
// Errors: those of Store.Change.
func (f *Follower) Submit(ctx context.Context, c Change) (ChangeResult, error) {
	return f.submit(c, func(c Change) (ChangeResult, error) { return f.c.Store.Change(ctx, c, f.newestHead()) })
}

// Undo undoes the change of a version and puts the result into force here. The
// edits of c are not used.
//
// Errors: those of Store.Undo.
func (f *Follower) Undo(ctx context.Context, version int64, c Change) (ChangeResult, error) {
	return f.submit(c, func(c Change) (ChangeResult, error) { return f.c.Store.Undo(ctx, version, c, f.newestHead()) })
}

func (f *Follower) submit(c Change, send func(Change) (ChangeResult, error)) (ChangeResult, error) {
	if c.ID == "" {
		c.ID = f.c.Store.c.NewID()
	}
	accepted, err := send(c)
	log := f.c.Log.WithFields(logrus.Fields{"author": c.Author, "change": c.ID, "edits": len(c.Edits)})
	if err != nil {
		log.WithField("event", "settingsRefused").WithError(err).Info("settings change refused")
		return ChangeResult{}, err
	}
	log.WithFields(logrus.Fields{"event": "settingsAccepted", "version": accepted.ChangeRef().Version}).Info("settings change accepted")
	f.adoptIfNewer(accepted.Document, "operator")
	return accepted, nil
}

// start puts the pending document into force, if there is one, and ends the wait
// of StartWait.
func (f *Follower) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	if f.pending != nil {
		f.adopt(*f.pending, "start")
		f.pending = nil
	}
}

// adoptIfNewer puts the document into force if it includes the one in force and
// later changes, or if it equals the initial empty one. Before StartWait has
// passed, it only updates the pending document. It returns how the document
// relates to the one in force or pending.
func (f *Follower) adoptIfNewer(d tree.Document, source string) tree.Relation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started {
		return f.updatePending(d)
	}
	comparison := f.Current().Compare(d.Head)
	switch {
	case comparison.Relation == tree.RelationAhead, comparison.Relation == tree.RelationSame && !f.Ready():
		f.adopt(d, source)
	case comparison.Relation != tree.RelationSame:
		f.c.Log.WithFields(logrus.Fields{"event": "settingsNotAdopted", "source": source, "reason": comparison.Reason}).Info("settings not adopted")
	}
	return comparison.Relation
}

// updatePending makes the document the pending one if it is newer. The caller holds
// f.mu.
func (f *Follower) updatePending(d tree.Document) tree.Relation {
	if f.pending == nil {
		f.pending = &d
		return tree.RelationAhead
	}
	relation := f.pending.Compare(d.Head).Relation
	if relation == tree.RelationAhead {
		f.pending = &d
	}
	return relation
}

// adopt puts the document into force. The caller holds f.mu.
func (f *Follower) adopt(d tree.Document, source string) {
	snapshot := tree.NewSnapshot(d)
	f.current.Store(snapshot)
	f.ready.Store(true)
	f.c.Log.WithFields(logrus.Fields{
		"event": "settingsInForce", "version": d.Version, "change": d.ChangeID, "author": d.Author, "source": source,
	}).Info("settings in force")
	f.c.Apply(snapshot)
}

// newestHead returns the head that other documents are compared with: that of the
// pending document if there is one, otherwise the one in force.
func (f *Follower) newestHead() tree.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending != nil {
		return f.pending.Head
	}
	return f.Current().Head
}

// errResync ends a watch whose events cannot be applied to the document in force.
const errResync = errors.ConstError("the settings have to be read again as a whole")

func needsResync(err error) bool {
	return errors.Is(err, kvs.ErrCompacted) || errors.Is(err, errResync)
}
