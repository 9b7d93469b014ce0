package conf

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// RestoreResult is the result of a restore.
type RestoreResult struct {
	// Document is the document that the platform holds afterwards.
	Document tree.Document
	// Comparison says how the platform's head related to the one in force.
	Comparison tree.Comparison
	// Dropped are the platform's changes that could not be merged.
	Dropped []tree.ChangeRef
}

// Restore writes the document in force to a platform that came back with older
// data. Changes that the platform has accepted and the document lacks are merged
// on top under a new version. Nothing is written if the platform already holds
// the document.
//
// Errors: kvs.ErrUnavailable, kvs.ErrUnknown; AlreadyExists if the platform was
// changed in the meantime.
func (s *Store) Restore(ctx context.Context, inForce tree.Document, author string) (RestoreResult, error) {
	loaded, err := s.Load(ctx)
	if err != nil {
		return RestoreResult{}, errors.Annotate(err, "Store.Restore")
	}
	restored := RestoreResult{Document: inForce, Comparison: inForce.Compare(loaded.Head)}
	switch restored.Comparison.Relation {
	case tree.RelationSame, tree.RelationAhead:
		restored.Document = loaded.Document
		return restored, nil
	case tree.RelationDiverged:
		records, err := s.History(ctx)
		if err != nil {
			return RestoreResult{}, errors.Annotate(err, "Store.Restore")
		}
		merged := inForce.Merge(loaded.Document, tree.MergeOptions{
			Records: records, ChangeID: s.c.NewID(), Author: author, Now: s.c.Now(),
		})
		restored.Document, restored.Dropped = merged.Document, merged.Dropped
	}
	if err := s.replace(ctx, loaded, restored.Document, restored.historyRecord(loaded, author, s.c.Now())); err != nil {
		return RestoreResult{}, errors.Annotate(err, "Store.Restore")
	}
	return restored, nil
}

// historyRecord returns the history record of the restore.
func (r RestoreResult) historyRecord(loaded Loaded, author string, now time.Time) tree.Record {
	return tree.Record{
		ChangeRef: r.Document.ChangeRef,
		Author:    author,
		Time:      now,
		Edits:     loaded.Tree.Diff(r.Document.Tree),
		Undo:      r.Document.Tree.Diff(loaded.Tree),
		Covers:    r.Document.ChangesNotIn(loaded.Head),
		Dropped:   r.Dropped,
	}
}

// replace writes all branches under a new generation, which is not read yet, and
// then switches to it by writing the head. Every step compares the head.
func (s *Store) replace(ctx context.Context, loaded Loaded, d tree.Document, record tree.Record) error {
	generation := s.c.NewID()
	ops, err := branchOps(generation, d.Tree.AsEdits())
	if err != nil {
		return errors.Trace(err)
	}
	h := head{Head: d.Head, Generation: generation, Writes: len(ops)}
	headOps, err := s.headOps(h, record, loaded.Version)
	if err != nil {
		return errors.Trace(err)
	}
	err = s.applyInChunks(ctx, loaded.headUnchanged(), ops)
	if err == nil {
		err = s.applyIf(ctx, loaded.headUnchanged(), headOps)
	}
	if errors.Is(err, errors.AlreadyExists) {
		s.deleteBranches(ctx, ops)
	}
	if err != nil {
		return errors.Trace(err)
	}
	s.deleteStale(ctx, loaded, d.ChangeRef)
	return nil
}

// deleteBranches deletes the branches that a restore has written but cannot switch
// to, because the head was changed in the meantime.
func (s *Store) deleteBranches(ctx context.Context, ops []kvs.Op) {
	var deletes []kvs.Op
	for _, op := range ops {
		deletes = append(deletes, kvs.Delete(op.Key))
	}
	for len(deletes) > 0 {
		n := min(len(deletes), maxBranchWrites)
		if _, err := s.transact(ctx, kvs.Txn{Then: deletes[:n]}); err != nil {
			return
		}
		deletes = deletes[n:]
	}
}

// applyInChunks applies the operations in transactions of at most maxBranchWrites
// each, as long as the condition holds.
func (s *Store) applyInChunks(ctx context.Context, condition kvs.Compare, ops []kvs.Op) error {
	for len(ops) > 0 {
		n := min(len(ops), maxBranchWrites)
		if err := s.applyIf(ctx, condition, ops[:n]); err != nil {
			return errors.Trace(err)
		}
		ops = ops[n:]
	}
	return nil
}

// applyIf applies the operations if the condition holds.
//
// Errors: AlreadyExists if it does not.
func (s *Store) applyIf(ctx context.Context, condition kvs.Compare, ops []kvs.Op) error {
	result, err := s.transact(ctx, kvs.Txn{Compares: []kvs.Compare{condition}, Then: ops})
	if err != nil {
		return errors.Trace(err)
	}
	if !result.Succeeded {
		return errors.AlreadyExistsf("newer settings")
	}
	return nil
}

// deleteStale deletes the branches of older generations if the head is still the
// one that the restore has written. Keys that remain after a failure are deleted
// by the next restore.
func (s *Store) deleteStale(ctx context.Context, loaded Loaded, written tree.ChangeRef) {
	present, mod, err := s.loadHead(ctx)
	if err != nil || present.ChangeRef != written {
		return
	}
	var ops []kvs.Op
	for _, key := range loaded.staleKeys {
		ops = append(ops, kvs.Delete(key))
	}
	for _, b := range loaded.Tree.Branches() {
		ops = append(ops, kvs.Delete(branchKey(loaded.generation, b)))
	}
	_ = s.applyInChunks(ctx, kvs.Unchanged(HeadKey, mod), ops)
}
