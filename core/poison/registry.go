package poison

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Registry keeps the VM's own records and those received from other VMs.
type Registry struct {
	c       Config
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	pending map[Fingerprint]bool
	// waiting holds when records that are kept back become pending.
	waiting map[Fingerprint]time.Time
	// refused holds the fingerprints that Judge refuses, with Config.Successive; some may not
	// be refused any more.
	refused map[Fingerprint]bool
	recent  recentFinishes
}

// entry holds all VMs' records of one fingerprint.
type entry struct {
	records map[call.VMID]Record
	// published is true once the VM's own record is to be spread; version is that
	// record's latest version.
	published bool
	version   uint64
	updated   time.Time
	// ahead is Config.Ahead; nil if all clocks agree.
	ahead func(call.VMID) time.Duration
	// finishSpread is the VM's own Record.FinishedAt as last made pending.
	finishSpread time.Time
}

// New returns an empty registry. Unset fields of the config get their defaults.
//
// Errors: NotValid if the config is not valid.
func New(c Config) (*Registry, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "poison.New")
	}
	return &Registry{
		c: c, entries: map[Fingerprint]*entry{}, pending: map[Fingerprint]bool{}, waiting: map[Fingerprint]time.Time{}, refused: map[Fingerprint]bool{},
		recent: newRecentFinishes(c.RecentFinishes),
	}, nil
}

// Judge returns whether a request may run, may run only alone or is refused.
func (r *Registry) Judge(now time.Time, fp Fingerprint) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if e == nil {
		return Verdict{Action: ActionRun, Reason: ReasonUnknown}
	}
	return e.judge(now, r.c)
}

func (e *entry) judge(now time.Time, c Config) Verdict {
	crashes, finishes := e.sum(now, c)
	if c.Successive {
		return judgeSuccessive(crashes, e.finishedAt(), c)
	}
	v := Verdict{Action: ActionRun, Reason: ReasonUnknown, Crashes: crashes.distinct(c.CrashWindow), Finishes: finishes}
	exonerated := v.Finishes >= v.Crashes
	if exonerated {
		// Finishes are counted on all VMs at the same time and may be more than the crashes that
		// they were to outweigh: those after the latest finish count by themselves.
		if crashes = crashes.since(e.finishedAt()); crashes.distinct(c.CrashWindow) >= c.SuspectAfter {
			v.Crashes, v.Finishes, exonerated = crashes.distinct(c.CrashWindow), 0, false
		}
	}
	switch {
	case v.Crashes == 0:
	case exonerated:
		v.Reason = ReasonExonerated
	case crashes.anyAlone():
		v.Action = ActionRefuse
		v.Reason = ReasonCrashedAlone
	case c.RefuseAfter > 0 && v.Crashes >= c.RefuseAfter:
		v.Action = ActionRefuse
		v.Reason = ReasonCrashedOften
	case v.Crashes >= c.SuspectAfter:
		v.Reason = ReasonSuspect
		if c.RefuseAfter == 0 {
			v.Action = ActionAlone
		}
	default:
		v.Reason = ReasonFewCrashes
	}
	return v
}

// sum combines the records of all VMs, without crashes older than Retention.
func (e *entry) sum(now time.Time, c Config) (Crashes, int) {
	finishes := 0
	for _, record := range e.records {
		finishes += record.Finishes
	}
	return e.crashes(now, c), finishes
}

// aheadOf returns how far the clock of a VM's record is ahead.
func (e *entry) aheadOf(by call.VMID) time.Duration {
	if e.ahead == nil {
		return 0
	}
	return e.ahead(by)
}

// crashes returns the crashes in the records of all VMs, without those older than
// Retention.
func (e *entry) crashes(now time.Time, c Config) Crashes {
	var all Crashes
	for by, record := range e.records {
		ahead := e.aheadOf(by)
		all = append(all, record.Crashes.since(now.Add(ahead-c.Retention)).shifted(-ahead)...)
	}
	slices.SortFunc(all, compareCrashes)
	return all
}

// Crashed records that a replica crashed while it ran a request, and returns how
// this VM may run the request next.
func (r *Registry) Crashed(now time.Time, fp Fingerprint, id call.ReplicaID, alone bool) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(now, fp)
	own := e.records[r.c.Self]
	own.Crashes = own.Crashes.merge(Crashes{{Replica: id, At: now, Alone: alone}})
	r.setOwn(now, fp, e, own)
	v := e.judge(now, r.c)
	if v.Crashes >= r.c.SuspectAfter {
		r.publish(fp, e)
	}
	return v
}

// Finished records that a run ended with a complete response. For a request without
// crashes it costs only a few map accesses, and for an exonerated one it changes nothing.
func (r *Registry) Finished(now time.Time, fp Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if r.c.Successive {
		r.finishedSuccessive(now, fp, e)
		return
	}
	if e == nil {
		return
	}
	if v := e.judge(now, r.c); v.Finishes >= v.Crashes {
		return
	}
	own := e.records[r.c.Self]
	own.Finishes++
	own.FinishedAt = later(own.FinishedAt, now)
	r.setOwn(now, fp, e, own)
	if !e.onlyOwn(r.c.Self) {
		r.publish(fp, e)
		return
	}
	if e.judge(now, r.c).Reason == ReasonExonerated {
		delete(r.entries, fp)
	}
}

