package conf

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/tree"
)

// pollLoop handles requests for polls and restores. It runs independently of the
// watch.
func (f *Follower) pollLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.pollRequests:
			f.poll(ctx)
		case <-f.restoreRequests:
			f.restore(ctx)
		}
	}
}

// poll compares the platform's head with that of newestHead. If the platform's is
// newer, the watch has missed a change and cannot be relied on: poll requests a
// restart of the watch and reads the whole tree.
func (f *Follower) poll(ctx context.Context) {
	readCtx, cancel := f.withReadTimeout(ctx)
	defer cancel()
	h, _, err := f.c.Store.loadHead(readCtx)
	f.adjustReadTimeout(err)
	if err != nil {
		f.c.Log.WithField("event", "settingsPoll").WithError(err).Warn("settings poll failed")
		return
	}
	comparison := f.newestHead().Compare(h.Head)
	if comparison.Relation == tree.RelationAhead {
		f.c.Log.WithFields(logrus.Fields{"event": "settingsMissed", "reason": comparison.Reason}).Warn("settings watch missed a change")
		notify(f.watchRestarts)
		if _, err := f.resync(ctx); err != nil {
			f.c.Log.WithField("event", "settingsPoll").WithError(err).Warn("settings read failed")
		}
		return
	}
	f.restoreIfNeeded(comparison.Relation)
}

// withReadTimeout returns a context with the current timeout for a read of the
// platform.
func (f *Follower) withReadTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(f.readTimeout.Load()))
}

// adjustReadTimeout sets the timeout of the next read according to the result of
// the last one.
func (f *Follower) adjustReadTimeout(err error) {
	next := f.c.ReadTimeout
	if err != nil {
		next = min(2*time.Duration(f.readTimeout.Load()), f.c.Store.c.CallTimeout)
	}
	f.readTimeout.Store(int64(next))
}

// restoreIfNeeded schedules a restore if the platform lacks changes that are in
// force.
func (f *Follower) restoreIfNeeded(relation tree.Relation) {
	if relation != tree.RelationBehind && relation != tree.RelationDiverged {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restoring {
		return
	}
	f.restoring = true
	f.after("settings restore", f.random(f.c.RestoreJitter), func() { notify(f.restoreRequests) })
}

// restore writes the document in force to the platform. Every VM that finds the
// platform older does this after a random delay of its own; the first one wins.
func (f *Follower) restore(ctx context.Context) {
	defer f.endRestore()
	document := f.Current().Document
	restored, err := f.c.Store.Restore(ctx, document, string(f.c.Self))
	if err != nil {
		f.c.Log.WithField("event", "settingsRestore").WithError(err).Warn("settings restore failed")
		return
	}
	f.c.Log.WithFields(logrus.Fields{
		"event": "settingsRestore", "version": restored.Document.Version, "reason": restored.Comparison.Reason, "dropped": len(restored.Dropped),
	}).Warn("settings restored in the platform")
	f.adoptIfNewer(restored.Document, "restore")
}

func (f *Follower) endRestore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restoring = false
}
