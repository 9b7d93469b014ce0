package tree

import "fmt"

// Relation says how another head relates to the one in force.
type Relation string

// The verdicts. Only VerdictAdopt changes what is in force.
const (
	// RelationSame means that both are at the same change.
	RelationSame Relation = "same"
	// RelationAhead means that the other holds all of ours and more.
	RelationAhead Relation = "adopt"
	// RelationBehind means that ours holds all of the other's.
	RelationBehind Relation = "behind"
	// RelationDiverged means that each holds a change that the other lacks.
	RelationDiverged Relation = "diverged"
)

// Comparison is a verdict with its reason.
type Comparison struct {
	Relation Relation
	Reason   string
}

// Compare compares the head in force with another one.
func (h Head) Compare(other Head) Comparison {
	verdict := h.verdict(other)
	return Comparison{
		Relation: verdict,
		Reason:   fmt.Sprintf("in force %s, offered %s: %s", h.ChangeRef, other.ChangeRef, verdict),
	}
}

func (h Head) verdict(other Head) Relation {
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

// String returns version and change id, for example "12/4f1c".
func (m ChangeRef) String() string { return fmt.Sprintf("%d/%s", m.Version, m.ChangeID) }
