package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

const deadly Fingerprint = 7

// fleet plays callers that send the same deadly request again and again through
// any VM, by events in order of time. Gossip takes up to spreadTime.
type fleet struct {
	t       *rapid.T
	now     time.Time
	events  []event
	vms     []*Registry
	crashes int
	// hasty callers send again at once; early counts how often one did.
	hasty bool
	early int
}

type event struct {
	at time.Time
	fn func()
}

func (f *fleet) after(d time.Duration, fn func()) {
	f.events = append(f.events, event{at: f.now.Add(d), fn: fn})
}

func (f *fleet) run() {
	for len(f.events) > 0 {
		slices.SortStableFunc(f.events, func(a, b event) int { return a.at.Compare(b.at) })
		next := f.events[0]
		f.events = f.events[1:]
		f.now = next.at
		next.fn()
	}
}

func (f *fleet) millis(most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(f.t, label)) * time.Millisecond
}

// gossip hands what a VM has to spread to all others, each after a time of its own.
func (f *fleet) gossip(from *Registry) {
	for _, item := range from.Pending(f.now) {
		for _, to := range f.vms {
			f.after(f.millis(int(from.c.SpreadTime.Milliseconds()), "spread"), func() {
				assert.NilError(f.t, to.Merge(f.now, item))
			})
		}
	}
}

// send is one call of a caller, who sends it again when it has its answer.
func (f *fleet) send(resends int) {
	vm := rapid.SampledFrom(f.vms).Draw(f.t, "vm")
	f.attempt(vm, resends, rapid.IntRange(1, 4).Draw(f.t, "attempts"))
}

func (f *fleet) attempt(vm *Registry, resends, attempts int) {
	v := vm.Judge(f.now, deadly)
	if v.Action == ActionRefuse || attempts == 0 {
		f.answer(vm, resends)
		return
	}
	f.after(f.millis(300, "run"), func() {
		f.crashes++
		id := call.ReplicaID(fmt.Sprint(f.crashes))
		vm.Crashed(f.now, deadly, id, v.Action == ActionAlone)
		f.gossip(vm)
		f.attempt(vm, resends, attempts-1)
	})
}

func (f *fleet) answer(vm *Registry, resends int) {
	wait := vm.Publish(f.now, deadly)
	f.gossip(vm)
	if f.hasty && wait > 0 {
		wait = 0
		f.early++
	}
	if resends > 0 {
		f.after(wait+f.millis(100, "pause"), func() { f.send(resends - 1) })
	}
}

// A request that crashes every server takes down no more than the stated cap,
// through however many VMs and in however many copies at a time it is sent. A
// resend before its Retry-After counts as a further copy.
func TestCapOverResends(t *testing.T) {
	for _, copies := range []int{1, 2, 4, -1, -2} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			hasty := copies < 0
			copies := max(copies, -copies)
			rapid.Check(t, func(t *rapid.T) {
				f := &fleet{t: t, now: time.Unix(1000, 0), hasty: hasty}
				c := Config{SpreadTime: time.Second}.Defaults()
				for i := range rapid.IntRange(1, 6).Draw(t, "vms") {
					r, err := New(Config{Self: call.VMID(fmt.Sprint(i)), SpreadTime: c.SpreadTime})
					assert.NilError(t, err)
					f.vms = append(f.vms, r)
				}
				for range copies {
					f.after(f.millis(500, "start"), func() { f.send(8) })
				}
				f.run()
				limit := c.Cap(copies + f.early)
				assert.Assert(t, f.crashes <= limit, "%d crashes, cap %d", f.crashes, limit)
				for _, vm := range f.vms {
					assert.Equal(t, vm.Judge(f.now, deadly).Action, ActionRefuse)
				}
			})
		})
	}
}
