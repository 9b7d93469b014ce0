package tree

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// ChangeRef identifies one accepted change. A version alone does not distinguish
// two histories, such as those before and after the platform was restored from
// older data.
type ChangeRef struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"changeId"`
}

// MaxRecent is the maximum number of changes that a Head lists.
const MaxRecent = 64

// Head identifies the latest change of a tree and the changes before it.
type Head struct {
	ChangeRef
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time,omitzero"`
	// Recent are the latest changes that the tree includes, up to MaxRecent of
	// them. The latest comes last; this one is among them.
	Recent []ChangeRef `json:"recent,omitempty"`
}

// Includes reports whether the tree of this head includes the other change. A
// change that is older than all of a full Recent list counts as included, and so
// does version 0.
func (h Head) Includes(other ChangeRef) bool {
	if other.Version == 0 || h.ChangeRef == other {
		return true
	}
	for _, ref := range h.Recent {
		if ref == other {
			return true
		}
	}
	full := len(h.Recent) >= MaxRecent
	return full && other.Version < h.Recent[0].Version
}

// Next returns the head after one more change.
func (h Head) Next(changeID, author string, now time.Time) Head {
	ref := ChangeRef{Version: h.Version + 1, ChangeID: changeID}
	recent := append(append([]ChangeRef{}, h.Recent...), ref)
	if excess := len(recent) - MaxRecent; excess > 0 {
		recent = recent[excess:]
	}
	return Head{ChangeRef: ref, Author: author, Time: now, Recent: recent}
}

// Document is a tree with its head, in the form that VMs exchange.
type Document struct {
	Head
	Tree *Tree `json:"tree"`
}

// Encode returns the document in JSON.
func (d Document) Encode() ([]byte, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Annotate(err, "Document.Encode")
	}
	return raw, nil
}

// ParseDocument parses the output of Encode and validates the tree.
//
// Errors: NotValid if the input is not a document; Problems if its tree is
// invalid.
func ParseDocument(raw []byte) (Document, error) {
	var outer struct {
		Head
		Tree json.RawMessage `json:"tree"`
	}
	if err := json.Unmarshal(raw, &outer); err != nil {
		return Document{}, errors.NewNotValid(err, "ParseDocument")
	}
	if outer.Version < 0 || len(outer.Recent) > MaxRecent {
		return Document{}, errors.NotValidf("ParseDocument: head with version %d (at least 0) and %d recent changes (at most %d)", outer.Version, len(outer.Recent), MaxRecent)
	}
	t, err := Parse(outer.Tree)
	if err != nil {
		return Document{}, err
	}
	return Document{Head: outer.Head, Tree: t}, nil
}
