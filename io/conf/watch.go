package conf

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// watchLoop reads the whole tree and then follows its events. A watch that
// merely fails goes on from its last revision; one that has lost events, or
// that the poll distrusts, begins with a new read.
func (f *Follower) watchLoop(ctx context.Context) {
	var from kvs.Revision
	wait := f.c.RewatchPause
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
			wait = f.c.RewatchPause
		}
		_ = pause(ctx, wait/2+f.random(wait/2))
		wait = min(2*wait, f.c.PollInterval)
	}
}

// random returns a random time below the bound.
func (f *Follower) random(bound time.Duration) time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return time.Duration(f.c.Rand.Int64N(int64(bound) + 1))
}

// resync reads the whole tree and returns the revision to watch from.
func (f *Follower) resync(ctx context.Context) (kvs.Revision, error) {
	reading, cancel := f.reading(ctx)
	defer cancel()
	loaded, err := f.c.Store.Load(reading)
	f.learn(err)
	if err != nil {
		return 0, errors.Trace(err)
	}
	f.compare(f.consider(loaded.Document, "platform"))
	return loaded.Revision + 1, nil
}

// watch follows the events until the watch fails or is distrusted. It returns
// where to go on, 0 for a new read.
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
		case <-f.rewatch:
			cancel(errResync)
		case <-stop:
		}
	}()
	err := f.c.Store.c.Service.Watch(ctx, Prefix, from, func(batch kvs.Batch) error {
		if err := f.follow(batch); err != nil {
			return err
		}
		from = max(from, batch.Revision+1)
		return nil
	})
	if isGone(err) || errors.Is(context.Cause(ctx), errResync) {
		return 0, errors.Annotate(errResync, "Follower.watch")
	}
	return from, errors.Annotate(err, "Follower.watch")
}

// follow takes in the changes of a batch, revision by revision.
func (f *Follower) follow(batch kvs.Batch) error {
	for _, events := range byRevision(batch.Events) {
		if err := f.followOne(events); err != nil {
			return err
		}
	}
	return nil
}

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

// followOne takes in the events of one revision. Without the head among them
// they are branches that nobody reads yet, or not any more.
func (f *Follower) followOne(events []kvs.Event) error {
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
		return f.step(h, events)
	}
	return nil
}

// step applies one change's events to what is in force.
//
// Errors: errResync if they do not lead on from it.
func (f *Follower) step(h head, events []kvs.Event) error {
	known := f.known()
	if known.ChangeRef == h.ChangeRef {
		return nil
	}
	current := f.Current()
	edits := branchEdits(h.Generation, events)
	follows := h.Version == current.Version+1 && h.Includes(current.ChangeRef) && known.ChangeRef == current.ChangeRef
	if !follows || len(edits) != h.Writes {
		return errors.Annotatef(errResync, "version %d after %d, %d of %d branches", h.Version, known.Version, len(edits), h.Writes)
	}
	next, err := current.Tree.Apply(edits)
	if err != nil {
		return errors.Annotate(errResync, err.Error())
	}
	f.consider(tree.Document{Head: h.Head, Tree: next}, "watch")
	return nil
}

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
