package fakekv

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
	"gentianwell/io/kvwire"
)

// watcher is the state of one watch. The next revision to deliver is next; store is
// the Fake's store when the watch started, which Restore replaces.
type watcher struct {
	start, end string
	next       kvs.Revision
	store      *store
}

func (f *Fake) watch(ctx context.Context, prefix string, from kvs.Revision, fn func(kvs.Batch) error) error {
	w := &watcher{start: prefix, end: string(kvwire.PrefixEnd(prefix)), next: from}
	return f.follow(ctx, w, fn)
}

// follow calls fn for each batch of events, and at ProgressInterval with a batch that
// may have none.
func (f *Fake) follow(ctx context.Context, w *watcher, fn func(kvs.Batch) error) error {
	if err := f.beginWatch(w); err != nil {
		return errors.Trace(err)
	}
	progress := time.NewTicker(f.progress)
	defer progress.Stop()
	progressDue := false
	for {
		batch, changed, err := f.nextBatch(w, progressDue)
		if err != nil {
			return errors.Trace(err)
		}
		if batch != nil {
			if err := fn(*batch); err != nil {
				return errors.Trace(err)
			}
		}
		progressDue = false
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-changed:
		case <-progress.C:
			progressDue = true
		}
	}
}

func (f *Fake) beginWatch(w *watcher) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Watches++
	if f.faults.Outage {
		return errors.Annotate(kvs.ErrUnavailable, "outage")
	}
	if w.next != 0 && w.next.Era() < f.store.revision.Era() {
		return errors.Annotatef(kvs.ErrCompacted, "revision of era %d, the store has era %d", w.next.Era(), f.store.revision.Era())
	}
	if w.next == 0 {
		w.next = f.store.revision + 1
	}
	w.store = f.store
	return nil
}

// nextBatch returns the batch to deliver now, or nil if there is none, and a channel
// that is closed when there may be another. A batch without events is returned only if
// a progress notice is due.
func (f *Fake) nextBatch(w *watcher, progressDue bool) (*kvs.Batch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireLeases()
	switch {
	case f.faults.Outage:
		return nil, nil, errors.Annotate(kvs.ErrUnavailable, "outage")
	case w.store != f.store:
		return nil, nil, errors.Annotate(kvs.ErrUnavailable, "restored")
	case f.faults.SilentWatches:
		return nil, f.changed, nil
	case w.next <= f.store.compacted:
		return nil, nil, errors.Annotatef(kvs.ErrCompacted, "up to %d", f.store.compacted)
	}
	batch := kvs.Batch{Revision: f.store.revision, Events: f.store.eventsFrom(w.start, w.end, w.next)}
	if len(batch.Events) == 0 && !progressDue {
		return nil, f.changed, nil
	}
	w.next = max(w.next, f.store.revision+1)
	return &batch, f.changed, nil
}
