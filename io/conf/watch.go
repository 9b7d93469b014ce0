package conf

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// watchLoop reads the whole tree and then watches it. A watch that fails resumes
// after its last revision; one that has lost events, or was found by a poll to
// have missed a change, starts over with a new read.
func (f *Follower) watchLoop(ctx context.Context) {
	var from kvs.Revision
	wait := f.c.WatchRetryDelay
	for ctx.Err() == nil {
		var err error
		began := f.c.Timer.Now()
		if from == 0 {
			from, err = f.resync(ctx)
		}
		if err == nil {
			from, err = f.watch(ctx, from)
		}
		if ctx.Err() != nil {
			return
		}
		f.c.Log.WithField("event", "settingsWatch").WithError(err).Warn("settings watch ended")
		if f.c.Timer.Now().Sub(began) > f.c.PollInterval {
			wait = f.c.WatchRetryDelay
		}
		_ = sleep(ctx, wait/2+f.random(wait/2))
		wait = min(2*wait, f.c.PollInterval)
	}
}

// random returns a random duration of at most the limit.
func (f *Follower) random(limit time.Duration) time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return time.Duration(f.c.Rand.Int64N(int64(limit) + 1))
}

// resync reads the whole tree and returns the revision to watch from.
func (f *Follower) resync(ctx context.Context) (kvs.Revision, error) {
	readCtx, cancel := f.withReadTimeout(ctx)
	defer cancel()
	loaded, err := f.c.Store.Load(readCtx)
	f.adjustReadTimeout(err)
	if err != nil {
		return 0, errors.Trace(err)
	}
	f.restoreIfNeeded(f.adoptIfNewer(loaded.Document, "platform"))
	return loaded.Revision + 1, nil
}

// watch applies events until the watch fails or a restart is requested. It
// returns the revision to resume from, or 0 if the tree has to be read again.
func (f *Follower) watch(ctx context.Context, from kvs.Revision) (kvs.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer func() { <-done }()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(done)
		select {
		case <-f.watchRestarts:
			cancel(errResync)
		case <-stop:
		}
	}()
	err := f.c.Store.c.Service.Watch(ctx, Prefix, from, func(batch kvs.Batch) error {
		if err := f.applyBatch(batch); err != nil {
			return err
		}
		from = max(from, batch.Revision+1)
		return nil
	})
	if needsResync(err) || errors.Is(context.Cause(ctx), errResync) {
		return 0, errors.Annotate(errResync, "Follower.watch")
	}
	return from, errors.Annotate(err, "Follower.watch")
}

// applyBatch applies the events of a batch, revision by revision.
func (f *Follower) applyBatch(batch kvs.Batch) error {
	for _, events := range byRevision(batch.Events) {
		if err := f.applyRevision(events); err != nil {
			return err
		}
	}
	return nil
}

// byRevision groups the events by the revision that made them.
func byRevision(events []kvs.Event) [][]kvs.Event {
	var groups [][]kvs.Event
	for i, e := range events {
		if i == 0 || e.Entry.ModRevision != events[i-1].Entry.ModRevision {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], e)
	}
	return groups
}

// applyRevision applies the events of one revision. If the head is not among them,
// they belong to branches that are not read yet or no longer read.
func (f *Follower) applyRevision(events []kvs.Event) error {
	for _, e := range events {
		if e.Entry.Key != HeadKey {
			continue
		}
		if e.Kind == kvs.EventDelete {
			return errResync
		}
		h, err := parseHead(e.Entry.Value)
		if err != nil {
			return errors.Annotate(errResync, err.Error())
		}
		return f.applyChange(h, events)
	}
	return nil
}

// applyChange applies the events of one change to the document in force.
//
// Errors: errResync if the change does not follow directly on that document, or
// if events are missing.
func (f *Follower) applyChange(h head, events []kvs.Event) error {
	newest := f.newestHead()
	if newest.ChangeRef == h.ChangeRef {
		return nil
	}
	current := f.Current()
	edits := branchEdits(h.Generation, events)
	isNext := h.Version == current.Version+1 && h.Includes(current.ChangeRef) && newest.ChangeRef == current.ChangeRef
	if !isNext || len(edits) != h.Writes {
		return errors.Annotatef(errResync, "version %d received after version %d, with %d of its %d branch writes", h.Version, newest.Version, len(edits), h.Writes)
	}
	next, err := current.Tree.Apply(edits)
	if err != nil {
		return errors.Annotate(errResync, err.Error())
	}
	f.adoptIfNewer(tree.Document{Head: h.Head, Tree: next}, "watch")
	return nil
}

// branchEdits returns the edits that the events make to branches of the generation.
func branchEdits(generation string, events []kvs.Event) tree.Edits {
	var edits tree.Edits
	for _, e := range events {
		g, b, ok := parseBranchKey(e.Entry.Key)
		if !ok || g != generation {
			continue
		}
		edit := tree.Edit{Path: b.Path()}
		if e.Kind == kvs.EventPut {
			edit.Value = e.Entry.Value
		}
		edits = append(edits, edit)
	}
	return edits
}
