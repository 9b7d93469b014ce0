package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
)

// partConfig is a config as for parts of prompts.
var partConfig = Config{RefuseAfter: 3, RecentFinishes: 16, CrashWindow: 2 * time.Second, Retention: 10 * time.Minute, Successive: true}

func newPartRegistry(t assert.TestingT, self call.VMID) *Registry {
	c := partConfig
	c.Self = self
	return newRegistry(t, c)
}

// run is a lost run in tests: its replica and when it began and was lost, in milliseconds.
type run struct {
	replica     call.ReplicaID
	began, lost int
}

func ms(n int) time.Time { return at(time.Duration(n) * time.Millisecond) }

func (c run) crash() Crash { return Crash{Replica: c.replica, Began: ms(c.began), At: ms(c.lost)} }

func refuses(r *Registry, now int, fps ...Fingerprint) bool {
	return len(r.RefusedParts(ms(now), fps)) > 0
}

// A part is refused after three crashes that followed each other, and never because many
// replicas crash together or because it is in flight often.
func TestJudgeSuccessive(t *testing.T) {
	tests := []struct {
		name       string
		runs       []run
		finishedAt []int
		reason     Reason
		successive int
	}{
		{"none", nil, nil, ReasonUnknown, 0},
		{"one", []run{{"a", 0, 100}}, nil, ReasonFewCrashes, 1},
		{"one after the other", []run{{"a", 0, 100}, {"b", 200, 300}, {"c", 400, 500}}, nil, ReasonCrashedOften, 3},
		{"two", []run{{"a", 0, 100}, {"b", 200, 300}}, nil, ReasonSuspect, 2},
		{"all replicas together", []run{{"a", 0, 100}, {"b", 10, 101}, {"c", 20, 102}, {"d", 30, 103}}, nil, ReasonFewCrashes, 1},
		{"runs that overlap", []run{{"a", 0, 100}, {"b", 50, 150}, {"c", 120, 220}, {"d", 170, 270}}, nil, ReasonSuspect, 2},
		{"one crash seen by two runs of one replica", []run{{"a", 0, 100}, {"a", 150, 200}, {"b", 300, 400}}, nil, ReasonSuspect, 2},
		{"a replica that restarts under its id", []run{{"a", 0, 100}, {"a", 4000, 4100}, {"a", 8000, 8100}}, nil, ReasonCrashedOften, 3},
		{"finished in between", []run{{"a", 0, 100}, {"b", 200, 300}, {"c", 400, 500}}, []int{350}, ReasonFewCrashes, 1},
		{"finished afterwards", []run{{"a", 0, 100}, {"b", 200, 300}, {"c", 400, 500}}, []int{600}, ReasonExonerated, 0},
		{"finished before", []run{{"a", 200, 300}, {"b", 400, 500}, {"c", 600, 700}}, []int{0, 50, 100}, ReasonCrashedOften, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newPartRegistry(t, "e1")
			finishes := tt.finishedAt
			finishUntil := func(n int) {
				for len(finishes) > 0 && finishes[0] <= n {
					r.Finished(ms(finishes[0]), 1)
					finishes = finishes[1:]
				}
			}
			for _, c := range tt.runs {
				finishUntil(c.lost)
				r.CrashedRun(ms(c.lost), 1, c.crash())
			}
			finishUntil(1000)
			got := r.Judge(ms(10000), 1)
			assert.Equal(t, got.Reason, tt.reason)
			assert.Equal(t, got.Successive, tt.successive)
			assert.Equal(t, got.Action == ActionRefuse, tt.reason == ReasonCrashedOften)
			assert.Equal(t, refuses(r, 10000, 1), got.Action == ActionRefuse)
		})
	}
}

