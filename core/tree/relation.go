package tree

import "fmt"

// Relation says how another head relates to this one.
type Relation string

// The relations. Only RelationAhead changes the document in force.
const (
	// RelationSame means that both heads are at the same change.
	RelationSame Relation = "same"
	// RelationAhead means that the other head includes this one and later changes.
	RelationAhead Relation = "adopt"
	// RelationBehind means that this head includes the other one.
	RelationBehind Relation = "behind"
	// RelationDiverged means that neither head includes the other.
	RelationDiverged Relation = "diverged"
)

// Comparison is the result of comparing two heads, with the reason as text.
type Comparison struct {
	Relation Relation
	Reason   string
}

// Compare returns how the other head relates to this one.
func (h Head) Compare(other Head) Comparison {
	relation := h.relation(other)
	return Comparison{
		Relation: relation,
		Reason:   fmt.Sprintf("in force %s, offered %s: %s", h.ChangeRef, other.ChangeRef, relation),
	}
}

func (h Head) relation(other Head) Relation {
	switch {
	case h.ChangeRef == other.ChangeRef:
		return RelationSame
	case other.Version > h.Version && other.Includes(h.ChangeRef):
		return RelationAhead
	case h.Includes(other.ChangeRef):
		return RelationBehind
	default:
		return RelationDiverged
	}
}

// String returns the version and the change ID, for example "12/4f1c".
func (r ChangeRef) String() string { return fmt.Sprintf("%d/%s", r.Version, r.ChangeID) }
