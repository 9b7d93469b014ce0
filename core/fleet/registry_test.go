package fleet

import (
	"cmp"
	"net/netip"
	"slices"
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
	changed := r.ApplySnapshot(at(0), at(0), 10, Records{ready("a", 1), ready("b", 2), ready("c", 3), ready("d", 4), ready("e", 5)})
	assert.Equal(t, len(changed), 5)
	assert.Equal(t, names(r.Usable(at(0))), "abcde")

	assert.Assert(t, r.ApplyRecord(at(1), leaving("a", 11)))
	assert.Equal(t, names(r.Usable(at(1))), "bcde")
	assert.Assert(t, !r.ApplyRecord(at(2), ready("a", 1)), "an older record must not restore a replica")
	assert.Equal(t, names(r.Usable(at(2))), "bcde")

	changed = r.ApplySnapshot(at(3), at(3), 12, Records{leaving("a", 11), ready("c", 3), ready("d", 4), ready("e", 5)})
	assert.DeepEqual(t, changed, Records{{ID: "b", Revision: 12}})
	assert.Equal(t, names(r.Usable(at(3))), "cde")
	assert.Assert(t, !r.ApplyRecord(at(4), ready("b", 2)))
	assert.Assert(t, r.ApplyRecord(at(5), ready("b", 20)), "a replica with the same id may register again")
	assert.Equal(t, names(r.Usable(at(5))), "bcde")
}

func TestSnapshotOlderThanRecord(t *testing.T) {
	r := New(Config{})
	r.ApplyRecord(at(0), ready("new", 30))
	r.ApplySnapshot(at(1), at(1), 20, Records{ready("old", 3)})
	assert.Equal(t, names(r.Usable(at(1))), "newold", "a snapshot older than a replica's record must not remove it")
}

func TestUnreadableEntryIsNoReplica(t *testing.T) {
	r := New(Config{})
	r.ApplySnapshot(at(0), at(0), 10, Records{ready("a", 1), {ID: "x", Revision: 9}})
	assert.Equal(t, names(r.Usable(at(0))), "a")
	r.ApplySnapshot(at(1), at(1), 12, Records{{ID: "a", Revision: 12}, {ID: "x", Revision: 9}})
	assert.Equal(t, names(r.Usable(at(1))), "")
}

func TestAfterAnOutage(t *testing.T) {
	r := New(Config{})
	r.ApplySnapshot(at(0), at(0), 10, Records{ready("a", 1), ready("b", 2), ready("c", 3)})
	r.StoreRecovered(at(5000), at(5000))
	r.ApplySnapshot(at(5000), at(5000), 11, nil)
	assert.Equal(t, names(r.Usable(at(5000))), "abc", "entries that expired during the outage stay in use")
	r.ApplySnapshot(at(6000), at(6000), 12, Records{ready("b", 12)})
	r.ApplySnapshot(at(6500), at(6500), 13, Records{ready("b", 12)})
	assert.Equal(t, names(r.Usable(at(7299))), "abc")
	assert.Equal(t, names(r.Usable(at(7301))), "b", "entries still missing after the grace period are removed")
	r.ApplySnapshot(at(7400), at(7400), 14, nil)
	assert.Equal(t, names(r.Usable(at(7400))), "")
}

// Guards against grace periods that count from when a VM notices the end of an outage, which may
// be long after it.
func TestGracePeriodsEndHoweverLateTheyBegin(t *testing.T) {
	r := New(Config{})
	r.ApplySnapshot(at(0), at(0), 10, Records{ready("a", 1), ready("b", 2), ready("c", 3), ready("d", 4)})
	r.StoreRecovered(at(5000), at(3000))
	r.ApplySnapshot(at(5000), at(5000), 11, Records{ready("b", 2), ready("c", 3), ready("d", 4)})
	assert.Equal(t, names(r.Usable(at(5999))), "abcd")
	assert.Equal(t, names(r.Usable(at(6001))), "bcd", "three seconds after the store was last known to be down")
	r.StoreRecovered(at(6100), at(4900))
	r.ApplySnapshot(at(6100), at(6100), 12, Records{ready("c", 3), ready("d", 4)})
	assert.Equal(t, names(r.Usable(at(6100))), "cd", "the same outage, noticed by another read")
	r.ApplySnapshot(at(6200), at(5200), 13, nil)
	assert.Equal(t, names(r.Usable(at(6699))), "cd", "both may have been removed since 5200")
	assert.Equal(t, names(r.Usable(at(6701))), "")
}

