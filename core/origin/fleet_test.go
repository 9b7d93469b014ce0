package origin

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
)

// simVM is a VM of the simulation. Out of step, it is cut off from the store, from the other VMs or from
// both, or stands still.
type simVM struct {
	*Registry
	// told holds the records that other VMs have told.
	told                       map[string]call.Version
	noStore, noPeers, standing bool
	// outOfStepAt is when the VM went out of step.
	outOfStepAt time.Time
}

func (v *simVM) inTouch() bool { return !v.noStore && !v.noPeers && !v.standing }

// fleet is a simulation of VMs that begin and take up streams while versions come and go.
type fleet struct {
	now      time.Time
	vms      []*simVM
	listed   versions
	base     call.Version
	revision int64
	records  map[string]call.Version
	// listedAt is when the versions changed last.
	listedAt time.Time
	// down is true while the store serves nobody, since downAt.
	down   bool
	downAt time.Time
}

// minListed is how long a version is listed at least: a VM that stands still for less misses none.
const minListed = 2 * time.Second

func (f *fleet) start() *simVM {
	vm := &simVM{Registry: New(Config{Keep: 10 * time.Second}), told: map[string]call.Version{}}
	// A VM that starts gets what the others have been told.
	for _, other := range f.vms {
		for id, version := range other.told {
			vm.told[id] = version
		}
	}
	vm.SetVersions(f.now, drafts, f.listed)
	return vm
}

func (f *fleet) reads(vm *simVM) bool { return !f.down && !vm.noStore && !vm.standing }

// list gives the versions to all VMs that hear of them, from the store or from another VM.
func (f *fleet) list() {
	for _, vm := range f.vms {
		heard := f.reads(vm)
		for _, other := range f.vms {
			heard = heard || !vm.noPeers && !vm.standing && !other.noPeers && f.reads(other)
		}
		if heard {
			vm.SetVersions(f.now, drafts, f.listed)
		}
	}
}

func (f *fleet) tick() {
	f.list()
	for _, vm := range f.vms {
		if !f.reads(vm) {
			continue
		}
		for id, version := range vm.told {
			f.records[id] = version
		}
		switch task := vm.Task(f.now, drafts); task.Kind {
		case TaskRead:
			vm.SetBase(drafts, f.base, f.revision)
		case TaskWrite:
			if task.Revision == f.revision {
				f.base, f.revision = task.Version, f.revision+1
			}
			vm.SetBase(drafts, f.base, f.revision)
		case TaskNone:
		}
	}
}

// begin begins a stream at a VM, unless it must not.
func (f *fleet) begin(vm *simVM, id string, version call.Version) bool {
	if vm.standing || f.listed[version] == 0 {
		return false
	}
	vm.Began(f.now, id, Stream{Service: drafts, Version: version}, 8*time.Second)
	if !vm.NeedsRecord(drafts, version) {
		return true
	}
	if f.reads(vm) {
		f.records[id] = version
		return true
	}
	vm.told[id] = version
	reached := !vm.noPeers || len(f.vms) == 1
	for _, other := range f.vms {
		if !vm.noPeers && !other.noPeers && !other.standing {
			other.told[id] = version
		}
		reached = reached && (other == vm || !other.noPeers && !other.standing)
	}
	return reached || vm.BeginsUnrecorded(f.now, drafts, version)
}

// lost reports whether a stream needs a record, and all VMs that had it have started again before
// the store took it.
func (f *fleet) lost(s simStream) bool {
	if _, ok := f.records[s.id]; ok || !s.needsRecord {
		return false
	}
	for _, vm := range f.vms {
		if _, ok := vm.told[s.id]; ok {
			return false
		}
	}
	return true
}

// find is what a VM makes of a stream that it may never have seen.
func (f *fleet) find(vm *simVM, id string) (call.Version, bool) {
	if s, ok := vm.Lookup(f.now, id); ok {
		return s.Version, true
	}
	if version, ok := vm.told[id]; ok {
		return version, true
	}
	if !f.reads(vm) {
		evidence := EvidenceNone
		if f.down && !vm.noPeers && !vm.standing {
			evidence = EvidenceOutage
		}
		return vm.WithoutRecord(f.now, drafts, evidence)
	}
	if version, ok := f.records[id]; ok {
		return version, true
	}
	if _, known, inForce := vm.Base(drafts); !known || !inForce {
		vm.SetBase(drafts, f.base, f.revision)
	}
	return vm.WithoutRecord(f.now, drafts, EvidenceStore)
}

