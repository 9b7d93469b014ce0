package tree

import (
	"cmp"
	"slices"
	"time"
)

// MergeOptions are the inputs of Document.Merge besides the two documents.
type MergeOptions struct {
	// Records is the history of the other document.
	Records Records
	// ChangeID and Author identify the change that the merge makes.
	ChangeID string
	Author   string
	Now      time.Time
}

// MergeResult is the result of Document.Merge.
type MergeResult struct {
	Document Document
	// Replayed are the other document's changes that were applied; Dropped are
	// those that were not.
	Replayed []ChangeRef
	Dropped  []ChangeRef
}

// Merge merges another document into this one when each has changes that the
// other lacks: the changes that only the other has are applied on top of this
// document, in their order. A change is dropped if it would make the tree
// invalid or is no longer in the history.
func (d Document) Merge(other Document, options MergeOptions) MergeResult {
	merged := MergeResult{Document: Document{Head: d.mergeWith(other.Head, options), Tree: d.Tree}}
	var lastRecord ChangeRef
	for _, ref := range other.ChangesNotIn(d.Head) {
		next, record, ok := replay(merged.Document.Tree, ref, lastRecord, options.Records)
		if !ok {
			merged.Dropped = append(merged.Dropped, ref)
			continue
		}
		merged.Document.Tree, lastRecord = next, record
		merged.Replayed = append(merged.Replayed, ref)
	}
	return merged
}

// ChangesNotIn returns the recent changes that this head has and the other does
// not.
func (h Head) ChangesNotIn(other Head) []ChangeRef {
	var refs []ChangeRef
	for _, ref := range h.Recent {
		if !other.Includes(ref) {
			refs = append(refs, ref)
		}
	}
	return refs
}

// replay applies the record that includes a change. A record may cover several
// changes: if it is lastRecord, it has been applied and the tree is returned as
// it is. The returned reference is that of the applied record.
func replay(t *Tree, ref, lastRecord ChangeRef, records Records) (*Tree, ChangeRef, bool) {
	for _, r := range records {
		if !r.Includes(ref) {
			continue
		}
		if r.ChangeRef == lastRecord {
			return t, lastRecord, true
		}
		next, err := t.Apply(r.Edits)
		return next, r.ChangeRef, err == nil
	}
	return nil, lastRecord, false
}

// mergeWith returns a head that includes the changes of both heads.
func (h Head) mergeWith(other Head, options MergeOptions) Head {
	refs := append(slices.Clone(h.Recent), other.ChangesNotIn(h)...)
	slices.SortStableFunc(refs, func(a, b ChangeRef) int { return cmp.Compare(a.Version, b.Version) })
	base := Head{ChangeRef: ChangeRef{Version: max(h.Version, other.Version)}, Recent: refs}
	return base.Next(options.ChangeID, options.Author, options.Now)
}
