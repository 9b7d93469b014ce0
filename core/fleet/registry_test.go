package fleet

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func ready(id string, revision int64) Record {
	return Record{ID: call.ReplicaID(id), Revision: revision, Entry: &Entry{
		ID: call.ReplicaID(id), Service: "llm", State: StateReady, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}}
}

func leaving(id string, revision int64) Record {
	r := ready(id, revision)
	r.Entry.State = StateLeaving
	return r
}

func names(list []Entry) string {
	out := ""
	for _, e := range list {
		out += string(e.ID)
	}
	return out
}

func TestSnapshotsAndRecords(t *testing.T) {
	r := New(Config{})
	changed := r.ApplySnapshot(at(0), 10, Records{ready("a", 1), ready("b", 2), ready("c", 3), ready("d", 4), ready("e", 5)})
	assert.Equal(t, len(changed), 5)
	assert.Equal(t, names(r.Usable(at(0))), "abcde")

	assert.Assert(t, r.ApplyRecord(at(1), leaving("a", 11)))
	assert.Equal(t, names(r.Usable(at(1))), "bcde")
	assert.Assert(t, !r.ApplyRecord(at(2), ready("a", 1)), "an older record must not restore a replica")
	assert.Equal(t, names(r.Usable(at(2))), "bcde")

	changed = r.ApplySnapshot(at(3), 12, Records{leaving("a", 11), ready("c", 3), ready("d", 4), ready("e", 5)})
	assert.DeepEqual(t, changed, Records{{ID: "b", Revision: 12}})
	assert.Equal(t, names(r.Usable(at(3))), "cde")
	assert.Assert(t, !r.ApplyRecord(at(4), ready("b", 2)))
	assert.Assert(t, r.ApplyRecord(at(5), ready("b", 20)), "a replica with the same id may register again")
	assert.Equal(t, names(r.Usable(at(5))), "bcde")
}

func TestSnapshotOlderThanRecord(t *testing.T) {
	r := New(Config{})
	r.ApplyRecord(at(0), ready("new", 30))
	r.ApplySnapshot(at(1), 20, Records{ready("old", 3)})
	assert.Equal(t, names(r.Usable(at(1))), "newold", "a snapshot older than a replica's record must not remove it")
}

func TestUnreadableEntryIsNoReplica(t *testing.T) {
	r := New(Config{})
	r.ApplySnapshot(at(0), 10, Records{ready("a", 1), {ID: "x", Revision: 9}})
	assert.Equal(t, names(r.Usable(at(0))), "a")
	r.ApplySnapshot(at(1), 12, Records{{ID: "a", Revision: 12}, {ID: "x", Revision: 9}})
	assert.Equal(t, names(r.Usable(at(1))), "")
}

func TestAfterAnOutage(t *testing.T) {
	r := New(Config{})
	r.ApplySnapshot(at(0), 10, Records{ready("a", 1), ready("b", 2), ready("c", 3)})
	r.StoreRecovered(at(5000))
	r.ApplySnapshot(at(5000), 11, nil)
	assert.Equal(t, names(r.Usable(at(5000))), "abc", "entries that expired during the outage stay in use")
	r.ApplySnapshot(at(6000), 12, Records{ready("b", 12)})
	r.ApplySnapshot(at(6500), 13, Records{ready("b", 12)})
	assert.Equal(t, names(r.Usable(at(7299))), "abc")
	assert.Equal(t, names(r.Usable(at(7301))), "b", "entries still missing after the grace period are removed")
	r.ApplySnapshot(at(7400), 14, nil)
	assert.Equal(t, names(r.Usable(at(7400))), "")
}

func TestMassRemoval(t *testing.T) {
	r := New(Config{})
	r.ApplySnapshot(at(0), 10, Records{ready("a", 1), ready("b", 2), ready("c", 3)})
	r.ApplySnapshot(at(100), 11, Records{ready("a", 1)})
	assert.Equal(t, names(r.Usable(at(1599))), "abc")
	assert.Equal(t, names(r.Usable(at(1601))), "a")
	r.ApplySnapshot(at(2000), 12, Records{ready("a", 1), ready("b", 12)})
	assert.Equal(t, names(r.Usable(at(2000))), "ab")
}

// Records may arrive in any order and more than once: every VM ends with the newest
// record of each replica.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := map[string]Record{}
		var all []Record
		for revision := range int64(rapid.IntRange(1, 12).Draw(t, "records")) {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			record := ready(id, revision+1)
			switch rapid.IntRange(0, 2).Draw(t, "state") {
			case 0:
				record = leaving(id, revision+1)
			case 1:
				record.Entry = nil
			}
			newest[id] = record
			all = append(all, record, record)
		}
		r := New(Config{})
		for _, record := range rapid.Permutation(all).Draw(t, "order") {
			r.ApplyRecord(at(0), record)
		}
		want := ""
		for _, id := range []string{"a", "b", "c"} {
			if e := newest[id].Entry; e != nil && e.State == StateReady {
				want += id
			}
		}
		assert.Equal(t, names(r.Usable(at(0))), want)
	})
}
