package prober

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

func TestSelect(t *testing.T) {
	vm := func(id, zone string) VM { return VM{ID: call.VMID(id), Zone: call.Zone(zone), CanRead: true} }
	lost, away := vm("a", "1"), vm("a", "1")
	lost.CanRead, away.Unreachable = false, true
	for name, test := range map[string]struct {
		vms  []VM
		want string
	}{
		"none":              {nil, ""},
		"one":               {[]VM{vm("a", "1")}, "a"},
		"one zone":          {[]VM{vm("d", "1"), vm("b", "1"), vm("a", "1"), vm("c", "1")}, "a b c"},
		"two zones":         {[]VM{vm("a", "1"), vm("b", "1"), vm("c", "2"), vm("d", "2")}, "a c b"},
		"three zones":       {[]VM{vm("a", "1"), vm("b", "1"), vm("c", "2"), vm("d", "3")}, "a c d"},
		"store lost":        {[]VM{lost, vm("b", "1"), vm("c", "2")}, "b c"},
		"cannot be reached": {[]VM{away, vm("b", "1"), vm("c", "2")}, "b c"},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, id := range Select(test.vms) {
				got = append(got, string(id))
			}
			assert.Equal(t, strings.Join(got, " "), test.want)
		})
	}
}

func TestScheduleConfig(t *testing.T) {
	_, err := New(Config{Self: "a", Interval: time.Second})
	assert.Assert(t, errors.Is(err, errors.NotValid), "%v", err)
}

// Plays a schedule in steps of 50 ms and writes down when it is due.
func TestSchedule(t *testing.T) {
	three := []VM{{ID: "a", Zone: "1", CanRead: true}, {ID: "b", Zone: "2", CanRead: true}, {ID: "c", Zone: "3", CanRead: true}, {ID: "d", Zone: "1", CanRead: true}}
	for name, test := range map[string]struct {
		self call.VMID
		// heardEvery is how often another VM tells of a read, until heardUntil.
		heardEvery, heardUntil time.Duration
		// heardAt is when another VM tells of a single read.
		heardAt time.Duration
		// until is the end, three seconds if it is zero; fails makes all reads fail, aged makes the last one
		// that confirms the copy an hour old.
		until                 time.Duration
		isolated, fails, aged bool
		want                  string
	}{
		"first":                       {self: "a", want: "first 700ms, first 1.4s, first 2.1s, first 2.8s"},
		"first, another one is ahead": {self: "a", heardEvery: 500 * time.Millisecond, heardUntil: 2 * time.Second, want: "first 2.7s"},
		"second, all is well":         {self: "b", heardEvery: 700 * time.Millisecond, heardUntil: 3 * time.Second},
		"second, the first stops":     {self: "b", heardEvery: 700 * time.Millisecond, heardUntil: time.Second, want: "takeover 1.65s, takeover 2.6s"},
		"third, the first stops":      {self: "c", heardEvery: 700 * time.Millisecond, heardUntil: time.Second, want: "takeover 1.9s"},
		"not among them, all is well": {self: "d", heardEvery: 700 * time.Millisecond, heardUntil: 3 * time.Second},
		"not among them, none reads":  {self: "d", heardEvery: 700 * time.Millisecond, heardUntil: 700 * time.Millisecond, want: "late 2.25s"},
		"its reads fail":              {self: "d", fails: true, until: 12 * time.Second, want: "late 1.55s, late 4.65s, late 10.8s"},
		"its reads fail, then others": {self: "d", fails: true, until: 12 * time.Second, heardAt: 5 * time.Second, want: "late 1.55s, late 4.65s, late 6.55s, late 9.65s"},
		"no read confirms its copy":   {self: "d", heardEvery: 700 * time.Millisecond, heardUntil: 3 * time.Second, aged: true, want: "late 1.55s"},
		"first, nor does its own":     {self: "a", aged: true, want: "first 700ms, first 1.4s, first 2.1s, first 2.8s"},
		"not among them, isolated":    {self: "d", isolated: true, want: "isolated 700ms, isolated 1.4s, isolated 2.1s, isolated 2.8s"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := New(Config{Self: test.self, Interval: 700 * time.Millisecond, Step: 250 * time.Millisecond})
			assert.NilError(t, err)
			s.SetVMs(three)
			start := time.Unix(1000, 0)
			var got []string
			state := State{Isolated: test.isolated}
			if test.aged {
				state.Age = time.Hour
			}
			for at := time.Duration(0); at < cmp.Or(test.until, 3*time.Second); at += 50 * time.Millisecond {
				if test.heardAt > 0 && at == test.heardAt {
					s.Heard(start.Add(at))
				}
				if test.heardEvery > 0 && at%test.heardEvery == 0 && at <= test.heardUntil {
					s.Heard(start.Add(at))
				}
				if reason, due := s.Due(start.Add(at), state); due {
					s.Answered(!test.fails)
					got = append(got, fmt.Sprint(reason, " ", at))
				}
			}
			assert.Equal(t, strings.Join(got, ", "), test.want)
		})
	}
}

// Guards against a VM that hears of no read, or of each one several times.
func TestChildren(t *testing.T) {
	for n := 1; n <= 300; n = n*3/2 + 1 {
		var vms []call.VMID
		for i := range n {
			vms = append(vms, call.VMID(fmt.Sprintf("vm-%03d", i)))
		}
		for turn := range uint64(3) {
			reader := vms[n/2]
			told, depth := map[call.VMID]int{reader: 0}, 0
			for next := []call.VMID{reader}; len(next) > 0; depth++ {
				var reached []call.VMID
				for _, id := range next {
					for _, child := range Children(vms, reader, id, turn) {
						told[child]++
						reached = append(reached, child)
					}
				}
				next = reached
			}
			assert.Equal(t, len(told), n)
			for id, times := range told {
				assert.Assert(t, times == 1 || id == reader && times == 0, "%s is told %d times", id, times)
			}
			assert.Assert(t, depth <= 4, "%d VMs: %d messages one after the other", n, depth-1)
		}
	}
	assert.Equal(t, len(Children([]call.VMID{"a", "b"}, "a", "c", 0)), 0, "not known")
	// A reader that is not known yet is told of by those that are.
	assert.Equal(t, len(Children([]call.VMID{"a", "b"}, "c", "c", 0)), 2)
}
