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

// Follower keeps the newest settings in force on one VM.
type Follower struct {
	c       FollowerConfig
	current atomic.Pointer[tree.Snapshot]
	ready   atomic.Bool
	hints   chan call.VMID
	polls   chan struct{}
	rewatch chan struct{}
	// restores asks for a restore of the platform.
	restores chan struct{}

	// patience is the present timeout of reads, in nanoseconds.
	patience atomic.Int64

	randMu sync.Mutex
	mu     sync.Mutex
	// started is true once documents are put into force at once; held is the
	// newest one before.
	started bool
	held    *tree.Document
	// restoring is true while a restore is due or running.
	restoring bool
	encoded   encoded
}

// encoded caches the document in JSON.
type encoded struct {
	mark tree.ChangeRef
	raw  []byte
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
		c:        c,
		hints:    make(chan call.VMID, hintCapacity),
		polls:    make(chan struct{}, 1),
		rewatch:  make(chan struct{}, 1),
		restores: make(chan struct{}, 1),
	}
	f.current.Store(tree.NewSnapshot(tree.Document{}))
	f.patience.Store(int64(c.ReadTimeout))
	return f, nil
}

// Current returns the snapshot in force.
func (f *Follower) Current() *tree.Snapshot { return f.current.Load() }

// Ready reports whether settings were loaded, from the platform or a peer.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Run follows the platform and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	stopPolls := f.c.Timer.Every("settings poll", f.c.PollInterval, func(time.Time) { notify(f.polls) })
	defer stopPolls()
	f.after("settings start", f.c.StartWait, f.start)
	var loops sync.WaitGroup
	loops.Go(func() { f.watchLoop(ctx) })
	loops.Go(func() { f.pollLoop(ctx) })
	loops.Go(func() { f.peerLoop(ctx) })
	loops.Wait()
	return nil
}

// after calls fn once, d from now.
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
	return f.submit(c, func(c Change) (ChangeResult, error) { return f.c.Store.Change(ctx, c, f.known()) })
}

// Undo undoes the change of a version and puts the result into force here. The
// edits of the given change are not used.
//
// Errors: those of Store.Undo.
func (f *Follower) Undo(ctx context.Context, version int64, c Change) (ChangeResult, error) {
	return f.submit(c, func(c Change) (ChangeResult, error) { return f.c.Store.Undo(ctx, version, c, f.known()) })
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
	f.consider(accepted.Document, "operator")
	return accepted, nil
}

// start puts the newest document that was held back into force.
func (f *Follower) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	if f.held != nil {
		f.adopt(*f.held, "start")
		f.held = nil
	}
}

// consider puts the document into force if it holds what is in force. It
// returns how the document relates to what is in force, or held back.
func (f *Follower) consider(d tree.Document, source string) tree.Relation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started {
		return f.hold(d)
	}
	judgement := f.Current().Compare(d.Head)
	switch {
	case judgement.Relation == tree.RelationAhead, judgement.Relation == tree.RelationSame && !f.Ready():
		f.adopt(d, source)
	case judgement.Relation != tree.RelationSame:
		f.c.Log.WithFields(logrus.Fields{"event": "settingsNotAdopted", "source": source, "reason": judgement.Reason}).Info("settings not adopted")
	}
	return judgement.Relation
}

// hold keeps the newest document until the start; the caller holds the lock.
func (f *Follower) hold(d tree.Document) tree.Relation {
	if f.held == nil {
		f.held = &d
		return tree.RelationAhead
	}
	verdict := f.held.Compare(d.Head).Relation
	if verdict == tree.RelationAhead {
		f.held = &d
	}
	return verdict
}

// adopt swaps the snapshot; the caller holds the lock.
func (f *Follower) adopt(d tree.Document, source string) {
	snapshot := tree.NewSnapshot(d)
	f.current.Store(snapshot)
	f.ready.Store(true)
	f.c.Log.WithFields(logrus.Fields{
		"event": "settingsInForce", "version": d.Version, "change": d.ChangeID, "author": d.Author, "source": source,
	}).Info("settings in force")
	f.c.Apply(snapshot)
}

// known returns the head that counts for offers: the held one before the start.
func (f *Follower) known() tree.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held != nil {
		return f.held.Head
	}
	return f.Current().Head
}

// errResync ends a watch whose events do not lead on from what is in force.
const errResync = errors.ConstError("settings have to be read as a whole")

func isGone(err error) bool { return errors.Is(err, kvs.ErrCompacted) || errors.Is(err, errResync) }
