package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

const drafts call.Model = "drafts"

var t0 = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

type versions = map[call.Version]int

func TestTask(t *testing.T) {
	const keep = 10 * time.Second
	tests := []struct {
		name string
		// listed are the versions from zero and from five seconds on.
		first, then versions
		base        call.Version
		revision    int64
		unread      bool
		after       time.Duration
		want        Task
	}{
		{name: "no replica", want: Task{Kind: TaskNone}},
		{name: "not read", first: versions{"v1": 3}, unread: true, want: Task{Kind: TaskRead}},
		{name: "none in the store", first: versions{"v1": 3}, want: Task{Kind: TaskWrite, Version: "v1"}},
		{name: "none in the store, two versions", first: versions{"v2": 2, "v1": 2, "v3": 1}, want: Task{Kind: TaskWrite, Version: "v1"}},
		{name: "none in the store, most replicas", first: versions{"v2": 3, "v1": 2}, want: Task{Kind: TaskWrite, Version: "v2"}},
		{name: "in force", first: versions{"v1": 3, "v2": 9}, base: "v1", revision: 7, want: Task{Kind: TaskNone}},
		{name: "gone, streams are left", first: versions{"v1": 3}, then: versions{"v2": 3}, base: "v1", revision: 7, after: 14 * time.Second, want: Task{Kind: TaskNone}},
		{
			name: "gone for long", first: versions{"v1": 3}, then: versions{"v2": 3}, base: "v1", revision: 7, after: 15 * time.Second,
			want: Task{Kind: TaskWrite, Version: "v2", Revision: 7},
		},
		{name: "gone when the VM started", first: versions{"v2": 3}, base: "v1", revision: 7, after: 9 * time.Second, want: Task{Kind: TaskNone}},
		{
			name: "gone for long after the VM started", first: versions{"v2": 3}, base: "v1", revision: 7, after: keep,
			want: Task{Kind: TaskWrite, Version: "v2", Revision: 7},
		},
		{name: "back", first: versions{"v2": 3}, then: versions{"v1": 1, "v2": 3}, base: "v1", revision: 7, after: 6 * time.Second, want: Task{Kind: TaskRead}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(Config{Keep: keep})
			r.SetVersions(t0, drafts, tt.first)
			if !tt.unread {
				r.SetBase(drafts, tt.base, tt.revision)
			}
			if tt.then != nil {
				r.SetVersions(at(5*time.Second), drafts, tt.then)
			}
			assert.Equal(t, r.Task(at(tt.after), drafts), tt.want)
		})
	}
}

// A stream needs a record unless it begins at a base that this VM knows to be in force.
func TestNeedsRecord(t *testing.T) {
	r := New(Config{})
	r.SetVersions(t0, drafts, versions{"v1": 3, "v2": 1})
	assert.Assert(t, r.NeedsRecord(drafts, "v1"), "the base is not known yet")
	r.SetBase(drafts, "v1", 5)
	assert.Assert(t, !r.NeedsRecord(drafts, "v1"))
	assert.Assert(t, r.NeedsRecord(drafts, "v2"))
	assert.Assert(t, !r.NeedsRecord(drafts, ""), "its replica does not say")
	r.SetVersions(at(time.Second), drafts, versions{"v2": 4})
	r.SetVersions(at(2*time.Second), drafts, versions{"v1": 1, "v2": 4})
	assert.Assert(t, r.NeedsRecord(drafts, "v1"), "it may have been replaced meanwhile")
	r.SetBase(drafts, "v1", 5)
	assert.Assert(t, !r.NeedsRecord(drafts, "v1"))
	r.SetBase(drafts, "v2", 4)
	assert.Assert(t, !r.NeedsRecord(drafts, "v1"), "an older revision does not count")
	r.Reread()
	assert.Assert(t, r.NeedsRecord(drafts, "v1"))
}

