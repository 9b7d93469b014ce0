package tree

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// ChangeRef names one accepted change: versions alone do not tell two histories
// apart, such as those before and after a platform came back with older data.
type ChangeRef struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"changeId"`
}

// MaxRecent is the number of marks that a Head keeps.
const MaxRecent = 64

// Head tells which change a tree is at.
type Head struct {
	ChangeRef
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time,omitzero"`
	// Recent are the marks of the changes that the tree holds, the latest last,
	// this one included.
	Recent []ChangeRef `json:"recent,omitempty"`
}

// Includes reports whether the tree of this head holds the other's change. Where
// the other is older than all marks that are kept, a later version counts as
// holding it.
func (h Head) Includes(other ChangeRef) bool {
	if other.Version == 0 || h.ChangeRef == other {
		return true
	}
	for _, m := range h.Recent {
		if m == other {
			return true
		}
	}
	full := len(h.Recent) >= MaxRecent
	return full && other.Version < h.Recent[0].Version
}

// Next returns the head of a change on top of this one.
func (h Head) Next(changeID, author string, now time.Time) Head {
	mark := ChangeRef{Version: h.Version + 1, ChangeID: changeID}
	recent := append(append([]ChangeRef{}, h.Recent...), mark)
	if extra := len(recent) - MaxRecent; extra > 0 {
		recent = recent[extra:]
	}
	return Head{ChangeRef: mark, Author: author, Time: now, Recent: recent}
}

// Document is a tree with its head, as VMs hand it to each other.
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

// ParseDocument reads what Encode returned and checks the tree.
//
// Errors: NotValid for what is no document, else Problems.
func ParseDocument(raw []byte) (Document, error) {
	var outer struct {
		Head
		Tree json.RawMessage `json:"tree"`
	}
	if err := json.Unmarshal(raw, &outer); err != nil {
		return Document{}, errors.NewNotValid(err, "ParseDocument")
	}
	if outer.Version < 0 || len(outer.Recent) > MaxRecent {
		return Document{}, errors.NotValidf("ParseDocument: head of version %d", outer.Version)
	}
	t, err := Parse(outer.Tree)
	if err != nil {
		return Document{}, err
	}
	return Document{Head: outer.Head, Tree: t}, nil
}
