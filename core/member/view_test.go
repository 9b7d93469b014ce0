package member

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

var t0 = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return t0.Add(d) }

func vm(id call.VMID, zone call.Zone, state State) VM {
	return VM{ID: id, Zone: zone, Role: RoleEntry, Address: netip.MustParseAddrPort("127.0.0.1:80"), State: state}
}

func statement(id call.VMID, incarnation, sequence uint64, state State) Statement {
	return Statement{VM: vm(id, "z1", state), Incarnation: incarnation, Sequence: sequence}
}

// testList returns x in zone z1 with other VMs in z1, z2 and z3. The local VM of
// newView is in z2.
func testList(x State) VMs {
	return VMs{
		vm("x", "z1", x), vm("a", "z1", StateLive), vm("b", "z2", StateLive),
		vm("c", "z2", StateLive), vm("d", "z3", StateLive), vm("e", "z3", StateLive), vm("f", "z3", StateLive),
	}
}

func newView(t assert.TestingT) *View {
	v, err := New(Config{Zone: "z2"})
	assert.NilError(t, err)
	return v
}

func applyOpinions(v *View, now time.Time, by ...call.VMID) {
	for _, id := range by {
		v.ApplyOpinion(now, Opinion{By: id, About: "x"})
	}
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		name string
		do   func(v *View)
		now  time.Duration
		want Reason
	}{
		{"listed", func(*View) {}, 0, ReasonListed},
		{"list kept through an outage", func(*View) {}, 240 * time.Hour, ReasonListed},
		{"list empty after an outage", func(v *View) { v.SetList(t0, nil) }, 0, ReasonListed},
		{"list says leaving", func(v *View) { v.SetList(t0, testList(StateLeaving)) }, 0, ReasonListLeaving},
		{"list without it", func(v *View) { v.SetList(t0, testList(StateLive)[1:]) }, 0, ReasonGone},
		{"says leaving, list lags", func(v *View) { v.ApplyStatement(t0, statement("x", 1, 1, StateLeaving)) }, 0, ReasonSaysLeaving},
		{"answers leaving", func(v *View) { v.Answered(t0, "x", StateLeaving) }, 0, ReasonSaysLeaving},
		{"says leaving, then an old statement", func(v *View) {
			v.ApplyStatement(t0, statement("x", 5, 2, StateLeaving))
			v.ApplyStatement(t0, statement("x", 5, 1, StateLive))
			v.ApplyStatement(t0, statement("x", 4, 9, StateLive))
		}, 0, ReasonSaysLeaving},
		{"back with a newer incarnation", func(v *View) {
			v.ApplyStatement(t0, statement("x", 5, 2, StateLeaving))
			v.Answered(t0, "x", StateLeaving)
			v.ApplyStatement(t0, statement("x", 6, 1, StateLive))
		}, 0, ReasonListed},
		{"back, list says leaving from before", func(v *View) {
			v.ApplyStatement(t0, statement("x", 5, 2, StateLeaving))
			v.SetList(t0, testList(StateLeaving))
			v.ApplyStatement(at(time.Second), statement("x", 6, 1, StateLive))
			v.SetList(at(20*time.Second), testList(StateLeaving))
		}, 40 * time.Second, ReasonListed},
		{"back, list says leaving for long", func(v *View) {
			v.ApplyStatement(t0, statement("x", 5, 2, StateLeaving))
			v.ApplyStatement(at(time.Second), statement("x", 6, 1, StateLive))
			v.SetList(at(31*time.Second), testList(StateLeaving))
		}, 40 * time.Second, ReasonListLeaving},
		{"gone, then makes a statement", func(v *View) {
			v.ApplyStatement(t0, statement("x", 5, 1, StateLive))
			v.SetList(at(time.Second), testList(StateLive)[1:])
			v.ApplyStatement(at(2*time.Second), statement("x", 5, 2, StateLive))
		}, 3 * time.Second, ReasonSaysLive},
		{"statement before it was gone", func(v *View) {
			v.ApplyStatement(t0, statement("x", 5, 1, StateLive))
			v.SetList(at(time.Second), testList(StateLive)[1:])
		}, 3 * time.Second, ReasonGone},
		{"gone, last statement long ago", func(v *View) {
			v.SetList(t0, testList(StateLive)[1:])
			v.ApplyStatement(at(time.Second), statement("x", 5, 2, StateLive))
		}, defaultStatementMaxAge + 2*time.Second, ReasonGone},
		{"missed twice", func(v *View) { v.Missed(t0, "x"); v.Missed(t0, "x") }, 0, ReasonListed},
		{"missed three times", func(v *View) { v.Missed(t0, "x"); v.Missed(t0, "x"); v.Missed(t0, "x") }, 0, ReasonSilent},
		{"missed once, long ago", func(v *View) { v.Missed(t0, "x") }, 5 * time.Second, ReasonSilent},
		{"missed, then answered", func(v *View) { v.Missed(t0, "x"); v.Answered(t0, "x", StateLive) }, 5 * time.Second, ReasonListed},
		{"one suspects", func(v *View) {
			for range 5 {
				applyOpinions(v, t0, "a")
			}
		}, 0, ReasonListed},
		{"two suspect", func(v *View) { applyOpinions(v, t0, "a", "b") }, 0, ReasonListed},
		{"two suspect and it missed a heartbeat of this VM", func(v *View) { applyOpinions(v, t0, "a", "b"); v.Missed(t0, "x") }, 0, ReasonSuspected},
		{"three suspect", func(v *View) { applyOpinions(v, t0, "a", "b", "c") }, 0, ReasonSuspected},
		{"three of a third zone suspect", func(v *View) { applyOpinions(v, t0, "d", "e", "f") }, 0, ReasonListed},
		{"it suspects itself", func(v *View) { applyOpinions(v, t0, "a", "b", "x") }, 0, ReasonListed},
		{"three suspected long ago", func(v *View) { applyOpinions(v, t0, "a", "b", "c") }, 30 * time.Second, ReasonListed},
		{"three suspect, it answers this VM", func(v *View) {
			applyOpinions(v, t0, "a", "b", "c")
			v.Answered(t0, "x", StateLive)
		}, 0, ReasonListed},
		{"three suspected before its statement", func(v *View) {
			applyOpinions(v, t0, "a", "b", "c")
			v.ApplyStatement(t0, statement("x", 1, 1, StateLive))
			applyOpinions(v, t0, "a", "b", "c")
		}, 0, ReasonListed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newView(t)
			v.SetList(t0, testList(StateLive))
			tt.do(v)
			got := v.Verdict(at(tt.now), "x")
			assert.Equal(t, got.Reason, tt.want)
			assert.Equal(t, got.Usable, tt.want == ReasonListed || tt.want == ReasonSaysLive)
			assert.Equal(t, len(v.Usable(at(tt.now), RoleEntry)) >= 6, true)
		})
	}
}

