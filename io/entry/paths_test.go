package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/io/entry"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
	"gentianwell/platform"
)

const (
	pathVMs = 4
	// pathBound is the platform's bound for a change.
	pathBound = 2 * time.Second
)

// pathFleet is some VMs of which the first one is about to stand still: it reads and tells nothing.
type pathFleet struct {
	store *fakekv.Fake
	vms   []*entry.Entry
	// off is empty until the paths are switched off. With one set, those by which a VM reads are switched
	// off on the last VM only.
	off      atomic.Pointer[[]entry.Path]
	one      bool
	switched atomic.Int64
}

var pathAddresses atomic.Uint32

func pathAddress() netip.AddrPort {
	n := pathAddresses.Add(1)
	return netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:11900", 192+os.Getpid()%60, n>>8&0xff, n&0xff))
}

// isOff reports whether a path of a VM is switched off.
func (f *pathFleet) isOff(vm int, path entry.Path) bool {
	off := f.off.Load()
	if off == nil {
		return false
	}
	if vm == 0 {
		return true
	}
	if told := path == entry.PathNotice || path == entry.PathPush || path == entry.PathGossip; f.one && !told && vm != pathVMs-1 {
		return false
	}
	return slices.Contains(*off, path)
}

func (f *pathFleet) start(t *testing.T) {
	t.Helper()
	f.put(t, 1)
	var seeds []netip.AddrPort
	for i := range pathVMs {
		service := f.store.Service()
		watch := service.Watch
		service.Watch = func(ctx context.Context, prefix string, from kvs.Revision, fn func(kvs.Batch) error) error {
			began := time.Now().UnixNano()
			return watch(ctx, prefix, from, func(b kvs.Batch) error {
				path := entry.PathWatch
				if at := f.switched.Load(); at != 0 && began > at {
					path = entry.PathRestart
				}
				if f.isOff(i, path) {
					<-ctx.Done()
					return ctx.Err()
				}
				return fn(b)
			})
		}
		log, _ := logtest.NewNullLogger()
		peers := pathAddress()
		e, err := entry.New(entry.Options{
			Config: entry.Config{
				VM: call.VMID(fmt.Sprintf("vm-%d", i)), Zone: call.Zone(fmt.Sprint(i % 3)), CallerAddress: pathAddress(), ReadinessAddress: pathAddress(), PeerAddress: peers,
				StoreAddress: pathAddress(), Seeds: seeds, StopLimit: time.Second, Notice: time.Millisecond,
			},
			Source: platform.Source(service), Headers: platform.Wire(), Log: log, Now: time.Now, Seed: uint64(i),
		})
		assert.NilError(t, err)
		e.SwitchOff(func(path entry.Path) bool { return f.isOff(i, path) })
		seeds = append(seeds, peers)
		f.vms = append(f.vms, e)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- e.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.Check(t, <-ended)
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range f.vms {
			if e.Version() != 1 || e.VMs() != pathVMs {
				return poll.Continue("version %d, %d VMs", e.Version(), e.VMs())
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	time.Sleep(800 * time.Millisecond)
}

func (f *pathFleet) put(t *testing.T, version int64) {
	t.Helper()
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{}, "services": []any{}, "tenants": []any{},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	assert.NilError(t, err)
	f.store.Put("op/config", raw)
}

// late returns the VMs that have not heard of a change in time, the first one left out.
func (f *pathFleet) late(t *testing.T, off []entry.Path) []int {
	t.Helper()
	f.switched.Store(time.Now().UnixNano())
	f.off.Store(&off)
	time.Sleep(50 * time.Millisecond)
	f.put(t, 2)
	var late []int
	for changed := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		late = late[:0]
		for i, e := range f.vms[1:] {
			if e.Version() != 2 {
				late = append(late, i+1)
			}
		}
		if len(late) == 0 || time.Since(changed) >= pathBound {
			return late
		}
	}
}

// Guards against a change that is late because one path by which VMs hear of it fails, or two, while one
// VM stands still (review/7). A change gets to no VM without its watch and its reads; and to a VM without
// both only by what others tell, which it fetches.
func TestPathsOfAChange(t *testing.T) {
	all := []entry.Path{entry.PathWatch, entry.PathRestart, entry.PathRead, entry.PathNotice, entry.PathPush, entry.PathGossip, entry.PathFetch}
	type row struct {
		off  []entry.Path
		one  bool
		late bool
	}
	var rows []row
	for i, a := range all {
		rows = append(rows, row{off: []entry.Path{a}})
		for _, b := range all[i+1:] {
			rows = append(rows, row{off: []entry.Path{a, b}, late: a == entry.PathWatch && b == entry.PathRead})
			if a == entry.PathWatch {
				rows = append(rows, row{off: []entry.Path{a, b}, one: true})
			}
		}
	}
	unread := []entry.Path{entry.PathWatch, entry.PathRestart, entry.PathRead}
	for _, more := range [][]entry.Path{{}, {entry.PathNotice}, {entry.PathPush}, {entry.PathGossip}, {entry.PathNotice, entry.PathPush}, {entry.PathNotice, entry.PathGossip}, {entry.PathPush, entry.PathGossip}} {
		// Nothing is pushed where the other watches deliver.
		onlyPush := slices.Equal(more, []entry.Path{entry.PathNotice, entry.PathGossip})
		rows = append(rows, row{off: append(slices.Clone(unread), more...), one: true, late: onlyPush})
	}
	rows = append(rows,
		row{off: append(slices.Clone(unread), entry.PathFetch), one: true, late: true},
		row{off: append(slices.Clone(unread), entry.PathNotice, entry.PathPush, entry.PathGossip), one: true, late: true},
	)
	for _, r := range rows {
		var names []string
		for _, path := range r.off {
			names = append(names, string(path))
		}
		scope := "all VMs"
		if r.one {
			scope = "one VM"
		}
		t.Run(scope+" without "+strings.Join(names, " "), func(t *testing.T) {
			t.Parallel()
			f := &pathFleet{store: fakekv.New(fakekv.Config{ProgressInterval: time.Minute}), one: r.one}
			f.start(t)
			late := f.late(t, r.off)
			assert.Equal(t, len(late) > 0, r.late, "VMs that have not heard of the change after %s: %v", pathBound, late)
		})
	}
}
