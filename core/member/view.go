package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// maxUnlisted bounds the number of VMs known only by their statements.
const maxUnlisted = 1024

// View is the local VM's view of the fleet. It is safe for concurrent use.
type View struct {
	config  Config
	mu      sync.Mutex
	entries map[call.VMID]*entry
	// order holds the entries sorted by ID; nil after one was added or removed.
	order []*entry
	// listAt is when the last list was applied.
	listAt time.Time
}

// New returns an empty view. Unset fields of the config get their defaults.
//
// Errors: NotValid.
func New(c Config) (*View, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "member.New")
	}
	return &View{config: c, entries: map[call.VMID]*entry{}}, nil
}

// SetList applies the platform's list, which lags behind the VMs' states. While
// the platform is down it is not called and the last list stays in effect.
func (v *View) SetList(now time.Time, list VMs) ListResult {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(list) == 0 {
		return v.handleEmptyList()
	}
	listed := make(map[call.VMID]bool, len(list))
	for _, vm := range list {
		listed[vm.ID] = true
		v.applyListed(vm)
	}
	for id, e := range v.entries {
		v.applyUnlisted(now, id, e, listed[id])
	}
	v.listAt = now
	return ListTaken
}

func (v *View) handleEmptyList() ListResult {
	if v.listAt.IsZero() {
		return ListEmpty
	}
	return ListKept
}

func (v *View) applyListed(vm VM) {
	e := v.entry(vm.ID)
	if e.listed.Address != vm.Address {
		// Another VM has taken over the ID: the answers and missed
		// heartbeats of the previous one no longer apply.
		e.misses = 0
		e.answeredState = ""
	}
	e.listed = vm
	e.onList = true
	e.unlistedAt = time.Time{}
}

// applyUnlisted handles a VM that may be missing from the list. A missing VM is
// gone unless it makes a statement later, and is removed after StatementMaxAge.
func (v *View) applyUnlisted(now time.Time, id call.VMID, e *entry, listed bool) {
	if listed {
		return
	}
	if e.onList {
		e.onList = false
		e.unlistedAt = now
	}
	latest := e.unlistedAt
	if e.statementAt.After(latest) {
		latest = e.statementAt
	}
	if now.Sub(latest) >= v.config.StatementMaxAge {
		delete(v.entries, id)
		v.order = nil
	}
}

// ApplyStatement applies a VM's statement about itself. It returns false if the
// statement is not newer than the last one, or if too many unlisted VMs are known.
func (v *View) ApplyStatement(now time.Time, s Statement) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entries[s.VM.ID] == nil && len(v.entries) >= v.listedCount()+maxUnlisted {
		return false
	}
	return v.entry(s.VM.ID).applyStatement(now, s)
}

func (v *View) listedCount() int {
	n := 0
	for _, e := range v.entries {
		if e.onList {
			n++
		}
	}
	return n
}

// Answered records that a VM answered a heartbeat or health check of the local VM
// with its state.
func (v *View) Answered(now time.Time, id call.VMID, state State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.entries[id]; e != nil {
		e.answeredState = state
		e.answeredAt = now
		e.misses = 0
	}
}

// Missed records that a VM did not answer a heartbeat or health check in time.
func (v *View) Missed(now time.Time, id call.VMID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[id]
	if e == nil {
		return
	}
	if e.misses == 0 {
		e.missedAt = now
	}
	e.misses++
}

// ApplyOpinion applies another VM's report that a VM does not answer it. It
// returns false if the report does not count: it precedes the VM's last statement,
// it comes from a zone that is neither the VM's nor the local one and may be
// partitioned from either, or enough other reports are known.
func (v *View) ApplyOpinion(now time.Time, o Opinion) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[o.About]
	by := v.entries[o.By]
	if e == nil || by == nil || o.By == o.About || o.Version < e.statement.Version() {
		return false
	}
	if zone := by.vm().Zone; zone != e.vm().Zone && zone != v.config.Zone {
		return false
	}
	return e.applyOpinion(now, o.By, v.config)
}

// Opinions returns the opinions that the local VM, whose ID is self, has to spread:
// one about each silent VM, unless enough other VMs' opinions about it are known.
func (v *View) Opinions(now time.Time, self call.VMID) Opinions {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out Opinions
	for id, e := range v.entries {
		if e.silent(now, v.config) && e.currentOpinions(now, v.config) < v.config.maxOpinions() {
			out = append(out, Opinion{By: self, About: id, Version: e.statement.Version()})
		}
	}
	slices.SortFunc(out, func(a, b Opinion) int { return cmp.Compare(a.About, b.About) })
	return out
}

// Verdict returns the verdict on one VM, regardless of the others.
func (v *View) Verdict(now time.Time, id call.VMID) Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[id]
	if e == nil {
		return Verdict{VM: VM{ID: id}, Reason: ReasonUnknown}
	}
	reason := e.reason(now, v.listAt, v.config)
	return Verdict{VM: *e.vm(), Usable: usable(reason), Reason: reason}
}

// Verdicts returns the verdicts on all VMs of a role. If none is usable, the
// silent and the suspected ones are assumed to be live.
func (v *View) Verdicts(now time.Time, role Role) Verdicts {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(Verdicts, 0, len(v.entries))
	none := true
	for _, e := range v.sorted() {
		vm := e.vm()
		if vm.Role != role {
			continue
		}
		reason := e.reason(now, v.listAt, v.config)
		none = none && !usable(reason)
		out = append(out, Verdict{VM: *vm, Usable: usable(reason), Reason: reason})
	}
	if none {
		out.assumeLive()
	}
	return out
}

func (v *View) sorted() []*entry {
	if v.order == nil {
		v.order = slices.SortedFunc(maps.Values(v.entries), func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	}
	return v.order
}

func (v Verdicts) assumeLive() {
	for i := range v {
		if v[i].Reason == ReasonSilent || v[i].Reason == ReasonSuspected {
			v[i].Usable = true
			v[i].Reason = ReasonAssumedLive
		}
	}
}

// Usable returns the VMs of a role that may get new work, sorted by ID.
func (v *View) Usable(now time.Time, role Role) VMs {
	return v.Verdicts(now, role).UsableVMs()
}

// ListAge returns the time since the last list was applied; zero if none was.
func (v *View) ListAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listAt.IsZero() {
		return 0
	}
	return now.Sub(v.listAt)
}

func (v *View) entry(id call.VMID) *entry {
	e := v.entries[id]
	if e == nil {
		e = &entry{id: id}
		v.entries[id] = e
		v.order = nil
	}
	return e
}
