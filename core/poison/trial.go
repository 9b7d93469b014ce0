package poison

import (
	"slices"
	"time"
)

// trialFactor is how many times longer each further trial of a fingerprint waits.
const trialFactor = 5

// maxTrials bounds the trials in a record; the latest are kept.
const maxTrials = 4

// mergeTrials returns the union of two ordered lists, cut to the latest maxTrials.
func mergeTrials(a, b []time.Time) []time.Time {
	if len(a)+len(b) == 0 {
		return nil
	}
	all := slices.Concat(a, b)
	slices.SortFunc(all, time.Time.Compare)
	all = slices.CompactFunc(all, time.Time.Equal)
	return all[max(0, len(all)-maxTrials):]
}

func latestTrial(trials []time.Time) time.Time {
	if len(trials) == 0 {
		return time.Time{}
	}
	return trials[len(trials)-1]
}

// TrialDue reports whether a refused fingerprint may be tried once: Config.TrialAfter after
// the latest crash or trial, and five times later after each trial. A trial has to be
// claimed, so that one VM makes it for all: write TrialSnapshot to the store under the
// condition that the key is as known, and then call BeginTrial.
func (r *Registry) TrialDue(now time.Time, fp Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.c.TrialAfter == 0 || !r.refuses(now, fp) {
		return false
	}
	e := r.entries[fp]
	var last time.Time
	wait := r.c.TrialAfter
	for by, record := range e.records {
		ahead := e.aheadOf(by)
		last = later(last, record.Crashes.latest().Add(-ahead))
		for _, at := range record.Trials {
			at = at.Add(-ahead)
			last = later(last, at)
			if at.After(e.finishedAt()) {
				wait *= trialFactor
			}
		}
	}
	return !now.Before(last.Add(wait))
}

// TrialSnapshot returns what Snapshot would return after BeginTrial.
func (r *Registry) TrialSnapshot(now time.Time, fp Fingerprint) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if e == nil {
		return Snapshot{}
	}
	own := e.records[r.c.Self]
	e.records[r.c.Self] = own.withTrial(now)
	s := e.snapshot()
	e.records[r.c.Self] = own
	return s
}

// BeginTrial records a trial that this VM has claimed.
func (r *Registry) BeginTrial(now time.Time, fp Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[fp]; e != nil {
		e.records[r.c.Self] = e.records[r.c.Self].withTrial(now)
		e.updated = now
		e.published = true
	}
}

func (r Record) withTrial(at time.Time) Record {
	r.Trials = mergeTrials(r.Trials, []time.Time{at})
	return r
}
