package poison

import (
	"slices"
	"time"
)

// judgeSuccessive judges by the crashes that count after the latest finish.
func judgeSuccessive(crashes Crashes, finishedAt time.Time, c Config) Verdict {
	v := Verdict{Action: ActionRun, Reason: ReasonUnknown, Crashes: c.count(crashes, time.Time{}), Successive: c.count(crashes, finishedAt)}
	switch {
	case v.Crashes == 0:
	case v.Successive == 0:
		v.Reason = ReasonExonerated
	case v.Successive >= c.RefuseAfter:
		v.Action = ActionRefuse
		v.Reason = ReasonCrashedOften
	case v.Successive >= c.SuspectAfter:
		v.Reason = ReasonSuspect
	default:
		v.Reason = ReasonFewCrashes
	}
	return v
}

// RefusedParts returns those of a request's fingerprints that Judge refuses, unless another
// refused fingerprint, which the request does not have, explains their crashes. It costs
// little, and allocates nothing, unless most of the crashes that are needed to refuse have
// been seen.
//
// What crashes with a request is all that the request has: of its parts, and those of other
// requests on the same replicas, one is the cause. A request without that part is let
// through, and finishes. Where several explain the same crashes, a request with only some
// of them runs and tells which.
func (r *Registry) RefusedParts(now time.Time, fps []Fingerprint) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Fingerprint
	for _, fp := range fps {
		if r.refuses(now, fp) && !slices.Contains(out, fp) && r.explanation(now, fp, fps) == "" {
			out = append(out, fp)
		}
	}
	return out
}

// Explanation returns, for the log, why RefusedParts does not return a refused fingerprint of a
// request: the kind and the fingerprint of one that explains its crashes, or empty text.
func (r *Registry) Explanation(now time.Time, fp Fingerprint, fps []Fingerprint) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refuses(now, fp) {
		return ""
	}
	return r.explanation(now, fp, fps)
}

// explanation is Explanation for a fingerprint that is refused.
func (r *Registry) explanation(now time.Time, fp Fingerprint, fps []Fingerprint) string {
	if request, ok := r.explained(now, fp); ok {
		return "request " + request.String()
	}
	if part, ok := r.explainedWithout(now, fp, fps); ok {
		return "part " + part.String()
	}
	return ""
}

// refuses reports whether judge refuses a fingerprint.
func (r *Registry) refuses(now time.Time, fp Fingerprint) bool {
	e := r.entries[fp]
	if e == nil || e.countSince(r.counted(now, e)) < r.c.RefuseAfter {
		return false
	}
	return e.judge(now, r.c).Action == ActionRefuse
}

// Explains returns a refused fingerprint that was in flight at a crash, if there is one.
func (r *Registry) Explains(now time.Time, crash Crash) (Fingerprint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := Crashes{crash}
	for fp := range r.refused {
		if r.entries[fp].anyCovers(one, r.c.CrashWindow) && r.refuses(now, fp) {
			return fp, true
		}
	}
	return 0, false
}

// explained reports whether so many crashes of a refused fingerprint have a known other cause
// that the rest would not refuse it, and returns one such cause.
func (r *Registry) explained(now time.Time, fp Fingerprint) (cause Fingerprint, ok bool) {
	if r.c.Explained == nil {
		return 0, false
	}
	e := r.entries[fp]
	rest := slices.DeleteFunc(e.crashes(now, r.c), func(crash Crash) bool {
		other, explained := r.c.Explained(now, crash)
		if explained {
			cause = other
		}
		return explained
	})
	return cause, r.c.count(rest, e.finishedAt()) < r.c.RefuseAfter
}

// counted returns the time after which an entry's crashes count.
func (r *Registry) counted(now time.Time, e *entry) time.Time {
	return later(e.finishedAt(), now.Add(-r.c.Retention))
}

// explainedWithout returns a refused fingerprint, if there is one, that is not in a list and was
// in flight at the latest crash of fp and at so many of the others that the rest would not refuse
// fp: some may have had another cause.
func (r *Registry) explainedWithout(now time.Time, fp Fingerprint, list []Fingerprint) (Fingerprint, bool) {
	e := r.entries[fp]
	crashes := e.crashes(now, r.c).since(e.finishedAt())
	latest := crashes[len(crashes)-1:]
	for other := range r.refused {
		if slices.Contains(list, other) || !r.entries[other].anyCovers(latest, r.c.CrashWindow) || !r.refuses(now, other) {
			continue
		}
		o := r.entries[other]
		known := o.crashes(now, r.c).since(o.finishedAt())
		if !known.cover(latest, r.c.CrashWindow) {
			continue
		}
		rest := crashes.without(known, r.c.CrashWindow)
		if r.c.count(rest, e.finishedAt()) < r.c.RefuseAfter {
			return other, true
		}
	}
	return 0, false
}