// A part that one VM has seen to finish is not refused by another that has seen only its
// crashes, once the VM that knows better has heard of them.
func TestFinishElsewhereExonerates(t *testing.T) {
	for name, finishedAt := range map[string]int{"before the crashes are heard of": 450, "afterwards": 900} {
		t.Run(name, func(t *testing.T) {
			a, b, c := newPartRegistry(t, "a"), newPartRegistry(t, "b"), newPartRegistry(t, "c")
			c.Finished(ms(0), 1)
			a.CrashedRun(ms(100), 1, run{"r1", 50, 100}.crash())
			b.CrashedRun(ms(300), 1, run{"r2", 200, 300}.crash())
			a.CrashedRun(ms(440), 1, run{"r3", 400, 440}.crash())
			assert.NilError(t, b.MergeSnapshot(ms(500), 1, a.Snapshot(1).Value))
			assert.Assert(t, refuses(b, 500, 1))
			if finishedAt < 600 {
				c.Finished(ms(finishedAt), 1)
			}
			assert.NilError(t, c.MergeSnapshot(ms(600), 1, b.Snapshot(1).Value))
			if finishedAt > 600 {
				assert.Equal(t, len(c.TakeChanged(ms(600))), 0)
				c.Finished(ms(finishedAt), 1)
			}
			assert.DeepEqual(t, c.TakeChanged(ms(1000)), []Fingerprint{1})
			assert.NilError(t, b.MergeSnapshot(ms(1000), 1, c.Snapshot(1).Value))
			assert.Assert(t, !refuses(b, 1000, 1))
		})
	}
}

// A crash of a part that finishes again soon is not told to other VMs; that of a part that
// has never finished is told at once.
func TestPopularPartsCostNoMessage(t *testing.T) {
	r := newPartRegistry(t, "e1")
	r.Finished(ms(0), 1)
	for _, fp := range []Fingerprint{1, 2} {
		r.CrashedRun(ms(100), fp, run{"a", 50, 100}.crash())
	}
	assert.DeepEqual(t, r.TakeChanged(ms(100)), []Fingerprint{2})
	r.Finished(ms(300), 1)
	assert.Equal(t, len(r.TakeChanged(ms(5000))), 0)

	r.CrashedRun(ms(6000), 1, run{"a", 5900, 6000}.crash())
	assert.Equal(t, len(r.TakeChanged(ms(6100))), 0)
	assert.DeepEqual(t, r.TakeChanged(ms(7000)), []Fingerprint{1})
}

// Whatever the order of crashes and finishes and the way records are passed on, VMs that
// know all records judge alike, and refuse only a part without a finish since the third last
// of the crashes that followed each other.
func TestSuccessiveConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []*Registry{newPartRegistry(t, "a"), newPartRegistry(t, "b"), newPartRegistry(t, "c")}
		var lastFinish int
		var crashes Crashes
		now := 0
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += rapid.IntRange(1, 400).Draw(t, "wait")
			vm := vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				vm.Finished(ms(now), 1)
				lastFinish = now
			case 1:
				from := vms[rapid.IntRange(0, 2).Draw(t, "from")].Snapshot(1)
				if from.Version > 0 {
					before := vm.Snapshot(1)
					assert.NilError(t, vm.MergeSnapshot(ms(now), 1, from.Value))
					after := vm.Snapshot(1)
					assert.Assert(t, after.Version >= max(before.Version, from.Version))
				}
			default:
				c := run{call.ReplicaID(rapid.StringMatching("[a-z]{4}").Draw(t, "replica")), now - rapid.IntRange(1, 600).Draw(t, "took"), now}
				vm.CrashedRun(ms(now), 1, c.crash())
				crashes = append(crashes, c.crash())
			}
		}
		for range 2 {
			for _, from := range vms {
				for _, to := range vms {
					if s := from.Snapshot(1); s.Version > 0 {
						assert.NilError(t, to.MergeSnapshot(ms(now), 1, s.Value))
					}
				}
			}
		}
		want := len(crashes) > 0 && crashes.successive(ms(lastFinish), partConfig.CrashWindow) >= partConfig.RefuseAfter
		for _, vm := range vms {
			assert.Equal(t, refuses(vm, now, 1), want)
		}
	})
}

// The lookup of a request's parts does not allocate, also while parts of it have crashes.
func TestRefusesDoesNotAllocate(t *testing.T) {
	r := newPartRegistry(t, "e1")
	for i := range 1000 {
		r.CrashedRun(ms(100), Fingerprint(i), run{"a", 50, 100}.crash())
	}
	assert.Equal(t, testing.AllocsPerRun(100, func() { refuses(r, 200, 7, 8, 1<<60) }), 0.0)
}

