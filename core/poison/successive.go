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

// RefusedParts returns those of a request's fingerprints that Judge refuses, unless a Suspect
// that the request does not have explains their crashes. It costs little, and allocates nothing,
// unless most of the crashes that are needed to refuse have been seen.
//
// What is in flight at a crash is all that may be its cause: requests and their parts. A request
// without the suspect is let through and tells which one is the cause: it finishes, or it
// crashes a replica without the suspect, which then explains too few of the crashes.
func (r *Registry) RefusedParts(now time.Time, fps []Fingerprint) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Fingerprint
	for _, fp := range fps {
		if !r.refuses(now, fp) || slices.Contains(out, fp) {
			continue
		}
		if _, explained := r.explanation(now, fp, fps); !explained {
			out = append(out, fp)
		}
	}
	return out
}

// Explanation returns what explains the crashes of a refused fingerprint, so that RefusedParts
// does not return it for a request with some fingerprints. It reports false if nothing does, or
// if the fingerprint is not refused.
func (r *Registry) Explanation(now time.Time, fp Fingerprint, fps []Fingerprint) (Suspect, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refuses(now, fp) {
		return Suspect{}, false
	}
	return r.explanation(now, fp, fps)
}

// explanation is Explanation for a fingerprint that is refused.
func (r *Registry) explanation(now time.Time, fp Fingerprint, fps []Fingerprint) (Suspect, bool) {
	e := r.entries[fp]
	all := e.crashes(now, r.c)
	for _, s := range r.suspects(now, all) {
		if !slices.Contains(fps, s.Fingerprint) && r.explains(s, all, e.finishedAt()) {
			return s, true
		}
	}
	if r.c.Requests == nil {
		return Suspect{}, false
	}
	for _, s := range r.c.Requests(now, all) {
		if r.explains(s, all, e.finishedAt()) {
			s.Request = true
			return s, true
		}
	}
	return Suspect{}, false
}

// explains reports whether a suspect explains the crashes of a fingerprint that count after its
// latest finish. It does if without the crashes of the suspect too few are left to refuse the
// fingerprint, and if the suspect was in flight at the latest of them or at more crashes without
// the fingerprint than with it.
func (r *Registry) explains(s Suspect, all Crashes, finishedAt time.Time) bool {
	rest := all.without(s.Crashes, r.c.CrashWindow)
	if r.c.count(rest, finishedAt) >= r.c.RefuseAfter {
		return false
	}
	without := s.Crashes.without(all, r.c.CrashWindow).distinct(r.c.CrashWindow)
	return s.Crashes.cover(all[len(all)-1:], r.c.CrashWindow) || 2*without > s.Crashes.distinct(r.c.CrashWindow)
}

// Suspects returns the refused fingerprints that were in flight at one of some crashes.
func (r *Registry) Suspects(now time.Time, crashes Crashes) []Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects(now, crashes)
}

func (r *Registry) suspects(now time.Time, crashes Crashes) []Suspect {
	var out []Suspect
	for fp := range r.refused {
		e := r.entries[fp]
		if !e.coversAny(crashes, r.c.CrashWindow) || !r.refuses(now, fp) {
			continue
		}
		out = append(out, Suspect{Fingerprint: fp, Crashes: e.crashes(now, r.c).since(e.finishedAt())})
	}
	return out
}

// refuses reports whether judge refuses a fingerprint.
func (r *Registry) refuses(now time.Time, fp Fingerprint) bool {
	e := r.entries[fp]
	if e == nil || e.countSince(r.counted(now, e)) < r.c.RefuseAfter {
		return false
	}
	return e.judge(now, r.c).Action == ActionRefuse
}

// counted returns the time after which an entry's crashes count.
func (r *Registry) counted(now time.Time, e *entry) time.Time {
	return later(e.finishedAt(), now.Add(-r.c.Retention))
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

// coversAny reports whether the record of a VM covers one of some crashes.
func (e *entry) coversAny(crashes Crashes, window time.Duration) bool {
	for by, record := range e.records {
		ahead := e.aheadOf(by)
		for i := range record.Crashes {
			own := &record.Crashes[i]
			for j := range crashes {
				if own.Replica == crashes[j].Replica && own.At.Add(-ahead).Sub(crashes[j].At).Abs() <= window {
					return true
				}
			}
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
