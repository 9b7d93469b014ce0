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
	// Edits are as the author gave them.
	Edits Edits `json:"edits"`
	// Undo leads back to the tree before the change, branch by branch.
	Undo Edits `json:"undo"`
	// Covers are the changes that a restore or a merge brought in with this
	// one; Dropped are those that a merge could not keep.
	Covers  []ChangeRef `json:"covers,omitempty"`
	Dropped []ChangeRef `json:"dropped,omitempty"`
}

// Records are records in the order of their versions.
type Records []Record

// Includes reports whether the record's edits bring in the change of the mark.
func (r Record) Includes(mark ChangeRef) bool {
	return r.ChangeRef == mark || slices.Contains(r.Covers, mark)
}

// Overlaps reports whether an undo of the older record would change a branch
// that this record has changed since.
func (r Record) Overlaps(older Record) bool {
	return slices.ContainsFunc(r.Undo, func(e Edit) bool {
		return slices.ContainsFunc(older.Undo, func(o Edit) bool { return o.Path == e.Path })
	})
}
