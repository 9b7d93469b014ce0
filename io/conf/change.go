package conf

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// Change is a change that an operator submits.
type Change struct {
	// ID identifies the change when it is submitted again; by default it is a
	// new ID.
	ID     string     `json:"id,omitempty"`
	Author string     `json:"author"`
	Edits  tree.Edits `json:"edits"`
	// Base is the version that the edits are based on; 0 means the current one.
	Base int64 `json:"base,omitempty"`
}

// ChangeResult is the result of a change that was accepted or had nothing to
// change.
type ChangeResult struct {
	// Document is the tree with the change. It may include later changes if
	// AlreadyAccepted is true.
	Document tree.Document
	Record   tree.Record
	// Unchanged is true if the edits would not have changed the tree; nothing was
	// written.
	Unchanged bool
	// AlreadyAccepted is true if an earlier attempt had been accepted, for
	// example because its reply was lost.
	AlreadyAccepted bool
}

// ChangeRef identifies the change, or the tree's latest change if the result is
// Unchanged.
func (r ChangeResult) ChangeRef() tree.ChangeRef {
	if r.Unchanged {
		return r.Document.ChangeRef
	}
	return r.Record.ChangeRef
}

// Change makes one change. inForce is the head in force on the VM where the
// change is submitted: a platform that lacks changes of it is not changed.
//
// Errors: tree.Problems, *Conflict, ErrBehind, ErrDamaged, ErrTooLarge and
// kvs.ErrUnavailable, all of which mean that the change was certainly not made;
// ErrOutcomeUnknown.
func (s *Store) Change(ctx context.Context, c Change, inForce tree.Head) (ChangeResult, error) {
	if c.ID == "" {
		c.ID = s.c.NewID()
	}
	loaded, err := s.Load(ctx)
	if err != nil {
		return ChangeResult{}, errors.Annotate(err, "Store.Change")
	}
	if accepted := findChange(loaded.Head, c.ID); accepted.Version > 0 {
		return ChangeResult{Document: loaded.Document, Record: tree.Record{ChangeRef: accepted, Author: c.Author, Edits: c.Edits}, AlreadyAccepted: true}, nil
	}
	if relation := inForce.Compare(loaded.Head).Relation; relation == tree.RelationBehind || relation == tree.RelationDiverged {
		return ChangeResult{}, errors.Annotatef(ErrBehind, "version %d, in force %d", loaded.Version, inForce.Version)
	}
	if c.Base > 0 && c.Base != loaded.Version {
		return ChangeResult{}, s.conflict(ctx, c, c.Base, loaded.Head)
	}
	next, err := loaded.Tree.Apply(c.Edits)
	if err != nil {
		return ChangeResult{}, err
	}
	return s.write(ctx, c, loaded, next)
}

// findChange returns the reference of a recent change by its ID, or the zero
// reference if it is not found.
func findChange(h tree.Head, changeID string) tree.ChangeRef {
	for _, ref := range h.Recent {
		if ref.ChangeID == changeID {
			return ref
		}
	}
	return tree.ChangeRef{}
}

func (s *Store) write(ctx context.Context, c Change, loaded Loaded, next *tree.Tree) (ChangeResult, error) {
	writes := loaded.Tree.Diff(next)
	if len(writes) == 0 {
		return ChangeResult{Document: loaded.Document, Unchanged: true}, nil
	}
	now := s.c.Now()
	accepted := ChangeResult{
		Document: tree.Document{Head: loaded.Next(c.ID, c.Author, now), Tree: next},
		Record:   tree.Record{Author: c.Author, Time: now, Edits: c.Edits, Undo: next.Diff(loaded.Tree)},
	}
	accepted.Record.ChangeRef = accepted.Document.ChangeRef
	txn, err := s.newTransaction(accepted, loaded, writes)
	if err != nil {
		return ChangeResult{}, errors.Trace(err)
	}
	if err := s.commit(ctx, c, loaded, txn, &accepted); err != nil {
		return ChangeResult{}, err
	}
	return accepted, nil
}

// newTransaction returns a transaction that writes the branches, the head and the
// history if the head is still the one that was loaded.
func (s *Store) newTransaction(a ChangeResult, loaded Loaded, writes tree.Edits) (kvs.Txn, error) {
	if len(writes) > maxBranchWrites {
		return kvs.Txn{}, errors.Annotatef(ErrTooLarge, "%d branches, at most %d", len(writes), maxBranchWrites)
	}
	ops, err := branchOps(loaded.generation, writes)
	if err != nil {
		return kvs.Txn{}, errors.Trace(err)
	}
	h := head{Head: a.Document.Head, Generation: loaded.generation, Writes: len(writes)}
	headOps, err := s.headOps(h, a.Record, loaded.Version)
	if err != nil {
		return kvs.Txn{}, errors.Trace(err)
	}
	txn := kvs.Txn{
		Compares: []kvs.Compare{loaded.headUnchanged()},
		Then:     append(ops, headOps...),
		Else:     []kvs.Op{kvs.Get(HeadKey)},
	}
	return txn, nil
}