// Parts that come with the one that crashes replicas, or were in flight with it each time,
// are not refused without it; the request that shows which one it is gets through.
func TestCompanyOfACrashingPart(t *testing.T) {
	const first, bad, last, other Fingerprint = 1, 2, 3, 4
	crashes := []run{{"a", 0, 100}, {"b", 200, 300}, {"c", 400, 500}}
	r := newPartRegistry(t, "e1")
	for _, c := range crashes {
		for _, fp := range []Fingerprint{first, bad, last, other} {
			r.CrashedRun(ms(c.lost), fp, c.crash())
		}
	}
	assert.Assert(t, refuses(r, 600, first, bad, last, other))
	assert.Assert(t, !refuses(r, 600, first, last, 9), "the crashing part may be bad or other")
	r.Finished(ms(700), first)
	r.Finished(ms(700), last)
	assert.Assert(t, refuses(r, 800, first, bad, last, other))

	assert.Assert(t, !refuses(r, 800, bad, 9), "it may be other")
	r.CrashedRun(ms(1000), bad, run{"d", 900, 1000}.crash())
	assert.Assert(t, refuses(r, 1100, bad, 9))
	assert.Assert(t, refuses(r, 1100, bad))
	assert.Assert(t, !refuses(r, 1100, first, other), "its crashes are explained by bad")
}

// A refused part is tried a while after its latest crash, and ever later; another VM's
// trial counts, and a finish clears all.
func TestTrialDue(t *testing.T) {
	c := partConfig
	c.TrialAfter = time.Second
	c.Self = "a"
	a := newRegistry(t, c)
	c.Self = "b"
	b := newRegistry(t, c)
	for _, lost := range []run{{"r1", 0, 100}, {"r2", 200, 300}, {"r3", 400, 500}} {
		assert.Assert(t, !a.TrialDue(ms(10000), 1))
		a.CrashedRun(ms(lost.lost), 1, lost.crash())
	}
	assert.Assert(t, !a.TrialDue(ms(1499), 1))
	assert.Assert(t, a.TrialDue(ms(1500), 1))
	assert.Assert(t, !a.TrialDue(ms(1500), 2))

	claimed := a.TrialSnapshot(ms(1500), 1)
	assert.Assert(t, a.TrialDue(ms(1500), 1), "a claim that is not written does not count")
	assert.NilError(t, b.MergeSnapshot(ms(1500), 1, claimed.Value))
	a.BeginTrial(ms(1500), 1)
	for _, r := range []*Registry{a, b} {
		assert.Assert(t, refuses(r, 1500, 1))
		assert.Assert(t, !r.TrialDue(ms(6499), 1))
		assert.Assert(t, r.TrialDue(ms(6500), 1))
	}
	b.BeginTrial(ms(6500), 1)
	assert.Assert(t, !b.TrialDue(ms(31499), 1))
	assert.Assert(t, b.TrialDue(ms(31500), 1))
	b.Finished(ms(31600), 1)
	assert.Assert(t, !refuses(b, 31600, 1))
	assert.Assert(t, !b.TrialDue(ms(31600), 1))
}

// A refused part was forgotten, and its requests sent on, when later crashes had left records
// of as many other parts as a VM keeps.
func TestRefusedPartIsKeptBeforeOthers(t *testing.T) {
	c := partConfig
	c.Self, c.MaxFingerprints = "e1", 64
	r := newRegistry(t, c)
	const bad Fingerprint = 1 << 40
	for _, lost := range []run{{"a", 0, 100}, {"b", 200, 300}, {"c", 400, 500}} {
		r.CrashedRun(ms(lost.lost), bad, lost.crash())
	}
	r.TakeChanged(ms(600))
	for i := range 4 * c.MaxFingerprints {
		now := 1000 + 10*i
		r.CrashedRun(ms(now), Fingerprint(i), run{"d", now - 5, now}.crash())
		r.TakeChanged(ms(now))
	}
	assert.Assert(t, refuses(r, 20000, bad))
	assert.Assert(t, r.Len() <= c.MaxFingerprints)
}

// Each request with a refused part cost as much as all records of refused parts hold: after
// hundreds of parts had been refused, the lookups kept the VM busy.
func TestRefusedPartsCostsLittleAmongMany(t *testing.T) {
	r := newPartRegistry(t, "e1")
	const others = 200
	for i := range others {
		for n := range 3 {
			replica := call.ReplicaID(fmt.Sprint(i, "-", n))
			r.CrashedRun(ms(300*n+100), Fingerprint(i), run{replica, 300 * n, 300*n + 100}.crash())
		}
	}
	assert.Assert(t, refuses(r, 1000, 7))
	allocations := testing.AllocsPerRun(10, func() { refuses(r, 1000, 7) })
	assert.Assert(t, allocations < others, "%.0f allocations", allocations)
}

