package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
)

// refusing is a config as for deployments whose backend servers are never idle.
var refusing = Config{RefuseAfter: 3, RecentFinishes: 4, CrashWindow: 2 * time.Second}

func TestJudgeByNumberOfCrashes(t *testing.T) {
	type crash struct {
		at time.Duration
		id call.ReplicaID
	}
	tests := []struct {
		name     string
		finishes int
		crashes  []crash
		reason   Reason
	}{
		{"none", 0, nil, ReasonUnknown},
		{"one", 0, []crash{{0, "a"}}, ReasonFewCrashes},
		{"two", 0, []crash{{0, "a"}, {0, "b"}}, ReasonSuspect},
		{"three", 0, []crash{{0, "a"}, {0, "b"}, {0, "c"}}, ReasonCrashedOften},
		{"one seen three times", 0, []crash{{0, "a"}, {time.Second, "a"}, {2 * time.Second, "a"}}, ReasonFewCrashes},
		{"a replica that restarts under its id", 0, []crash{{0, "a"}, {4 * time.Second, "a"}, {8 * time.Second, "a"}}, ReasonCrashedOften},
		{"three, finished three times before", 3, []crash{{0, "a"}, {0, "b"}, {0, "c"}}, ReasonExonerated},
		{"three, finished twice before", 2, []crash{{0, "a"}, {0, "b"}, {0, "c"}}, ReasonCrashedOften},
		{"eight, finished more often before", 20, []crash{
			{0, "a"}, {0, "b"}, {0, "c"}, {0, "d"}, {0, "e"}, {0, "f"}, {0, "g"}, {0, "h"},
		}, ReasonCrashedOften},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRegistry(t, refusing)
			for range tt.finishes {
				r.Finished(t0, 1)
			}
			for _, c := range tt.crashes {
				r.Crashed(at(c.at), 1, c.id, false)
			}
			got := r.Judge(at(10*time.Second), 1)
			assert.Equal(t, got.Reason, tt.reason)
			assert.Equal(t, got.Action == ActionRefuse, tt.reason == ReasonCrashedOften)
			assert.Assert(t, got.Action != ActionAlone)
		})
	}
}

// A request that was refused gets another chance once its crashes are older than the
// retention.
func TestRefusalEnds(t *testing.T) {
	c := refusing
	c.Retention = 10 * time.Minute
	r := newRegistry(t, c)
	for _, id := range []call.ReplicaID{"a", "b", "c"} {
		r.Crashed(t0, 1, id, false)
	}
	assert.Equal(t, r.Judge(at(c.Retention-time.Second), 1).Action, ActionRefuse)
	assert.Equal(t, r.Judge(at(c.Retention), 1).Action, ActionRun)
}

// Snapshots that one VM passes on for all others convict at a VM that gets only these, in
// any order and more than once.
func TestSnapshotsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []*Registry
		for _, self := range []call.VMID{"a", "b", "c", "d"} {
			c := refusing
			c.Self = self
			vms = append(vms, newRegistry(t, c))
		}
		for i, id := range []call.ReplicaID{"r1", "r2", "r3"} {
			vms[i].Crashed(t0, 1, id, false)
			vms[i].Publish(t0, 1)
			assert.DeepEqual(t, vms[i].TakeChanged(t0), []Fingerprint{1})
			assert.Equal(t, len(vms[i].TakeChanged(t0)), 0)
		}
		steps := append(rapid.SliceOfN(rapid.IntRange(0, 15), 0, 20).Draw(t, "steps"), 4, 8, 12, 3)
		for _, step := range steps {
			from, to := vms[step/4], vms[step%4]
			before := to.Snapshot(1)
			received := from.Snapshot(1)
			if received.Version == 0 {
				continue
			}
			assert.NilError(t, to.MergeSnapshot(t0, 1, received.Value))
			after := to.Snapshot(1)
			assert.Assert(t, after.Version >= max(before.Version, received.Version))
			assert.Equal(t, after.Version == before.Version, string(after.Value) == string(before.Value))
		}
		assert.Equal(t, vms[3].Judge(t0, 1).Reason, ReasonCrashedOften)
	})
}

func TestMergeSnapshotRefusesBadValues(t *testing.T) {
	r := newRegistry(t, refusing)
	for _, value := range []string{``, `[]`, `{"":{}}`, `{"a":{"finishes":-1}}`, string(make([]byte, maxSnapshotBytes+1))} {
		assert.ErrorContains(t, r.MergeSnapshot(t0, 1, []byte(value)), "MergeSnapshot")
	}
	assert.Equal(t, r.Len(), 0)
	for _, text := range []string{"", "xyz", "11112222333344445"} {
		_, err := ParseFingerprint(text)
		assert.ErrorContains(t, err, "fingerprint")
	}
	fp, err := ParseFingerprint(Fingerprint(0xbeef).String())
	assert.NilError(t, err)
	assert.Equal(t, fp, Fingerprint(0xbeef))
}

func TestRecentFinishesAreBounded(t *testing.T) {
	r := newRecentFinishes(4)
	for fp := range Fingerprint(1000) {
		r.add(t0, fp)
		r.add(t0, fp)
		assert.Assert(t, len(r.counts) <= 4)
	}
	assert.Equal(t, r.remove(997), 0)
	assert.Equal(t, r.remove(998), 2)
	assert.Equal(t, r.remove(999), 2)
	assert.Equal(t, r.remove(999), 0)
	for range 100 {
		r.add(t0, 1)
	}
	assert.Equal(t, r.remove(1), maxRecentFinishes)
}

// A refused request was forgotten, and sent on, when later crashes had left records of as
// many other requests as a VM keeps.
func TestRefusedRequestIsKeptBeforeOthers(t *testing.T) {
	r := newRegistry(t, Config{Self: "e1", RefuseAfter: 3, MaxFingerprints: 64})
	const bad Fingerprint = 1 << 40
	crash := func(at time.Time, fp Fingerprint, replica call.ReplicaID) {
		r.Crashed(at, fp, replica, false)
		r.Publish(at, fp)
	}
	for i, replica := range []call.ReplicaID{"a", "b", "c"} {
		crash(ms(100*i), bad, replica)
	}
	for i := range 256 {
		crash(ms(1000+10*i), Fingerprint(i), "d")
	}
	assert.Equal(t, r.Judge(ms(20000), bad).Action, ActionRefuse)
	assert.Assert(t, r.Len() <= 64)
}
