package conf

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/tree"
)

// pollLoop reads the platform's head at intervals, whatever the watch does.
func (f *Follower) pollLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.polls:
			f.poll(ctx)
		case <-f.restores:
			f.restore(ctx)
		}
	}
}

// poll compares the platform's head with what is in force. A newer head that
// the watch has not brought means that the watch cannot be trusted.
func (f *Follower) poll(ctx context.Context) {
	reading, cancel := f.reading(ctx)
	defer cancel()
	h, _, err := f.c.Store.loadHead(reading)
	f.learn(err)
	if err != nil {
		f.c.Log.WithField("event", "settingsPoll").WithError(err).Warn("settings poll failed")
		return
	}
	judgement := f.known().Compare(h.Head)
	if judgement.Relation == tree.RelationAhead {
		f.c.Log.WithFields(logrus.Fields{"event": "settingsMissed", "reason": judgement.Reason}).Warn("settings watch missed a change")
		notify(f.rewatch)
		if _, err := f.resync(ctx); err != nil {
			f.c.Log.WithField("event", "settingsPoll").WithError(err).Warn("settings read failed")
		}
		return
	}
	f.compare(judgement.Relation)
}

// reading bounds a read of the platform.
func (f *Follower) reading(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(f.patience.Load()))
}

// learn sets the timeout of the next read by the result of the last one.
func (f *Follower) learn(err error) {
	next := f.c.ReadTimeout
	if err != nil {
		next = min(2*time.Duration(f.patience.Load()), f.c.Store.c.CallTimeout)
	}
	f.patience.Store(int64(next))
}

// compare has a platform restored that lacks what is in force.
func (f *Follower) compare(v tree.Relation) {
	if v != tree.RelationBehind && v != tree.RelationDiverged {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restoring {
		return
	}
	f.restoring = true
	f.after("settings restore", f.random(f.c.RestoreJitter), func() { notify(f.restores) })
}

// restore brings the platform up to what is in force. Every VM that finds the
// platform older tries it after its own random time; the first one wins.
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
	f.consider(restored.Document, "restore")
}

func (f *Follower) endRestore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restoring = false
}
