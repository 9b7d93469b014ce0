package tree

import (
	"slices"
	"time"
)

// Record is one accepted change in the history.
type Record struct {
	ChangeRef
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Edits are the edits as the author submitted them.
	Edits Edits `json:"edits"`
	// Undo restores the branches that the change modified to their state before it.
	Undo Edits `json:"undo"`
	// Covers are the changes that a restore or a merge included in this record;
	// Dropped are those that a merge could not apply.
	Covers  []ChangeRef `json:"covers,omitempty"`
	Dropped []ChangeRef `json:"dropped,omitempty"`
}

// Records are records in order of version.
type Records []Record

// Includes reports whether the record's edits include a change.
func (r Record) Includes(ref ChangeRef) bool {
	return r.ChangeRef == ref || slices.Contains(r.Covers, ref)
}

// Overlaps reports whether undoing the older record would change a branch that
// this record changed after it.
func (r Record) Overlaps(older Record) bool {
	return slices.ContainsFunc(r.Undo, func(e Edit) bool {
		return slices.ContainsFunc(older.Undo, func(o Edit) bool { return o.Path == e.Path })
	})
}
