package fakekv

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/io/kvs"
)

// A store that tells its era comes back from an older copy: what was written since is gone,
// leases too, numbers and ids are given out again, no condition on a revision of the era
// before holds, and a watch from one ends.
func TestRestoreBeginsEra(t *testing.T) {
	ctx := t.Context()
	fake := New(Config{TellsEra: true})
	svc := fake.Service()
	put := func(key string, lease kvs.LeaseID, compares ...kvs.Compare) kvs.TxnResult {
		result, err := svc.Transact(ctx, kvs.Txn{Compares: compares, Then: []kvs.Op{kvs.Put(key, []byte("v"), lease)}})
		assert.NilError(t, err)
		return result
	}
	kept := put("kept", 0)
	fake.Save()
	lease, err := svc.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	lost := put("lost", lease.ID)
	fake.Restore()

	_, err = svc.Renew(ctx, lease.ID)
	assert.ErrorIs(t, err, kvs.ErrLeaseLapsed)
	lookup, err := svc.Get(ctx, "lost")
	assert.NilError(t, err)
	assert.Assert(t, !lookup.Found)
	assert.Assert(t, !put("kept", 0, kvs.Unchanged("kept", kept.Revision)).Succeeded)
	assert.ErrorIs(t, svc.Watch(ctx, "", lost.Revision, func(kvs.Batch) error { return nil }), kvs.ErrCompacted)

	again := put("other", 0)
	assert.Equal(t, again.Revision.Number(), lost.Revision.Number())
	assert.Equal(t, again.Revision.Era(), lost.Revision.Era()+1)
	leaseAgain, err := svc.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, leaseAgain.ID, lease.ID)
	lookup, err = svc.Get(ctx, "kept")
	assert.NilError(t, err)
	assert.Equal(t, lookup.Entry.ModRevision, kvs.MakeRevision(1, kept.Revision.Number()))
}
