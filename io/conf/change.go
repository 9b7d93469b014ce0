package conf

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// Change is what an operator asks for.
type Change struct {
	// ID makes the change recognisable when it is submitted again; a fresh one
	// by default.
	ID     string     `json:"id,omitempty"`
	Author string     `json:"author"`
	Edits  tree.Edits `json:"edits"`
	// Base is the version that the author has seen; 0 takes the present one.
	Base int64 `json:"base,omitempty"`
}

// ChangeResult is an accepted change.
type ChangeResult struct {
	// Document is the tree with the change; a later one if the change was
	// submitted again.
	Document tree.Document
	Record   tree.Record
	// Unchanged is true where the tree already was as the change wants it.
	Unchanged bool
	// AlreadyAccepted is true where the reply was lost and the change was found again.
	AlreadyAccepted bool
}

// ChangeRef names the change, or what the tree is at where it is unchanged.
func (a ChangeResult) ChangeRef() tree.ChangeRef {
	if a.Unchanged {
		return a.Document.ChangeRef
	}
	return a.Record.ChangeRef
}

// Change makes one change. Floor is the head that is in force where the change
// is submitted: a platform that is behind it is not changed.
//
// Errors: tree.Problems, *Conflict, ErrBehind, ErrDamaged, ErrTooLarge,
// kvs.ErrUnavailable (all of them: surely not made), ErrUnsettled.
func (s *Store) Change(ctx context.Context, c Change, floor tree.Head) (ChangeResult, error) {
	if c.ID == "" {
		c.ID = s.c.NewID()
	}
	loaded, err := s.Load(ctx)
	if err != nil {
		return ChangeResult{}, errors.Annotate(err, "Store.Change")
	}
	if done := find(loaded.Head, c.ID); done.Version > 0 {
		return ChangeResult{Document: loaded.Document, Record: tree.Record{ChangeRef: done, Author: c.Author, Edits: c.Edits}, AlreadyAccepted: true}, nil
	}
	if v := floor.Compare(loaded.Head).Relation; v == tree.RelationBehind || v == tree.RelationDiverged {
		return ChangeResult{}, errors.Annotatef(ErrBehind, "version %d, in force %d", loaded.Version, floor.Version)
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

// find returns the mark of a change id; the zero mark if it is not there.
func find(h tree.Head, changeID string) tree.ChangeRef {
	for _, m := range h.Recent {
		if m.ChangeID == changeID {
			return m
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
	txn, err := s.transaction(accepted, loaded, writes)
	if err != nil {
		return ChangeResult{}, errors.Trace(err)
	}
	if err := s.settle(ctx, c, loaded, txn, &accepted); err != nil {
		return ChangeResult{}, err
	}
	return accepted, nil
}

// transaction writes branches, head and history if the head is as loaded.
func (s *Store) transaction(a ChangeResult, loaded Loaded, writes tree.Edits) (kvs.Txn, error) {
	if len(writes) > maxWrites {
		return kvs.Txn{}, errors.Annotatef(ErrTooLarge, "%d branches, at most %d", len(writes), maxWrites)
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
		Compares: []kvs.Compare{loaded.unchanged()},
		Then:     append(ops, headOps...),
		Else:     []kvs.Op{kvs.Get(HeadKey)},
	}
	return txn, nil
}

// unchanged holds while the head is the one that was loaded.
func (l Loaded) unchanged() kvs.Compare {
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

// maxPruned bounds the history keys that one transaction removes.
const maxPruned = 16

// headOps writes the head and the history, and removes what is too old.
func (s *Store) headOps(h head, record tree.Record, before int64) ([]kvs.Op, error) {
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
	oldest := h.Version - s.c.HistorySize
	for v := max(1, before-s.c.HistorySize+1, oldest-maxPruned+1); v <= oldest; v++ {
		ops = append(ops, kvs.Delete(historyKey(v)))
	}
	return ops, nil
}

// settle sends the transaction until it is known whether it took effect. To
// send it twice is safe, as the compare on the head lets it take effect once.
func (s *Store) settle(ctx context.Context, c Change, loaded Loaded, txn kvs.Txn, accepted *ChangeResult) error {
	unknown := false
	for try := 1; ; try++ {
		result, err := s.transact(ctx, txn)
		switch {
		case err == nil && result.Succeeded:
			return nil
		case err == nil:
			return s.outrun(ctx, c, loaded, result, accepted)
		case errors.Is(err, kvs.ErrUnavailable) && !unknown:
			return errors.Annotate(err, "Store.Change")
		case try >= s.c.MaxAttempts:
			return errors.Annotatef(ErrOutcomeUnknown, "change id %s (%v)", c.ID, err)
		}
		unknown = true
		if err := pause(ctx, s.c.RetryDelay); err != nil {
			return errors.Annotatef(ErrOutcomeUnknown, "change id %s", c.ID)
		}
	}
}

func (s *Store) transact(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.CallTimeout)
	defer cancel()
	return s.c.Service.Transact(ctx, txn)
}

// outrun tells a change whose first reply was lost from a conflict.
func (s *Store) outrun(ctx context.Context, c Change, loaded Loaded, result kvs.TxnResult, accepted *ChangeResult) error {
	var present head
	if len(result.Lookups) > 0 && result.Lookups[0].Found {
		h, err := parseHead(result.Lookups[0].Entry.Value)
		if err != nil {
			return errors.Trace(err)
		}
		present = h
	}
	if find(present.Head, c.ID).Version > 0 {
		accepted.AlreadyAccepted = true
		return nil
	}
	return s.conflict(ctx, c, loaded.Version, present.Head)
}

// conflict collects what the other side did; without the history it still
// shows its head.
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

func pause(ctx context.Context, d time.Duration) error {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-wait.C:
		return nil
	}
}