// If no VM answers, the fault is more likely with the local VM.
func TestAllSilentAreAssumedLive(t *testing.T) {
	v := newView(t)
	v.SetList(t0, testList(StateLeaving)[:3])
	v.Missed(t0, "a")
	v.Missed(t0, "b")
	got := v.Verdicts(at(time.Minute), RoleEntry)
	assert.Assert(t, reflect.DeepEqual(got.UsableVMs(), testList(StateLive)[1:3]))
	assert.Equal(t, got[0].Reason, ReasonAssumedLive)
	assert.Equal(t, got[2].Reason, ReasonListLeaving)
}

func TestReplacedVMIsReset(t *testing.T) {
	v := newView(t)
	v.SetList(t0, testList(StateLive))
	v.Answered(t0, "x", StateLeaving)
	changed := testList(StateLive)
	changed[0].Address = netip.MustParseAddrPort("127.0.0.2:80")
	v.SetList(t0, changed)
	assert.Equal(t, v.Verdict(t0, "x").Reason, ReasonListed)
	assert.Equal(t, v.ListAge(at(time.Hour)), time.Hour)
}

func TestOpinionsAreBounded(t *testing.T) {
	v := newView(t)
	v.SetList(t0, testList(StateLive))
	for range 3 {
		v.Missed(t0, "x")
	}
	assert.DeepEqual(t, v.Opinions(t0, "b"), Opinions{{By: "b", About: "x"}})
	many := testList(StateLive)
	for _, id := range []call.VMID{"g", "h", "i", "j"} {
		many = append(many, vm(id, "z1", StateLive))
	}
	v.SetList(t0, many)
	applyOpinions(v, t0, "a", "c", "g", "h", "i", "j")
	assert.Equal(t, len(v.Opinions(t0, "b")), 0, "enough other opinions are known")
	assert.Assert(t, !v.ApplyOpinion(t0, Opinion{By: "b", About: "x"}))
	assert.Assert(t, v.ApplyOpinion(at(time.Minute), Opinion{By: "b", About: "x"}), "the other opinions have expired")
}