// headUnchanged returns the condition that the head is still the one that was
// loaded.
func (l Loaded) headUnchanged() kvs.Compare {
	if l.headMod == 0 {
		return kvs.Absent(HeadKey)
	}
	return kvs.Unchanged(HeadKey, l.headMod)
}

func branchOps(generation string, writes tree.Edits) ([]kvs.Op, error) {
	ops := make([]kvs.Op, 0, len(writes))
	for _, w := range writes {
		path, err := tree.ParsePath(w.Path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		key := branchKey(generation, path.Branch)
		if len(w.Value) == 0 {
			ops = append(ops, kvs.Delete(key))
			continue
		}
		ops = append(ops, kvs.Put(key, w.Value, 0))
	}
	return ops, nil
}

// maxHistoryDeletes is the maximum number of history keys that one transaction
// deletes.
const maxHistoryDeletes = 16

// headOps returns the operations that write the head and the history record and
// delete the records that exceed the history size.
func (s *Store) headOps(h head, record tree.Record, previousVersion int64) ([]kvs.Op, error) {
	rawHead, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rawRecord, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(rawRecord) > maxValueBytes {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes, at most %d", len(rawRecord), maxValueBytes)
	}
	ops := []kvs.Op{
		kvs.Put(HeadKey, rawHead, 0),
		kvs.Put(historyKey(h.Version), rawRecord, 0),
	}
	lastExpired := h.Version - s.c.HistorySize
	for v := max(1, previousVersion-s.c.HistorySize+1, lastExpired-maxHistoryDeletes+1); v <= lastExpired; v++ {
		ops = append(ops, kvs.Delete(historyKey(v)))
	}
	return ops, nil
}

// commit sends the transaction until its outcome is known. Sending it twice is
// safe because the compare on the head lets it take effect only once.
func (s *Store) commit(ctx context.Context, c Change, loaded Loaded, txn kvs.Txn, accepted *ChangeResult) error {
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		result, err := s.transact(ctx, txn)
		switch {
		case err == nil && result.Succeeded:
			return nil
		case err == nil:
			return s.resolveRejected(ctx, c, loaded, result, accepted)
		case errors.Is(err, kvs.ErrUnavailable) && !mayHaveRun:
			return errors.Annotate(err, "Store.Change")
		case attempt >= s.c.MaxAttempts:
			return errors.Annotatef(ErrOutcomeUnknown, "change id %s (%v)", c.ID, err)
		}
		mayHaveRun = true
		if err := sleep(ctx, s.c.RetryDelay); err != nil {
			return errors.Annotatef(ErrOutcomeUnknown, "change id %s", c.ID)
		}
	}
}

func (s *Store) transact(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.CallTimeout)
	defer cancel()
	return s.c.Service.Transact(ctx, txn)
}

// resolveRejected handles a transaction whose compare on the head failed: either
// an earlier attempt was accepted and its reply lost, or another change came
// first, which is a conflict.
func (s *Store) resolveRejected(ctx context.Context, c Change, loaded Loaded, result kvs.TxnResult, accepted *ChangeResult) error {
	var present head
	if len(result.Lookups) > 0 && result.Lookups[0].Found {
		h, err := parseHead(result.Lookups[0].Entry.Value)
		if err != nil {
			return errors.Trace(err)
		}
		present = h
	}
	if findChange(present.Head, c.ID).Version > 0 {
		accepted.AlreadyAccepted = true
		return nil
	}
	return s.conflict(ctx, c, loaded.Version, present.Head)
}

// conflict returns a Conflict with the changes since base. If the history cannot
// be read, it has only the current head.
func (s *Store) conflict(ctx context.Context, c Change, base int64, present tree.Head) error {
	conflict := &Conflict{Base: base, Mine: c.Edits, Head: present.ChangeRef}
	records, err := s.History(ctx)
	if err != nil {
		return conflict
	}
	for _, r := range records {
		if r.Version > base && r.Version <= present.Version {
			conflict.Theirs = append(conflict.Theirs, r)
		}
	}
	return conflict
}

func sleep(ctx context.Context, d time.Duration) error {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
		return nil
	}
}