func TestMassRemoval(t *testing.T) {
	r := New(Config{})
	r.ApplySnapshot(at(0), at(0), 10, Records{ready("a", 1), ready("b", 2), ready("c", 3)})
	r.ApplySnapshot(at(100), at(100), 11, Records{ready("a", 1)})
	assert.Equal(t, names(r.Usable(at(1599))), "abc")
	assert.Equal(t, names(r.Usable(at(1601))), "a")
	r.ApplySnapshot(at(2000), at(2000), 12, Records{ready("a", 1), ready("b", 12)})
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

// eraBits is the number of low bits of a revision that hold the number in these tests.
const eraBits = 32

func inEra(era, number int64) int64 { return era<<eraBits | number }

func newEraRegistry() *Registry {
	return New(Config{Era: func(revision int64) int64 { return revision >> eraBits }})
}

// After a restore, the store's copy may have older entries than what is known. They do not
// bring back a leaving or removed replica until the grace period has ended, and what is
// written after the restore counts at once.
func TestRestoredStoreBringsNothingBack(t *testing.T) {
	r := newEraRegistry()
	r.ApplySnapshot(at(0), at(0), inEra(1, 10), Records{ready("a", inEra(1, 1)), ready("b", inEra(1, 2)), ready("c", inEra(1, 3))})
	r.ApplyRecord(at(1), leaving("a", inEra(1, 11)))
	r.ApplyRecord(at(1), Record{ID: "b", Revision: inEra(1, 12)})
	assert.Equal(t, names(r.Usable(at(1))), "c")

	r.StoreRecovered(at(100), at(100))
	r.ApplySnapshot(at(100), at(100), inEra(2, 5), Records{ready("a", inEra(2, 1)), ready("b", inEra(2, 2))})
	assert.Equal(t, names(r.Usable(at(100))), "c", "c has yet to register again")
	r.ApplyRecord(at(200), leaving("a", inEra(2, 6)))
	assert.Equal(t, names(r.Usable(at(2399))), "c")
	assert.Equal(t, names(r.Usable(at(2401))), "b", "b has registered, or its entry would have ended")
	r.ApplyRecord(at(2500), ready("a", inEra(2, 9)))
	assert.Equal(t, names(r.Usable(at(2500))), "ab")
}

// A replica that registers again after the restore counts at once, and what is held back
// goes with the entry.
func TestRestoredStoreIsBelievedAnew(t *testing.T) {
	r := newEraRegistry()
	r.ApplySnapshot(at(0), at(0), inEra(1, 10), Records{ready("a", inEra(1, 1)), ready("b", inEra(1, 2))})
	r.ApplySnapshot(at(1), at(1), inEra(1, 11), nil)
	assert.Equal(t, names(r.Usable(at(2000))), "")
	r.ApplySnapshot(at(2100), at(2100), inEra(2, 5), Records{ready("a", inEra(2, 1)), ready("b", inEra(2, 2))})
	assert.Equal(t, names(r.Usable(at(2100))), "")
	assert.Assert(t, r.ApplyRecord(at(2200), ready("a", inEra(2, 6))))
	assert.Equal(t, names(r.Usable(at(2200))), "a")
	r.ApplySnapshot(at(2300), at(2300), inEra(2, 7), Records{ready("a", inEra(2, 6))})
	assert.Equal(t, names(r.Usable(at(9000))), "a")
}

// However records of several eras are mixed and reordered, the latest one of the latest era
// counts in the end.
func TestRecordsOfErasInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records Records
		for era := range int64(3) {
			for range rapid.IntRange(1, 4).Draw(t, "records") {
				record := ready("a", inEra(era, rapid.Int64Range(1, 5).Draw(t, "number")))
				if rapid.Bool().Draw(t, "leaving") {
					record = leaving("a", record.Revision)
				}
				// Of one revision there is one record.
				if !slices.ContainsFunc(records, func(other Record) bool { return other.Revision == record.Revision }) {
					records = append(records, record)
				}
			}
		}
		newest := slices.MaxFunc(records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
		r := newEraRegistry()
		now := 0
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			now += rapid.IntRange(0, 3000).Draw(t, "pause")
			r.ApplyRecord(at(now), record)
			r.Usable(at(now))
		}
		want := ""
		if newest.Entry.State == StateReady {
			want = "a"
		}
		assert.Equal(t, names(r.Usable(at(now+2300))), want)
	})
}