// While only one version serves, and has for as long as streams may be taken up, nothing has to
// be read.
func TestSole(t *testing.T) {
	r := New(Config{Keep: 10 * time.Second})
	r.SetVersions(t0, drafts, versions{"v1": 3})
	sole := func(after time.Duration, recent bool) bool {
		_, ok := r.Sole(at(after), drafts, recent)
		return ok
	}
	assert.Assert(t, !sole(time.Minute, false), "the base is not known")
	assert.Assert(t, sole(time.Minute, true))
	r.SetBase(drafts, "v1", 5)
	assert.Assert(t, !sole(9*time.Second, false))
	assert.Assert(t, sole(9*time.Second, true))
	assert.Assert(t, sole(10*time.Second, false))
	r.SetVersions(at(time.Minute), drafts, versions{"v1": 3, "v2": 1})
	assert.Assert(t, !sole(70*time.Second, true))
	r.SetVersions(at(80*time.Second), drafts, versions{"v1": 3})
	assert.Assert(t, !sole(89*time.Second, true))
	assert.Assert(t, sole(90*time.Second, false))
	r.Began(at(0), "1", Stream{Service: drafts, Version: "v1"}, 30*time.Second)
	assert.Assert(t, !sole(90*time.Second, false), "a caller may wait for longer")
}

func TestStreamsAreBounded(t *testing.T) {
	r := New(Config{MaxStreams: 4, Keep: time.Second})
	for i := range 100 {
		r.Began(t0, fmt.Sprint(i), Stream{Service: drafts, Version: "v2"}, 0)
	}
	assert.Equal(t, len(r.Recorded(t0)), 4)
	_, ok := r.Lookup(t0, "95")
	assert.Assert(t, !ok)
	s, ok := r.Lookup(t0, "99")
	assert.Assert(t, ok)
	assert.Equal(t, s.Version, call.Version("v2"))
	_, ok = r.Lookup(at(time.Second), "99")
	assert.Assert(t, !ok, "no caller takes it up any more")
	assert.Equal(t, len(r.Recorded(at(time.Second))), 0)
}

// fleet is a simulation of VMs that begin and take up streams while versions come and go.
type fleet struct {
	now      time.Time
	vms      []*Registry
	listed   versions
	base     call.Version
	revision int64
	records  map[string]call.Version
}

func (f *fleet) tick() {
	for _, vm := range f.vms {
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

// find is what a VM makes of a stream that it may never have seen.
func (f *fleet) find(vm *Registry, id string) call.Version {
	if s, ok := vm.Lookup(f.now, id); ok {
		return s.Version
	}
	if version, ok := vm.Sole(f.now, drafts, false); ok {
		return version
	}
	if version, ok := f.records[id]; ok {
		return version
	}
	base, known, inForce := vm.Base(drafts)
	if !known || !inForce {
		vm.SetBase(drafts, f.base, f.revision)
		base, _, _ = vm.Base(drafts)
	}
	return base
}

// Over random releases and restarts, each VM finds the version at which a stream began, for as
// long as its caller may take it up.
func TestEveryVMFindsTheVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: t0, listed: versions{"v1": 3}, records: map[string]call.Version{}}
		start := func() *Registry {
			vm := New(Config{Keep: 10 * time.Second})
			vm.SetVersions(f.now, drafts, f.listed)
			return vm
		}
		for range rapid.IntRange(1, 3).Draw(t, "vms") {
			f.vms = append(f.vms, start())
		}
		type stream struct {
			id      string
			version call.Version
			began   time.Time
		}
		var streams []stream
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond)
			f.tick()
			vm := rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				f.listed = versions{}
				for _, version := range []call.Version{"v1", "v2", "v3"} {
					if n := rapid.IntRange(-2, 3).Draw(t, "replicas"); n > 0 {
						f.listed[version] = n
					}
				}
				for _, vm := range f.vms {
					vm.SetVersions(f.now, drafts, f.listed)
				}
			case 1:
				f.vms[vm] = start()
			case 2:
				for i := range f.vms {
					f.vms[i] = start()
				}
			default:
				for version := range f.listed {
					s := stream{fmt.Sprint(step, version), version, f.now}
					f.vms[vm].Began(f.now, s.id, Stream{Service: drafts, Version: version}, 8*time.Second)
					if f.vms[vm].NeedsRecord(drafts, version) {
						f.records[s.id] = version
					}
					streams = append(streams, s)
				}
			}
			f.tick()
			for _, s := range streams {
				if f.now.Sub(s.began) > 8*time.Second {
					continue
				}
				for i, vm := range f.vms {
					if f.base != "" {
						assert.Equal(t, f.find(vm, s.id), s.version, "stream %s at VM %d, %s after it began, base %s", s.id, i, f.now.Sub(s.began), f.base)
					}
				}
			}
		}
	})
}
