package conf

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// RestoreResult tells what a restore did.
type RestoreResult struct {
	// Document is what the platform holds afterwards.
	Document   tree.Document
	Comparison tree.Comparison
	// Dropped are changes that could not be merged.
	Dropped []tree.ChangeRef
}

// Restore brings a platform that came back with older data up to the document
// in force. Where the platform has accepted changes that the document lacks,
// these are merged on top under a new version. Nothing is written where the
// platform already holds the document.
//
// Errors: kvs.ErrUnavailable, kvs.ErrUnknown; AlreadyExists where the platform
// was changed meanwhile.
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
	if err := s.replace(ctx, loaded, restored.Document, restored.record(loaded, author, s.c.Now())); err != nil {
		return RestoreResult{}, errors.Annotate(err, "Store.Restore")
	}
	return restored, nil
}

// record is what the history says of the restore.
func (r RestoreResult) record(loaded Loaded, author string, now time.Time) tree.Record {
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

// replace writes all branches under a new generation, which nobody reads yet,
// and then switches over to it with the head. Every step compares the head.
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
	err = s.chunks(ctx, loaded.unchanged(), ops)
	if err == nil {
		err = s.guarded(ctx, loaded.unchanged(), headOps)
	}
	if errors.Is(err, errors.AlreadyExists) {
		s.discard(ctx, ops)
	}
	if err != nil {
		return errors.Trace(err)
	}
	s.sweep(ctx, loaded, d.ChangeRef)
	return nil
}

// discard removes the branches of a generation that lost the race.
func (s *Store) discard(ctx context.Context, ops []kvs.Op) {
	var deletes []kvs.Op
	for _, op := range ops {
		deletes = append(deletes, kvs.Delete(op.Key))
	}
	for len(deletes) > 0 {
		n := min(len(deletes), maxWrites)
		if _, err := s.transact(ctx, kvs.Txn{Then: deletes[:n]}); err != nil {
			return
		}
		deletes = deletes[n:]
	}
}

func (s *Store) chunks(ctx context.Context, guard kvs.Compare, ops []kvs.Op) error {
	for len(ops) > 0 {
		n := min(len(ops), maxWrites)
		if err := s.guarded(ctx, guard, ops[:n]); err != nil {
			return errors.Trace(err)
		}
		ops = ops[n:]
	}
	return nil
}

// guarded applies the operations if the compare holds.
func (s *Store) guarded(ctx context.Context, guard kvs.Compare, ops []kvs.Op) error {
	result, err := s.transact(ctx, kvs.Txn{Compares: []kvs.Compare{guard}, Then: ops})
	if err != nil {
		return errors.Trace(err)
	}
	if !result.Succeeded {
		return errors.AlreadyExistsf("newer settings")
	}
	return nil
}

// sweep removes the branches of the older generations. What a failure leaves
// over is removed after the next restore.
func (s *Store) sweep(ctx context.Context, loaded Loaded, now tree.ChangeRef) {
	present, mod, err := s.loadHead(ctx)
	if err != nil || present.ChangeRef != now {
		return
	}
	var ops []kvs.Op
	for _, key := range loaded.stale {
		ops = append(ops, kvs.Delete(key))
	}
	for _, b := range loaded.Tree.Branches() {
		ops = append(ops, kvs.Delete(branchKey(loaded.generation, b)))
	}
	_ = s.chunks(ctx, kvs.Unchanged(HeadKey, mod), ops)
}