// trackRefused adds a fingerprint to those that are refused or removes it.
func (r *Registry) trackRefused(now time.Time, fp Fingerprint) {
	if r.c.Successive && r.refuses(now, fp) {
		r.refused[fp] = true
		return
	}
	delete(r.refused, fp)
}

// countSince returns the number of crashes after a time in the records of all VMs.
func (e *entry) countSince(t time.Time) int {
	n := 0
	for by, record := range e.records {
		n += len(record.Crashes.since(t.Add(e.aheadOf(by))))
	}
	return n
}

// anyCovers reports whether the record of a VM covers the crashes.
func (e *entry) anyCovers(crashes Crashes, window time.Duration) bool {
	for by, record := range e.records {
		if record.Crashes.cover(crashes.shifted(e.aheadOf(by)), window) {
			return true
		}
	}
	return false
}

// finishedAt returns when the latest run finished on any VM, as far as known.
func (e *entry) finishedAt() time.Time {
	var at time.Time
	for by, record := range e.records {
		if !record.FinishedAt.IsZero() {
			at = later(at, record.FinishedAt.Add(-e.aheadOf(by)))
		}
	}
	return at
}

// CrashedRun records that a replica crashed while it ran a request with a fingerprint, and
// returns how this VM may run such requests next. It is for Config.Successive: the crash
// needs Began, and its record is published without Publish.
func (r *Registry) CrashedRun(now time.Time, fp Fingerprint, crash Crash) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(now, fp)
	own := e.records[r.c.Self]
	own.FinishedAt = later(own.FinishedAt, r.recent.latest(fp))
	own.Crashes = own.Crashes.add(crash, r.c.CrashWindow)
	e.records[r.c.Self] = own
	e.updated = now
	if _, waits := r.waiting[fp]; !waits {
		r.waiting[fp] = now
		if !own.FinishedAt.IsZero() {
			r.waiting[fp] = now.Add(r.c.FinishWait)
		}
	}
	r.trackRefused(now, fp)
	return e.judge(now, r.c)
}

// finishedSuccessive records a finish. A crash that waits to be published is dropped, and
// other VMs are told only if they would otherwise come to refuse the fingerprint.
func (r *Registry) finishedSuccessive(now time.Time, fp Fingerprint, e *entry) {
	r.recent.add(now, fp)
	if e == nil {
		return
	}
	own := e.records[r.c.Self]
	if e.countSince(later(own.FinishedAt, now.Add(-r.c.Retention))) == 0 {
		return
	}
	own.FinishedAt = now
	e.records[r.c.Self] = own
	delete(r.waiting, fp)
	r.spreadFinish(now, fp, e)
	r.trackRefused(now, fp)
}

// adoptFinish adds a remembered finish to what other VMs know of a fingerprint.
func (r *Registry) adoptFinish(now time.Time, fp Fingerprint, e *entry) {
	if !r.c.Successive {
		return
	}
	own := e.records[r.c.Self]
	if at := r.recent.latest(fp); at.After(own.FinishedAt) {
		own.FinishedAt = at
		e.records[r.c.Self] = own
	}
	r.spreadFinish(now, fp, e)
	r.trackRefused(now, fp)
}

// spreadFinish publishes the VM's own record if its latest finish clears crashes that make
// the fingerprint suspect on other VMs.
func (r *Registry) spreadFinish(now time.Time, fp Fingerprint, e *entry) {
	own := e.records[r.c.Self]
	if !own.FinishedAt.After(e.finishSpread) {
		return
	}
	crashes := e.crashes(now, r.c)
	here := r.c.count(crashes, e.finishedAt())
	e.records[r.c.Self] = Record{Crashes: own.Crashes, FinishedAt: e.finishSpread}
	elsewhere := r.c.count(crashes, e.finishedAt())
	e.records[r.c.Self] = own
	if elsewhere >= r.c.SuspectAfter && here < elsewhere {
		r.publish(fp, e)
	}
}

// publishDue publishes the records that have waited long enough.
func (r *Registry) publishDue(now time.Time) {
	for fp, due := range r.waiting {
		if now.Before(due) {
			continue
		}
		delete(r.waiting, fp)
		if e := r.entries[fp]; e != nil && e.judge(now, r.c).Reason != ReasonExonerated {
			r.publish(fp, e)
		}
	}
}
