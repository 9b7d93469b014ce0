package conf

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"gentianwell/core/tree"
)

// History returns the changes that the history holds, the oldest first.
//
// Errors: kvs.ErrUnavailable, or NotValid for a damaged record.
func (s *Store) History(ctx context.Context) (tree.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.CallTimeout)
	defer cancel()
	snap, err := s.c.Service.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "Store.History")
	}
	records := make(tree.Records, 0, len(snap.Entries))
	for _, e := range snap.Entries {
		var record tree.Record
		if err := json.Unmarshal(e.Value, &record); err != nil {
			return nil, errors.NewNotValid(err, "Store.History: "+e.Key)
		}
		records = append(records, record)
	}
	return records, nil
}

// UndoEdits returns the edits that undo the change of a version.
//
// Errors: NotFound if the history does not hold the version; NotSupported if the
// version brought in several changes; *Conflict if a later change modified the
// same branch.
func (s *Store) UndoEdits(ctx context.Context, version int64) (tree.Edits, error) {
	records, err := s.History(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for i, record := range records {
		if record.Version != version {
			continue
		}
		return undoEdits(record, records[i+1:])
	}
	return nil, errors.NotFoundf("Store.UndoEdits: version %d in the history", version)
}

// Undo undoes the change of a version by making the change c with the edits of
// UndoEdits in place of its own. If the head's recent changes include the ID of c,
// the undo has been made before and is not made again.
//
// Errors: those of UndoEdits and Change.
func (s *Store) Undo(ctx context.Context, version int64, c Change, inForce tree.Head) (ChangeResult, error) {
	present, _, err := s.loadHead(ctx)
	if err != nil {
		return ChangeResult{}, errors.Trace(err)
	}
	if findChange(present.Head, c.ID).Version > 0 {
		return s.Change(ctx, c, inForce)
	}
	c.Edits, err = s.UndoEdits(ctx, version)
	if err != nil {
		return ChangeResult{}, err
	}
	return s.Change(ctx, c, inForce)
}

// undoEdits returns the edits that undo a record, given the records after it.
func undoEdits(record tree.Record, later tree.Records) (tree.Edits, error) {
	if len(record.Covers) > 1 {
		return nil, errors.NotSupportedf("to undo version %d, which brought in %d changes,", record.Version, len(record.Covers))
	}
	conflict := &Conflict{Base: record.Version, Mine: record.Undo, Head: record.ChangeRef}
	for _, r := range later {
		conflict.Head = r.ChangeRef
		if r.Overlaps(record) {
			conflict.Theirs = append(conflict.Theirs, r)
		}
	}
	if len(conflict.Theirs) > 0 {
		return nil, conflict
	}
	return record.Undo, nil
}
