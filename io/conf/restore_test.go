package conf

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// newOlderPlatform returns a platform that came back without the latest changes, one
// for each class, and the document in force that includes them.
func newOlderPlatform(t *testing.T, classes int) (*fakekv.Fake, tree.Document) {
	t.Helper()
	fake := fakekv.New(fakekv.Config{})
	store := newStore(fake.Service(), "old")
	_, err := store.Change(t.Context(), set("site.weight", "1"), tree.Head{})
	assert.NilError(t, err)
	fake.Save()
	var last ChangeResult
	for i := range classes {
		last, err = store.Change(t.Context(), set(fmt.Sprintf("classes.c%d", i), "{}"), tree.Head{})
		assert.NilError(t, err)
	}
	fake.Restore()
	return fake, last.Document
}

// A restore must not overwrite a change that is accepted while it is running.
func TestRestoreLosesAgainstAChange(t *testing.T) {
	fake, inForce := newOlderPlatform(t, 1)
	svc := fake.Service()
	transact := svc.Transact
	calls := 0
	svc.Transact = func(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
		if calls++; calls == 2 { // The branches are written, the head is not.
			_, err := newStore(fake.Service(), "new").Change(ctx, set("site.tier", "1"), tree.Head{})
			assert.NilError(t, err)
		}
		return transact(ctx, txn)
	}
	store := newStore(svc, "restore")
	_, err := store.Restore(t.Context(), inForce, "e1")
	assert.Assert(t, errors.Is(err, errors.AlreadyExists), "got %v", err)
	loaded, err := store.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, value(loaded.Tree, "site.tier"), "1")
	assert.Equal(t, len(loaded.staleKeys), 0)

	restored, err := store.Restore(t.Context(), inForce, "e1")
	assert.NilError(t, err)
	assert.Equal(t, restored.Comparison.Relation, tree.RelationDiverged)
	assert.Equal(t, value(restored.Document.Tree, "site.tier"), "1")
	assert.Equal(t, value(restored.Document.Tree, "classes.c0"), "{}")
}

// A restore that fails before it writes the head leaves the platform's tree as it
// was. The next restore deletes the branches that it wrote.
func TestIncompleteRestoreHasNoEffect(t *testing.T) {
	const classes = 2 * maxBranchWrites
	fake, inForce := newOlderPlatform(t, classes)
	svc := fake.Service()
	transact := svc.Transact
	calls := 0
	svc.Transact = func(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
		if calls++; calls > 1 {
			return kvs.TxnResult{}, kvs.ErrUnavailable
		}
		return transact(ctx, txn)
	}
	_, err := newStore(svc, "failing").Restore(t.Context(), inForce, "e1")
	assert.Assert(t, errors.Is(err, kvs.ErrUnavailable), "got %v", err)
	store := newStore(fake.Service(), "next")
	loaded, err := store.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, loaded.Version, int64(1))
	assert.Equal(t, len(loaded.staleKeys), maxBranchWrites)

	_, err = store.Restore(t.Context(), inForce, "e2")
	assert.NilError(t, err)
	loaded, err = store.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, loaded.ChangeRef, inForce.ChangeRef)
	assert.Equal(t, len(loaded.Tree.Classes), classes)
	assert.Equal(t, len(loaded.staleKeys), 0)
}

// The record of a restore covers all the changes that the platform had lost, so
// that a later merge finds them.
func TestRecordOfARestoreCoversWhatWasLost(t *testing.T) {
	fake, inForce := newOlderPlatform(t, 3)
	store := newStore(fake.Service(), "next")
	_, err := store.Restore(t.Context(), inForce, "e1")
	assert.NilError(t, err)
	records, err := store.History(t.Context())
	assert.NilError(t, err)
	last := records[len(records)-1]
	assert.Equal(t, len(last.Covers), 3)
	assert.Equal(t, len(last.Edits), 3)
	_, err = store.UndoEdits(t.Context(), last.Version)
	assert.Assert(t, errors.Is(err, errors.NotSupported), "got %v", err)
}
