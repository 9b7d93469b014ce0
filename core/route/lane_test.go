package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// runMixedLoad simulates the load of long summaries and short questions, in calls per
// second, that one VM of nine sees. It returns the number of calls of each class on each
// replica, not counting the first 5 seconds.
func runMixedLoad(t *testing.T, r *Router, seconds int, summaries, questions float64) map[call.ReplicaID]map[call.Class]int {
	t.Helper()
	got := map[call.ReplicaID]map[call.Class]int{}
	start := time.Unix(1000, 0)
	var dueSummary, dueQuestion float64
	n := uint64(0)
	for tick := range seconds * 100 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		dueSummary += summaries / 100
		dueQuestion += questions / 100
		send := func(c call.Call) {
			r.Arrived(now, c)
			d, err := r.Pick(now, c, nil)
			assert.NilError(t, err)
			if got[d.Replica.ID] == nil {
				got[d.Replica.ID] = map[call.Class]int{}
			}
			if tick > 500 {
				got[d.Replica.ID][c.Class]++
			}
		}
		for ; dueSummary >= 1; dueSummary-- {
			n++
			c := longCall(n % 40)
			c.Class = "summary"
			send(c)
		}
		for ; dueQuestion >= 1; dueQuestion-- {
			send(call.Call{Model: "m", Class: "question", PromptTokens: 900, SharedTokens: 200, Prefixes: []uint64{5}})
		}
	}
	return got
}

// If a class with long prompts shares a model with a class with short ones, almost no
// replica serves both, and each class gets replicas in proportion to its work.
func TestLongPromptsKeepToTheirLane(t *testing.T) {
	got := runMixedLoad(t, newHomeRouter(t, "vm-1", 18), 20, 3.4, 14)
	var long, short, both int
	for _, classes := range got {
		switch {
		case classes["summary"] > 0 && classes["question"] > 0:
			both++
		case classes["summary"] > 0:
			long++
		case classes["question"] > 0:
			short++
		}
	}
	assert.Assert(t, both <= 2, "%d replicas serve both", both)
	assert.Assert(t, long >= 8 && short >= 1, "%d long, %d short", long, short)
}

// With a single class there are no lanes.
func TestOneClassHasAllReplicas(t *testing.T) {
	got := runMixedLoad(t, newHomeRouter(t, "vm-1", 18), 20, 10, 0)
	assert.Assert(t, len(got) >= 16, "%d replicas of 18 are the homes of 40 prefixes", len(got))
}

// If the short lane is full, its calls go to the replicas of the long lane.
func TestFullLaneOverflows(t *testing.T) {
	r := newHomeRouter(t, "vm-1", 8)
	runMixedLoad(t, r, 20, 3.4, 14)
	now := time.Unix(1020, 0)
	question := call.Call{Model: "m", Class: "question", PromptTokens: 900}
	used := map[call.ReplicaID]bool{}
	for range 8 * 40 {
		d, err := r.Pick(now, question, nil)
		assert.NilError(t, err)
		r.Started(now, d.Replica.ID, 1)
		used[d.Replica.ID] = true
	}
	assert.Equal(t, len(used), 8)
}

// Under overload the least urgent calls are refused first and the most urgent still find
// slots (trunk reservation).
func TestUrgentCallsFindRoom(t *testing.T) {
	r := newHomeRouter(t, "vm-1", 6)
	start := time.Unix(1000, 0)
	calls := []call.Call{
		{Model: "m", Class: "urgent", Tier: 0, PromptTokens: 900},
		{Model: "m", Class: "calm", Tier: 2, PromptTokens: 900},
	}
	refused := map[call.Class]int{}
	for i := range 600 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c := calls[i%2]
		r.Arrived(now, c)
		d, err := r.Pick(now, c, nil)
		if err != nil {
			refused[c.Class]++
			continue
		}
		r.Started(now, d.Replica.ID, 1)
	}
	assert.Assert(t, refused["calm"] > refused["urgent"], "%v", refused)
	now := start.Add(600 * time.Millisecond)
	_, err := r.Pick(now, calls[1], nil)
	assert.ErrorIs(t, err, ErrBusy)
}

