package tree

import (
	"encoding/json"
	"maps"

	"gentianwell/core/call"
)

// Edit sets a value or a whole branch, or unsets it if Value is empty.
type Edit struct {
	// Path is a dotted path such as "classes.plot.tier" or "teams.judges".
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// String returns "set PATH VALUE" or "unset PATH"; long values are truncated.
func (e Edit) String() string {
	if len(e.Value) == 0 {
		return "unset " + e.Path
	}
	return "set " + e.Path + " " + truncate(string(e.Value))
}

// Edits are applied in order.
type Edits []Edit

// Apply returns a new tree with the edits applied, validated as a whole. The
// receiver is not modified and shares the unedited branches with the new tree.
//
// Errors: Problems. Unsetting a path that does not exist is not an error.
func (t *Tree) Apply(edits Edits) (*Tree, error) {
	next := t.clone()
	var problems Problems
	for _, edit := range edits {
		path, err := ParsePath(edit.Path)
		if err != nil {
			problems = append(problems, err.(Problem))
			continue
		}
		next.edit(path, edit.Value, &problems)
	}
	if len(problems) == 0 {
		problems = next.check()
	}
	if err := problems.err(); err != nil {
		return nil, err
	}
	return next, nil
}

// clone copies the maps of branches, not the branches.
func (t *Tree) clone() *Tree {
	return &Tree{
		Site:     t.Site,
		Classes:  cloneMap(t.Classes),
		Teams:    cloneMap(t.Teams),
		Models:   cloneMap(t.Models),
		Services: cloneMap(t.Services),
	}
}

func cloneMap[N ~string, B any](m map[N]B) map[N]B {
	c := make(map[N]B, len(m)+1)
	maps.Copy(c, m)
	return c
}

// edit replaces a branch by a copy with the edit applied. Setting a key of a
// branch that does not exist creates the branch.
func (t *Tree) edit(path Path, value json.RawMessage, ps *Problems) {
	if path.Key == "" {
		t.replace(path.Branch, value, ps)
		return
	}
	obj := object{}
	if raw, ok := t.Encode(path.Branch); ok {
		obj = readObject(path.Branch.Path(), raw, ps)
	} else if len(value) == 0 {
		return
	}
	if len(value) == 0 {
		delete(obj, path.Key)
	} else {
		obj[path.Key] = value
	}
	raw, err := json.Marshal(obj)
	if err != nil {
		ps.add(path.String(), string(value), "a JSON value")
		return
	}
	t.replace(path.Branch, raw, ps)
}

// replace stores a branch, or removes it if the raw value is empty. A team
// keeps its classes unless the new value has its own.
func (t *Tree) replace(b Branch, raw json.RawMessage, ps *Problems) {
	path := b.Path()
	if len(raw) == 0 {
		t.remove(b)
		return
	}
	switch b.Kind {
	case KindSite:
		t.Site = decodeSite(raw, ps)
	case KindClass:
		t.Classes[call.Class(b.Name)] = decodeClass(path, raw, ps)
	case KindTeam:
		t.replaceTeam(call.Team(b.Name), decodeTeam(path, raw, ps))
	case KindTeamClass:
		team, ok := t.Teams[call.Team(b.Name)]
		if !ok {
			ps.add(path, "", "no such team: set "+Branch{Kind: KindTeam, Name: b.Name}.Path()+" first")
			return
		}
		team.Classes = cloneMap(team.Classes)
		team.Classes[call.Class(b.Class)] = decodeTeamClass(path, raw, ps)
		t.Teams[call.Team(b.Name)] = team
	case KindModel:
		t.Models[call.Model(b.Name)] = decodeModel(path, raw, ps)
	case KindService:
		t.Services[call.Model(b.Name)] = decodeService(path, raw, ps)
	}
}

func (t *Tree) replaceTeam(name call.Team, team Team) {
	if team.Classes == nil {
		team.Classes = t.Teams[name].Classes
	}
	t.Teams[name] = team
}

func (t *Tree) remove(b Branch) {
	switch b.Kind {
	case KindSite:
		t.Site = Site{}
	case KindClass:
		delete(t.Classes, call.Class(b.Name))
	case KindTeam:
		delete(t.Teams, call.Team(b.Name))
	case KindTeamClass:
		team, ok := t.Teams[call.Team(b.Name)]
		if !ok {
			return
		}
		team.Classes = cloneMap(team.Classes)
		delete(team.Classes, call.Class(b.Class))
		t.Teams[call.Team(b.Name)] = team
	case KindModel:
		delete(t.Models, call.Model(b.Name))
	case KindService:
		delete(t.Services, call.Model(b.Name))
	}
}
