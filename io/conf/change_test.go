package conf

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

func newStore(svc kvs.Service, prefix string) *Store {
	return mustStore(StoreConfig{Service: svc, Now: time.Now, NewID: newIDs(prefix)})
}

func mustStore(c StoreConfig) *Store {
	store, err := NewStore(c)
	if err != nil {
		panic(err)
	}
	return store
}

// syncFirstLists returns a service that holds back the results of the first n
// lists until all of them were made.
func syncFirstLists(svc kvs.Service, n int) kvs.Service {
	var all sync.WaitGroup
	all.Add(n)
	list := svc.List
	var mu sync.Mutex
	svc.List = func(ctx context.Context, prefix string) (kvs.Snapshot, error) {
		snap, err := list(ctx, prefix)
		mu.Lock()
		waits := n > 0
		n--
		mu.Unlock()
		if waits {
			all.Done()
			all.Wait()
		}
		return snap, err
	}
	return svc
}

// Two racing changes that are each valid alone must not make an invalid tree: one
// of them gets a Conflict.
func TestRaceCannotMakeAnInvalidTree(t *testing.T) {
	fake := fakekv.New(fakekv.Config{})
	first := newStore(fake.Service(), "first")
	_, err := first.Change(t.Context(), Change{Author: "anna", Edits: tree.Edits{
		{Path: "classes.plot", Value: []byte(`{}`)}, {Path: "teams.judges", Value: []byte(`{}`)},
	}}, tree.Head{})
	assert.NilError(t, err)

	changes := []Change{
		{Author: "anna", Edits: tree.Edits{{Path: "classes.plot"}}},
		set("teams.judges.defaultClass", `"plot"`),
	}
	changes[1].Author = "nils"
	svc := syncFirstLists(fake.Service(), len(changes))
	results := make([]error, len(changes))
	var done sync.WaitGroup
	for i, c := range changes {
		store := newStore(svc, c.Author)
		done.Go(func() { _, results[i] = store.Change(t.Context(), c, tree.Head{}) })
	}
	done.Wait()

	loaded, err := first.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, loaded.Version, int64(2))
	loser := 0
	if results[0] == nil {
		loser = 1
	}
	var conflict *Conflict
	assert.Assert(t, errors.As(results[loser], &conflict), "got %v", results)
	text := conflict.Error()
	assert.Assert(t, strings.Contains(text, "accepted: version 2 by "+changes[1-loser].Author+": "+editsText(changes[1-loser].Edits)), text)
	assert.Assert(t, strings.Contains(text, "not made: "+editsText(changes[loser].Edits)), text)

	var problems tree.Problems
	_, err = first.Change(t.Context(), changes[loser], tree.Head{})
	assert.Assert(t, errors.As(err, &problems), "got %v", err)
}

func TestOutcomeOfLostReplies(t *testing.T) {
	tests := []struct {
		name    string
		faults  fakekv.Faults
		want    error
		version int64
		already bool
	}{
		{"reply lost", fakekv.Faults{LoseReplies: 1}, nil, 1, true},
		{"request lost", fakekv.Faults{LoseRequests: 2}, nil, 1, false},
		{"request and reply lost", fakekv.Faults{LoseRequests: 1, LoseReplies: 1}, nil, 1, true},
		{"outage", fakekv.Faults{Outage: true}, kvs.ErrUnavailable, 0, false},
		{"every request lost", fakekv.Faults{LoseRequests: 9}, ErrOutcomeUnknown, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := fakekv.New(fakekv.Config{})
				store := newStore(fake.Service(), "c")
				fake.SetFaults(test.faults)
				accepted, err := store.Change(t.Context(), set("site.weight", "2"), tree.Head{})
				assert.Assert(t, errors.Is(err, test.want), "got %v", err)
				assert.Equal(t, accepted.AlreadyAccepted, test.already)
				fake.SetFaults(fakekv.Faults{})
				loaded, err := store.Load(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, loaded.Version, test.version)
			})
		})
	}
}

// A change that an operator submits again with the same ID, after getting no
// reply, must not be made twice.
func TestResubmittedChangeIsMadeOnce(t *testing.T) {
	store := newStore(fakekv.New(fakekv.Config{}).Service(), "c")
	change := set("site.weight", "2")
	change.ID = "mine"
	_, err := store.Change(t.Context(), change, tree.Head{})
	assert.NilError(t, err)
	_, err = store.Change(t.Context(), set("site.weight", "3"), tree.Head{})
	assert.NilError(t, err)
	again, err := store.Change(t.Context(), change, tree.Head{})
	assert.NilError(t, err)
	assert.Assert(t, again.AlreadyAccepted)
	assert.Equal(t, again.Record.Version, int64(1))
	loaded, err := store.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, value(loaded.Tree, "site.weight"), "3")
}

func TestBaseOfAnOlderVersionConflicts(t *testing.T) {
	store := newStore(fakekv.New(fakekv.Config{}).Service(), "c")
	for _, raw := range []string{"1", "2"} {
		_, err := store.Change(t.Context(), set("site.weight", raw), tree.Head{})
		assert.NilError(t, err)
	}
	late := set("site.weight", "3")
	late.Base = 1
	_, err := store.Change(t.Context(), late, tree.Head{})
	var conflict *Conflict
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	assert.Equal(t, len(conflict.Theirs), 1)
}

func TestHistoryIsBoundedAndUndoes(t *testing.T) {
	store := mustStore(StoreConfig{
		Service: fakekv.New(fakekv.Config{}).Service(), Now: time.Now, NewID: newIDs("c"), HistorySize: 3,
	})
	for _, path := range []string{"site.weight", "site.weight", "classes.a.tier", "classes.b.tier", "classes.c.tier"} {
		_, err := store.Change(t.Context(), set(path, "1"), tree.Head{})
		assert.NilError(t, err)
	}
	_, err := store.Change(t.Context(), set("classes.a.weight", "2"), tree.Head{})
	assert.NilError(t, err)
	records, err := store.History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(records), 3)

	edits, err := store.UndoEdits(t.Context(), 3)
	assert.NilError(t, err)
	accepted, err := store.Change(t.Context(), Change{Author: "anna", Edits: edits}, tree.Head{})
	assert.NilError(t, err)
	assert.Equal(t, value(accepted.Document.Tree, "classes.b"), "")
	_, err = store.Change(t.Context(), set("classes.a.weight", "9"), tree.Head{})
	assert.NilError(t, err)
	var conflict *Conflict
	_, err = store.UndoEdits(t.Context(), 5)
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	assert.Equal(t, conflict.Theirs[0].Version, int64(7))
	_, err = store.UndoEdits(t.Context(), 1)
	assert.Assert(t, errors.Is(err, errors.NotFound), "got %v", err)
}

func TestChangeTooLargeForOneTransaction(t *testing.T) {
	store := newStore(fakekv.New(fakekv.Config{}).Service(), "c")
	var change Change
	for i := range maxBranchWrites + 1 {
		change.Edits = append(change.Edits, tree.Edit{Path: "classes.c" + strings.Repeat("x", i%60) + string(rune('a'+i/60)), Value: []byte("{}")})
	}
	_, err := store.Change(t.Context(), change, tree.Head{})
	assert.ErrorIs(t, err, ErrTooLarge)
}