// No call of the short lane is refused while long prompts start: if its own lane is full,
// it goes to a replica where these wait, since the engines run it first.
func TestUrgentCallsGoBeforeWaitingLongPrompts(t *testing.T) {
	r := newHomeRouter(t, "vm-1", 18)
	runMixedLoad(t, r, 20, 3.4, 14)
	now := time.Unix(1020, 0)
	// The questions share a prefix that is long enough for a home.
	question := call.Call{Model: "m", Class: "question", PromptTokens: 900, SharedTokens: 600, Prefixes: []uint64{5}}
	refused := 0
	for i := range uint64(18 * 80) {
		long := longCall(i)
		long.Class, long.Tier = "summary", 2
		started := false
		if d, err := r.Pick(now, long, nil); err == nil {
			r.Started(now, d.Replica.ID, 1)
			started = true
		}
		d, err := r.Pick(now, question, nil)
		if err != nil {
			assert.Assert(t, !started, "a question is refused while a summary starts, after %d summaries", i)
			refused++
			continue
		}
		r.Started(now, d.Replica.ID, 1)
	}
	assert.Assert(t, refused > 0, "no question was refused, the load is too small for the test")
}

// Long prompts do not fill the short lane: they wait for their own lane unless replicas
// of the short lane are nearly idle.
func TestLongPromptsStayOutOfABusyShortLane(t *testing.T) {
	r := newHomeRouter(t, "vm-1", 18)
	runMixedLoad(t, r, 20, 3.4, 14)
	now := time.Unix(1020, 0)
	long := longCall(3)
	long.Class = "summary"
	long.SharedTokens = 0
	question := call.Call{Model: "m", Class: "question", PromptTokens: 900}
	for range 6 * 8 {
		d, err := r.Pick(now, question, nil)
		assert.NilError(t, err)
		r.Started(now, d.Replica.ID, 1)
	}
	var last error
	for range 18 * 96 {
		var d Decision
		if d, last = r.Pick(now, long, nil); last != nil {
			break
		}
		r.Started(now, d.Replica.ID, 1)
	}
	assert.ErrorIs(t, last, ErrBusy)
	_, err := r.Pick(now, question, nil)
	assert.NilError(t, err)
}

// Before there are enough samples, short calls spread over all replicas, unless
// InitialLongShare asks for lanes from the start.
func TestInitialLanesAreOptIn(t *testing.T) {
	for _, test := range []struct {
		share float64
		want  int
	}{{share: 0, want: 6}, {share: 0.6, want: 2}} {
		r, err := New(Config{Self: "vm-1", Zone: "a", Rand: rand.New(rand.NewPCG(1, 2)), InitialLongShare: test.share})
		assert.NilError(t, err)
		r.SetReplicas(time.Unix(1000, 0), threeZoneReplicas(6))
		used := map[call.ReplicaID]bool{}
		for range laneSamplesMin - 1 {
			d, err := r.Pick(time.Unix(1000, 0), call.Call{Model: "m", Class: "question", PromptTokens: 20}, nil)
			assert.NilError(t, err)
			r.Started(time.Unix(1000, 0), d.Replica.ID, 1)
			used[d.Replica.ID] = true
		}
		assert.Equal(t, len(used), test.want, "share %g", test.share)
	}
}

// Retrying Pick for a waiting call changes neither the lanes nor the slots reserved for
// urgent calls, since only Arrived counts it.
func TestWaitingCallsCountOnce(t *testing.T) {
	r := newHomeRouter(t, "vm-1", 18)
	runMixedLoad(t, r, 20, 3.4, 14)
	now := time.Unix(1020, 0)
	long := longCall(1)
	long.Class, long.Tier = "summary", 2
	p := r.pools["m"]
	lane, slotShare := r.laneOf(now, long, p), p.classes.slotShare(now, long)
	for range 1000 {
		_, err := r.Pick(now, long, nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, r.laneOf(now, long, p), lane)
	assert.Equal(t, p.classes.slotShare(now, long), slotShare)
}
