package tree

import (
	"cmp"
	"slices"
	"time"
)

// MergeOptions is what MergeInto needs besides the two documents.
type MergeOptions struct {
	// Records is the history of the other document.
	Records Records
	// ChangeID and Author name the merge itself.
	ChangeID string
	Author   string
	Now      time.Time
}

// MergeResult is the result of MergeInto.
type MergeResult struct {
	Document Document
	// Replayed are the other side's changes that the result holds, Dropped
	// those that it does not.
	Replayed []ChangeRef
	Dropped  []ChangeRef
}

// Merge joins two documents of which each holds a change that the other
// lacks: the other's changes since the last common one are applied on top of
// ours, in their order. A change that would make the tree invalid, or that the
// history does not hold any more, is dropped.
func (d Document) Merge(other Document, m MergeOptions) MergeResult {
	merged := MergeResult{Document: Document{Head: d.join(other.Head, m), Tree: d.Tree}}
	var last ChangeRef
	for _, mark := range other.ChangesNotIn(d.Head) {
		next, by, ok := replay(merged.Document.Tree, mark, last, m.Records)
		if !ok {
			merged.Dropped = append(merged.Dropped, mark)
			continue
		}
		merged.Document.Tree, last = next, by
		merged.Replayed = append(merged.Replayed, mark)
	}
	return merged
}

// ChangesNotIn returns the marks that this head has and the other does not.
func (h Head) ChangesNotIn(other Head) []ChangeRef {
	var marks []ChangeRef
	for _, m := range h.Recent {
		if !other.Includes(m) {
			marks = append(marks, m)
		}
	}
	return marks
}

// replay applies the record that brings in a change, once for all the changes
// that it covers.
func replay(t *Tree, mark, last ChangeRef, records Records) (*Tree, ChangeRef, bool) {
	for _, r := range records {
		if !r.Includes(mark) {
			continue
		}
		if r.ChangeRef == last {
			return t, last, true
		}
		next, err := t.Apply(r.Edits)
		return next, r.ChangeRef, err == nil
	}
	return nil, last, false
}

// join returns a head that holds both heads' marks.
func (h Head) join(other Head, m MergeOptions) Head {
	marks := append(slices.Clone(h.Recent), other.ChangesNotIn(h)...)
	slices.SortStableFunc(marks, func(a, b ChangeRef) int { return cmp.Compare(a.Version, b.Version) })
	base := Head{ChangeRef: ChangeRef{Version: max(h.Version, other.Version)}, Recent: marks}
	return base.Next(m.ChangeID, m.Author, m.Now)
}