// A suspect was forgotten, and crashed more replicas than it should, when later crashes had left
// records of as many others as a VM keeps.
func TestSuspectIsKeptBeforeNewOnes(t *testing.T) {
	for name, successive := range map[string]bool{"request": false, "part": true} {
		t.Run(name, func(t *testing.T) {
			c := partConfig
			c.Self, c.MaxFingerprints, c.Successive = "e1", 64, successive
			if !successive {
				c.RecentFinishes = 0
			}
			r := newRegistry(t, c)
			crash := func(fp Fingerprint, lost run) {
				if successive {
					r.CrashedRun(ms(lost.lost), fp, lost.crash())
				} else {
					r.Crashed(ms(lost.lost), fp, lost.replica, false)
					r.Publish(ms(lost.lost), fp)
				}
				r.TakeChanged(ms(lost.lost))
			}
			const bad Fingerprint = 1 << 40
			crash(bad, run{"a", 0, 100})
			crash(bad, run{"b", 200, 300})
			for i := range 4 * c.MaxFingerprints {
				crash(Fingerprint(i), run{"d", 995 + 10*i, 1000 + 10*i})
			}
			assert.Equal(t, r.Judge(ms(20000), bad).Reason, ReasonSuspect)
			crash(bad, run{"c", 20000, 20100})
			assert.Equal(t, r.Judge(ms(20100), bad).Action, ActionRefuse)
			assert.Assert(t, r.Len() <= c.MaxFingerprints)
		})
	}
}

// Sound parts were refused on all VMs, until their trial, if another crash came among those of
// the crashing part that they were in flight with.
func TestOtherCrashAmongThoseOfAPart(t *testing.T) {
	const sound, bad Fingerprint = 1, 2
	of := []run{{"a", 0, 100}, {"b", 200, 300}, {"c", 400, 500}}
	other := run{"x", 310, 390}
	for name, test := range map[string]struct {
		crashes []run
		refused bool
	}{
		"of one replica":       {crashes: []run{of[0], of[1], other, of[2]}},
		"of the replica first": {crashes: []run{{"x", -200, -100}, of[0], of[1], of[2]}},
		"of many":              {crashes: []run{of[0], of[1], {"x", 310, 330}, {"y", 340, 360}, {"z", 370, 390}, of[2]}, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPartRegistry(t, "e1")
			for _, c := range test.crashes {
				r.CrashedRun(ms(c.lost), sound, c.crash())
				if slices.Contains(of, c) {
					r.CrashedRun(ms(c.lost), bad, c.crash())
				}
			}
			assert.Assert(t, refuses(r, 600, sound, bad))
			assert.Equal(t, refuses(r, 600, sound), test.refused)

			r.CrashedRun(ms(800), sound, run{"d", 700, 800}.crash())
			assert.Assert(t, refuses(r, 900, sound), "it has crashed a replica without the other one")
		})
	}
}

// All requests with the sound parts of a crashing part's prompts were refused, before that part
// was: two of its crashes and one of a request that crashes replicas were enough for those, and
// with them the part got no further crash that would have explained theirs.
func TestCrashOfARefusedRequestDoesNotCountForParts(t *testing.T) {
	const sound, bad, request Fingerprint = 1, 2, 3
	requests := newRegistry(t, refusing)
	c := partConfig
	c.Self, c.Requests = "e1", requests.Suspects
	parts := newRegistry(t, c)
	crash := func(lost run, fps ...Fingerprint) {
		for _, fp := range fps {
			parts.CrashedRun(ms(lost.lost), fp, lost.crash())
		}
	}
	crash(run{"a", 0, 100}, sound, bad)
	crash(run{"b", 200, 300}, sound, bad)
	crash(run{"c", 400, 500}, sound)
	requests.CrashedRun(ms(500), request, run{"c", 400, 500}.crash())
	requests.CrashedRun(ms(700), request, run{"d", 600, 700}.crash())
	assert.Assert(t, refuses(parts, 800, sound))
	requests.CrashedRun(ms(900), request, run{"e", 800, 900}.crash())
	assert.Assert(t, !refuses(parts, 1000, sound))
	assert.Assert(t, !refuses(parts, 1000, sound, bad))
	crash(run{"f", 1100, 1200}, sound, bad)
	assert.Assert(t, refuses(parts, 1300, sound, bad))
	assert.Assert(t, !refuses(parts, 1300, sound), "explained by the other part")
}