// onlyOwn reports whether the VM's own record is the only one and is unpublished.
func (e *entry) onlyOwn(self call.VMID) bool {
	_, own := e.records[self]
	return !e.published && own && len(e.records) == 1
}

// Publish marks the record for gossip. It must be called when a call that observed
// a crash fails, as its caller may send it again through any VM. It returns the
// Retry-After of the response, after which all VMs know of the crash.
func (r *Registry) Publish(now time.Time, fp Fingerprint) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if e == nil {
		return 0
	}
	if _, waits := r.waiting[fp]; waits || !e.published {
		r.publish(fp, e)
		return r.c.SpreadTime
	}
	latest := e.records[r.c.Self].Crashes.latest()
	return max(0, r.c.SpreadTime-now.Sub(latest))
}

func (r *Registry) setOwn(now time.Time, fp Fingerprint, e *entry, own Record) {
	e.records[r.c.Self] = own
	e.updated = now
	e.version = max(e.version+1, uint64(now.UnixNano()))
	if e.published {
		r.pending[fp] = true
	}
}

func (r *Registry) publish(fp Fingerprint, e *entry) {
	e.published = true
	delete(r.waiting, fp)
	e.finishSpread = e.records[r.c.Self].FinishedAt
	r.pending[fp] = true
}

// Pending returns the VM's own published records that changed since the last call.
func (r *Registry) Pending(now time.Time) Items {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Items
	for fp := range r.pending {
		if e := r.entries[fp]; e != nil {
			out = append(out, r.item(now, fp, e))
		}
	}
	clear(r.pending)
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (r *Registry) item(now time.Time, fp Fingerprint, e *entry) Item {
	value, err := json.Marshal(e.records[r.c.Self])
	if err != nil {
		// Marshalling fails only for times after year 9999, which do not occur.
		value = []byte("{}")
	}
	return Item{Key: itemKey(fp, r.c.Self), Version: e.version, Value: value, Expires: now.Add(r.c.Retention)}
}

// Merge adds an item received by gossip. Items may arrive in any order and more
// than once. After a restart it restores the VM's own records from other VMs.
//
// Errors: NotValid; the registry is then unchanged.
func (r *Registry) Merge(now time.Time, item Item) error {
	fp, by, err := parseItemKey(item.Key)
	if err != nil {
		return errors.Annotate(err, "Registry.Merge")
	}
	record, err := ParseRecord(item.Value)
	if err != nil {
		return errors.Annotatef(err, "Registry.Merge: %s", item.Key)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(now, fp)
	e.records[by] = e.records[by].Merge(record)
	e.updated = now
	if by == r.c.Self {
		e.published = true
		e.version = max(e.version, item.Version)
	}
	return nil
}

// Len returns the number of fingerprints known.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// entry returns the entry of a fingerprint, which it creates if there is none.
func (r *Registry) entry(now time.Time, fp Fingerprint) *entry {
	e := r.entries[fp]
	if e == nil {
		r.evict(now)
		e = &entry{records: map[call.VMID]Record{}, ahead: r.c.Ahead}
		r.entries[fp] = e
	}
	return e
}

// evict deletes entries older than Retention once MaxFingerprints is reached and,
// if that is not enough, a quarter of the entries: first those that are neither suspect nor
// restricted, then suspects, of them those that only this VM knows, then by age, oldest first.
func (r *Registry) evict(now time.Time) {
	if len(r.entries) < r.c.MaxFingerprints {
		return
	}
	kept := make([]Fingerprint, 0, len(r.entries))
	rank := make(map[Fingerprint]int)
	for fp, e := range r.entries {
		if now.Sub(e.updated) >= r.c.Retention {
			r.remove(fp)
			continue
		}
		kept = append(kept, fp)
		switch v := e.judge(now, r.c); {
		case v.Action != ActionRun:
			rank[fp] = 2
		case v.Reason == ReasonSuspect:
			rank[fp] = 1
		}
	}
	if len(kept) < r.c.MaxFingerprints {
		return
	}
	slices.SortFunc(kept, func(a, b Fingerprint) int {
		x, y := r.entries[a], r.entries[b]
		return cmp.Or(cmp.Compare(rank[a], rank[b]), compareBool(x.shared(), y.shared()), x.updated.Compare(y.updated), cmp.Compare(a, b))
	})
	for _, fp := range kept[:len(kept)/4+1] {
		r.remove(fp)
	}
}

func (r *Registry) remove(fp Fingerprint) {
	delete(r.entries, fp)
	delete(r.refused, fp)
	delete(r.waiting, fp)
}

// shared reports whether other VMs know of the fingerprint, too.
func (e *entry) shared() bool { return e.published || len(e.records) > 1 }
