package poison

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
)

// culpritScene is a simulation of VMs whose replicas crash under one culprit: a part of prompts,
// or a request that its caller sends again. Lost runs are repeated by their VM.
type culpritScene struct {
	t      *rapid.T
	now    time.Time
	events []event
	vms    []*culpritVM
	// running holds the runs on each replica, restarts counts the starts of each.
	running  [6][]*culpritRun
	restarts [6]int
	// part and request are the culprit; one of them is zero.
	part, request Fingerprint
	crashes       []time.Time
	arrivals      []time.Time
	requests      Fingerprint
	// sound counts the requests without the culprit of the last seconds, refused those of them
	// that their VM refused.
	sound, refused int
}

type culpritVM struct {
	ahead           time.Duration
	requests, parts *Registry
}

type culpritRun struct {
	vm       *culpritVM
	request  Fingerprint
	parts    []Fingerprint
	began    time.Time
	attempts int
	ended    bool
}

const (
	// culpritKnownTime is how long VMs have to learn of the crash that makes them refuse.
	culpritKnownTime = 3 * time.Second
	culpritTime      = 12 * time.Second
	// culpritBefore is when the requests with the culprit begin to come.
	culpritBefore = time.Second
)

func newCulpritScene(t *rapid.T) *culpritScene {
	s := &culpritScene{t: t, now: t0, requests: 1000}
	for i := range rapid.IntRange(1, 4).Draw(t, "vms") {
		s.vms = append(s.vms, s.start(i, s.millis(3000, "ahead")))
	}
	return s
}

func (s *culpritScene) start(i int, ahead time.Duration) *culpritVM {
	vm := &culpritVM{ahead: ahead}
	c := refusing
	c.Self, c.Retention, c.RecentFinishes = call.VMID(fmt.Sprint("e", i)), 10*time.Minute, 256
	c.Ahead = func(id call.VMID) time.Duration {
		n, err := strconv.Atoi(strings.TrimPrefix(string(id), "e"))
		if err != nil || n >= len(s.vms) {
			return 0
		}
		return s.vms[n].ahead - vm.ahead
	}
	var err error
	vm.requests, err = New(c)
	assert.NilError(s.t, err)
	c.AllUntilFinished, c.Requests = false, vm.requests.Suspects
	vm.parts, err = New(c)
	assert.NilError(s.t, err)
	return vm
}

func (vm *culpritVM) time(now time.Time) time.Time { return now.Add(vm.ahead) }

func (s *culpritScene) after(d time.Duration, fn func()) {
	s.events = append(s.events, event{at: s.now.Add(d), fn: fn})
}

func (s *culpritScene) millis(most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(s.t, label)) * time.Millisecond
}

func (s *culpritScene) run() {
	for len(s.events) > 0 {
		next := 0
		for i := range s.events {
			if s.events[i].at.Before(s.events[next].at) {
				next = i
			}
		}
		e := s.events[next]
		s.events = slices.Delete(s.events, next, next+1)
		s.now = e.at
		e.fn()
	}
}

// share passes the records of a VM to all others, some tenths of a second later.
func (s *culpritScene) share(vm *culpritVM) {
	for i, from := range []*Registry{vm.requests, vm.parts} {
		for _, fp := range from.TakeChanged(vm.time(s.now)) {
			snapshot := from.Snapshot(fp)
			s.after(s.millis(400, "spread"), func() {
				for _, to := range s.vms {
					registry := []*Registry{to.requests, to.parts}[i]
					assert.NilError(s.t, registry.MergeSnapshot(to.time(s.now), fp, snapshot.Value))
				}
			})
		}
	}
}

// restart starts a VM without what it knew; the store gives it what all have published.
func (s *culpritScene) restart(i int) {
	old := s.vms[i]
	vm := s.start(i, old.ahead)
	for _, other := range s.vms {
		for j, from := range []*Registry{other.requests, other.parts} {
			for _, fp := range from.Published(other.time(s.now)) {
				assert.NilError(s.t, []*Registry{vm.requests, vm.parts}[j].MergeSnapshot(vm.time(s.now), fp, from.Snapshot(fp).Value))
			}
		}
	}
	s.vms[i] = vm
	for i := range s.running {
		s.running[i] = slices.DeleteFunc(s.running[i], func(r *culpritRun) bool { r.ended = r.vm == old; return r.ended })
	}
}

func (s *culpritScene) guilty(r *culpritRun) bool {
	return s.part != 0 && slices.Contains(r.parts, s.part) || r.request == s.request
}

func (s *culpritScene) send(request Fingerprint, parts []Fingerprint) {
	vm := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(s.t, "vm")]
	s.attempt(&culpritRun{vm: vm, request: request, parts: parts})
}