// release changes the versions that serve.
func (f *fleet) release(t *rapid.T) {
	if f.now.Sub(f.listedAt) < minListed {
		return
	}
	f.listed, f.listedAt = versions{}, f.now
	for _, version := range []call.Version{"v1", "v2", "v3"} {
		if n := rapid.IntRange(-2, 3).Draw(t, "replicas"); n > 0 {
			f.listed[version] = n
		}
	}
	f.list()
}

// outage sets whether the store serves nobody. VMs read the bases again after an outage.
func (f *fleet) outage(down bool) {
	if f.down && !down {
		for _, vm := range f.vms {
			vm.Reread(f.now)
		}
	}
	f.down, f.downAt = down, f.now
}

// disturb changes who reaches whom. A VM is out of step for less than half of the time for which
// streams may be taken up.
func (f *fleet) disturb(t *rapid.T) {
	vm := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "disturbed")]
	wasInTouch, wasCut, wasStanding := vm.inTouch(), vm.noStore, vm.standing
	stoodFor := f.now.Sub(vm.outOfStepAt)
	vm.noStore, vm.noPeers, vm.standing = rapid.Bool().Draw(t, "noStore"), rapid.Bool().Draw(t, "noPeers"), rapid.IntRange(0, 3).Draw(t, "standing") == 0
	if wasInTouch {
		vm.outOfStepAt = f.now
	}
	if wasCut && !vm.noStore || wasStanding && !vm.standing && stoodFor >= minListed {
		vm.Reread(f.now)
	}
}

// recover ends what has lasted for long.
func (f *fleet) recover() {
	if f.down && f.now.Sub(f.downAt) > 8*time.Second {
		f.outage(false)
	}
	for _, vm := range f.vms {
		if !vm.inTouch() && f.now.Sub(vm.outOfStepAt) > 4*time.Second {
			vm.Reread(f.now)
			vm.noStore, vm.noPeers, vm.standing = false, false, false
		}
	}
}

// simStream is a stream that has begun.
type simStream struct {
	id      string
	version call.Version
	began   time.Time
	// needsRecord is false if it began at the base.
	needsRecord bool
}

// Over random releases, restarts, cuts, pauses and outages of the store, no VM takes a stream for one
// of another version for as long as its caller may take it up, and each VM that reads the store
// finds its version.
func TestEveryVMFindsTheVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: t0, listed: versions{"v1": 3}, records: map[string]call.Version{}}
		for range rapid.IntRange(1, 4).Draw(t, "vms") {
			f.vms = append(f.vms, f.start())
		}
		var streams []simStream
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond)
			f.recover()
			f.tick()
			vm := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				f.release(t)
			case 1:
				f.vms[vm] = f.start()
			case 2, 3:
				f.disturb(t)
			case 4:
				f.outage(!f.down && rapid.Bool().Draw(t, "down"))
			default:
				for _, version := range slices.Sorted(maps.Keys(f.vms[vm].service(drafts).listed)) {
					s := simStream{fmt.Sprint(step, version), version, f.now, f.vms[vm].NeedsRecord(drafts, version)}
					if f.begin(f.vms[vm], s.id, version) {
						streams = append(streams, s)
					}
				}
			}
			f.tick()
			f.check(t, streams)
		}
	})
}

func (f *fleet) check(t *rapid.T, streams []simStream) {
	for _, s := range streams {
		if f.now.Sub(s.began) > 8*time.Second || f.lost(s) {
			continue
		}
		for i, vm := range f.vms {
			if vm.standing {
				continue
			}
			version, known := f.find(vm, s.id)
			assert.Assert(t, known || !f.reads(vm) || f.base == "", "stream %s at VM %d is not found", s.id, i)
			// A VM takes up nothing at a version that has no replica.
			if known && f.listed[version] > 0 {
				assert.Equal(t, version, s.version, "stream %s at VM %d, %s after it began, base %s", s.id, i, f.now.Sub(s.began), f.base)
			}
		}
	}
}
