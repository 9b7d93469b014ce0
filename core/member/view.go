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

// maxUnlisted bounds the VMs that are known by their statements alone.
const maxUnlisted = 1024

// View is one VM's view of the others. It is safe for concurrent use.
type View struct {
	c       Config
	mu      sync.Mutex
	entries map[call.VMID]*entry
	// order holds the entries sorted by id; nil after a VM has come or gone.
	order []*entry
	// list is when the last list was taken.
	list time.Time
}

// New returns an empty view. Unset fields of the config get their defaults.
//
// Errors: NotValid.
func New(c Config) (*View, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "member.New")
	}
	return &View{c: c, entries: map[call.VMID]*entry{}}, nil
}

// SetList takes the platform's list, which lags. While the platform is down it
// is not called, and the last list holds.
func (v *View) SetList(now time.Time, list VMs) ListResult {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(list) == 0 {
		return v.empty()
	}
	on := make(map[call.VMID]bool, len(list))
	for _, vm := range list {
		on[vm.ID] = true
		v.take(vm)
	}
	for id, e := range v.entries {
		v.leaveOut(now, id, e, on[id])
	}
	v.list = now
	return ListTaken
}

func (v *View) empty() ListResult {
	if v.list.IsZero() {
		return ListEmpty
	}
	return ListKept
}

func (v *View) take(vm VM) {
	e := v.entry(vm.ID)
	if e.listed.Address != vm.Address {
		// Another machine has the id: what was seen of the former one is void.
		e.misses = 0
		e.answered = ""
	}
	e.listed = vm
	e.onList = true
	e.gone = time.Time{}
}

// leaveOut handles a VM that the list does not have: gone, unless it speaks
// after that; forgotten some time later.
func (v *View) leaveOut(now time.Time, id call.VMID, e *entry, on bool) {
	if on {
		return
	}
	if e.onList {
		e.onList = false
		e.gone = now
	}
	latest := e.gone
	if e.saidAt.After(latest) {
		latest = e.saidAt
	}
	if now.Sub(latest) >= v.c.StatementMaxAge {
		delete(v.entries, id)
		v.order = nil
	}
}

// ApplyStatement takes a VM's own statement. It returns false where it is not newer than
// the last one, or where too many unlisted VMs are known.
func (v *View) ApplyStatement(now time.Time, s Statement) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entries[s.VM.ID] == nil && len(v.entries) >= v.listed()+maxUnlisted {
		return false
	}
	return v.entry(s.VM.ID).hear(now, s)
}

func (v *View) listed() int {
	n := 0
	for _, e := range v.entries {
		if e.onList {
			n++
		}
	}
	return n
}

// Answered tells that the VM answered a heartbeat or health check of this VM,
// with its state.
func (v *View) Answered(now time.Time, id call.VMID, state State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.entries[id]; e != nil {
		e.answered = state
		e.answeredAt = now
		e.misses = 0
	}
}

// Missed tells that the VM did not answer a heartbeat or health check in time.
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

// ApplyOpinion takes another VM's view that a VM does not answer it. It returns
// false where the opinion does not count: it was formed before the VM's last
// statement, it comes from a zone that is neither the VM's nor the own one and
// may be cut off from either, or enough others are known.
func (v *View) ApplyOpinion(now time.Time, o Opinion) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[o.About]
	by := v.entries[o.By]
	if e == nil || by == nil || o.By == o.About || o.Version < e.said.Version() {
		return false
	}
	if zone := by.vm().Zone; zone != e.vm().Zone && zone != v.c.Zone {
		return false
	}
	return e.hearOpinion(now, o.By, v.c)
}

// Opinions returns the VMs that are silent for this VM, named self, to be spread;
// but for those about which enough others have spread theirs.
func (v *View) Opinions(now time.Time, self call.VMID) Opinions {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out Opinions
	for id, e := range v.entries {
		if e.silent(now, v.c) && e.opinionsAt(now, v.c) < v.c.maxOpinions() {
			out = append(out, Opinion{By: self, About: id, Version: e.said.Version()})
		}
	}
	slices.SortFunc(out, func(a, b Opinion) int { return cmp.Compare(a.About, b.About) })
	return out
}

// Verdict returns the verdict about one VM by itself.
func (v *View) Verdict(now time.Time, id call.VMID) Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[id]
	if e == nil {
		return Verdict{VM: VM{ID: id}, Reason: ReasonUnknown}
	}
	reason := e.reason(now, v.list, v.c)
	return Verdict{VM: *e.vm(), Usable: usable(reason), Reason: reason}
}

// Verdicts returns the verdicts about all VMs of a role. Where silence or
// suspicion alone would leave none, those VMs are assumed to live.
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
		reason := e.reason(now, v.list, v.c)
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

// Usable returns the VMs of a role that may get new work, in the order of their ids.
func (v *View) Usable(now time.Time, role Role) VMs {
	return v.Verdicts(now, role).UsableVMs()
}

// ListAge returns how long ago the last list was taken; zero if none was.
func (v *View) ListAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.list.IsZero() {
		return 0
	}
	return now.Sub(v.list)
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