func (s *culpritScene) attempt(r *culpritRun) {
	now := r.vm.time(s.now)
	refused := r.vm.requests.Judge(now, r.request).Action == ActionRefuse || len(r.vm.parts.RefusedParts(now, r.parts)) > 0
	if r.attempts == 0 && !s.guilty(r) && s.now.After(t0.Add(culpritTime-2*time.Second)) {
		s.sound++
		if refused {
			s.refused++
		}
	}
	if refused || r.attempts == 2 {
		return
	}
	r.attempts++
	r.began, r.ended = s.now, false
	n := rapid.IntRange(0, len(s.running)-1).Draw(s.t, "replica")
	s.running[n] = append(s.running[n], r)
	if s.guilty(r) {
		s.arrivals = append(s.arrivals, s.now)
		s.after(time.Millisecond+s.millis(40, "crash"), func() { s.crash(n, r) })
		return
	}
	s.after(50*time.Millisecond+s.millis(400, "run"), func() { s.finish(n, r) })
}

func (s *culpritScene) finish(n int, r *culpritRun) {
	i := slices.Index(s.running[n], r)
	if i < 0 || r.ended {
		return
	}
	r.ended = true
	s.running[n] = slices.Delete(s.running[n], i, i+1)
	r.vm.requests.Finished(r.vm.time(s.now), r.request)
	for _, part := range r.parts {
		r.vm.parts.Finished(r.vm.time(s.now), part)
	}
}

// crash ends a replica with all of its runs.
func (s *culpritScene) crash(n int, r *culpritRun) {
	if !slices.Contains(s.running[n], r) {
		return
	}
	s.crashes = append(s.crashes, s.now)
	s.restarts[n]++
	lost := s.running[n]
	s.running[n] = nil
	replica := call.ReplicaID(fmt.Sprint("r", n, "-", s.restarts[n]))
	for _, r := range lost {
		now := r.vm.time(s.now)
		crash := Crash{Replica: replica, Began: r.vm.time(r.began), At: now}
		r.vm.requests.CrashedRun(now, r.request, crash)
		for _, part := range r.parts {
			r.vm.parts.CrashedRun(now, part, crash)
		}
		r.ended = true
		again := *r
		s.after(s.millis(30, "retry"), func() { s.attempt(&again) })
	}
	for _, vm := range s.vms {
		s.share(vm)
	}
}

// late returns how many arrivals of the culprit came culpritKnownTime after the crash number n.
func (s *culpritScene) late(n int) int {
	if len(s.crashes) < n {
		return 0
	}
	known := s.crashes[n-1].Add(culpritKnownTime)
	late := 0
	for _, at := range s.arrivals {
		if at.After(known) {
			late++
		}
	}
	return late
}

// Over random sets of requests, parts, repeats, bystanders, restarts and clocks, a request or
// part that crashes replicas is refused, and what has no part in it is served (issue 28).
func TestOnlyTheCulpritIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCulpritScene(t)
		parts := []Fingerprint{1, 2, 3, 4}
		byPart := rapid.Bool().Draw(t, "a part is the culprit")
		if byPart {
			s.part = 9
		} else {
			s.request = 999
		}
		company := rapid.SliceOfNDistinct(rapid.SampledFrom(parts), 0, 3, rapid.ID).Draw(t, "company")
		repeats := rapid.IntRange(1, 6).Draw(t, "repeats")
		pause := 60*time.Millisecond + s.millis(400, "pause")
		var current Fingerprint
		i := 0
		for at := culpritBefore; at < culpritTime; at += pause {
			s.after(at, func() {
				if i%repeats == 0 {
					s.requests++
					current = s.requests
				}
				i++
				if byPart {
					s.send(current, append(slices.Clone(company), s.part))
				} else {
					s.send(s.request, company)
				}
			})
		}
		soundPause := 30*time.Millisecond + s.millis(200, "sound pause")
		for at := time.Duration(0); at < culpritTime; at += soundPause {
			s.after(at, func() {
				s.requests++
				s.send(s.requests, []Fingerprint{parts[rapid.IntRange(0, 3).Draw(t, "first")], parts[rapid.IntRange(0, 3).Draw(t, "second")]})
			})
		}
		for at := time.Duration(0); at < culpritTime; at += 100 * time.Millisecond {
			s.after(at, func() {
				for _, vm := range s.vms {
					s.share(vm)
				}
			})
		}
		for range rapid.IntRange(0, 2).Draw(t, "restarts") {
			s.after(s.millis(8000, "restart"), func() { s.restart(rapid.IntRange(0, len(s.vms)-1).Draw(t, "restarted")) })
		}
		s.run()
		most := 3
		if byPart {
			most = 5
		}
		assert.Assert(t, s.late(most) <= 3, "%d arrivals after %d crashes were known, %d crashes", s.late(most), most, len(s.crashes))
		assert.Assert(t, 10*s.refused <= s.sound, "%d of %d sound requests were refused, %d crashes", s.refused, s.sound, len(s.crashes))
	})
}
