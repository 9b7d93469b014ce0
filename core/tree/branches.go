package tree

import (
	"encoding/json"
	"maps"
	"slices"

	"gentianwell/core/call"
)

// Encode returns a branch in JSON. A team is encoded without its classes, which
// are separate branches. It returns false if the branch does not exist.
func (t *Tree) Encode(b Branch) ([]byte, bool) {
	node, ok := t.node(b)
	if !ok {
		return nil, false
	}
	raw, err := json.Marshal(node)
	return raw, err == nil
}

func (t *Tree) node(b Branch) (node any, ok bool) {
	switch b.Kind {
	case KindSite:
		return t.Site, true
	case KindClass:
		node, ok = t.Classes[call.Class(b.Name)]
	case KindTeam:
		var team Team
		team, ok = t.Teams[call.Team(b.Name)]
		team.Classes = nil
		node = team
	case KindTeamClass:
		node, ok = t.Teams[call.Team(b.Name)].Classes[call.Class(b.Class)]
	case KindModel:
		node, ok = t.Models[call.Model(b.Name)]
	case KindService:
		node, ok = t.Services[call.Model(b.Name)]
	}
	return node, ok
}

// Branches returns all branches of the tree, parents before their children.
func (t *Tree) Branches() []Branch {
	list := []Branch{{Kind: KindSite}}
	for _, name := range sortedNames(t.Classes) {
		list = append(list, Branch{Kind: KindClass, Name: string(name)})
	}
	for _, name := range sortedNames(t.Teams) {
		list = append(list, Branch{Kind: KindTeam, Name: string(name)})
		for _, class := range sortedNames(t.Teams[name].Classes) {
			list = append(list, Branch{Kind: KindTeamClass, Name: string(name), Class: string(class)})
		}
	}
	for _, name := range sortedNames(t.Models) {
		list = append(list, Branch{Kind: KindModel, Name: string(name)})
	}
	for _, name := range sortedNames(t.Services) {
		list = append(list, Branch{Kind: KindService, Name: string(name)})
	}
	return list
}

// Diff returns the edits, one for each branch that differs, that turn this tree
// into the other.
func (t *Tree) Diff(other *Tree) Edits {
	var edits Edits
	for _, b := range other.Branches() {
		next, _ := other.Encode(b)
		if old, ok := t.Encode(b); !ok || string(old) != string(next) {
			edits = append(edits, Edit{Path: b.Path(), Value: next})
		}
	}
	childrenFirst := t.Branches()
	slices.Reverse(childrenFirst)
	for _, b := range childrenFirst {
		if _, ok := other.node(b); !ok {
			edits = append(edits, Edit{Path: b.Path()})
		}
	}
	return edits
}

// Assemble builds a tree from its branches in JSON and validates it as a whole.
//
// Errors: Problems.
func Assemble(branches map[Branch][]byte) (*Tree, error) {
	t := (&Tree{}).clone()
	var problems Problems
	for _, b := range sortedBranches(branches) {
		t.replace(b, branches[b], &problems)
	}
	if len(problems) == 0 {
		problems = t.check()
	}
	if err := problems.err(); err != nil {
		return nil, err
	}
	return t, nil
}

// sortedBranches orders the branches by key, so that teams come before their classes.
func sortedBranches(branches map[Branch][]byte) []Branch {
	return slices.SortedFunc(maps.Keys(branches), func(a, b Branch) int {
		switch {
		case a.Key() < b.Key():
			return -1
		case a.Key() > b.Key():
			return 1
		}
		return 0
	})
}

// AsEdits returns the edits that write every branch of the tree.
func (t *Tree) AsEdits() Edits {
	var edits Edits
	for _, b := range t.Branches() {
		raw, _ := t.Encode(b)
		edits = append(edits, Edit{Path: b.Path(), Value: raw})
	}
	return edits
}

// Value returns the JSON value that the branch itself sets, without inheritance,
// or the whole branch if the path has no key. It returns false if there is none.
func (t *Tree) Value(path Path) (json.RawMessage, bool) {
	raw, ok := t.Encode(path.Branch)
	if !ok || path.Key == "" {
		return raw, ok
	}
	var obj object
	if err := json.Unmarshal(raw, &obj); err != nil {
		return nil, false
	}
	value, ok := obj[path.Key]
	return value, ok
}
