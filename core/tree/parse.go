package tree

import (
	"encoding/json"
	"maps"
	"slices"

	"gentianwell/core/call"
)

// object is a JSON object whose values are not decoded yet.
type object map[string]json.RawMessage

// Parse parses and validates a complete tree.
//
// Errors: Problems, with every mistake that was found. The checks of the tree as
// a whole run only if every value is allowed on its own.
func Parse(document []byte) (*Tree, error) {
	var problems Problems
	t := &Tree{}
	t.decode(document, &problems)
	if len(problems) == 0 {
		problems = t.check()
	}
	if err := problems.err(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Tree) decode(document []byte, ps *Problems) {
	if path, ok := firstDuplicateKey(document); ok {
		ps.add(path, "", "the key stands twice in one object")
		return
	}
	root := readObject("tree", document, ps)
	for _, name := range sortedKeys(root) {
		raw := root[name]
		switch name {
		case rootSite:
			t.Site = decodeSite(raw, ps)
		case rootClasses:
			t.Classes = decodeMap[call.Class](rootClasses, raw, ps, plainNameRule, decodeClass)
		case rootTeams:
			t.Teams = decodeMap[call.Team](rootTeams, raw, ps, plainNameRule, decodeTeam)
		case rootModels:
			t.Models = decodeMap[call.Model](rootModels, raw, ps, modelNameRule, decodeModel)
		case rootServices:
			t.Services = decodeMap[call.Model](rootServices, raw, ps, plainNameRule, decodeService)
		default:
			*ps = append(*ps, unknownKey(name, name, roots))
		}
	}
}

// nameRule says which names a kind of branch may have.
type nameRule struct {
	match   func(string) bool
	allowed string
}

var (
	plainNameRule = nameRule{plainName.MatchString, plainNameAllowed}
	modelNameRule = nameRule{modelName.MatchString, modelNameAllowed}
)

func decodeMap[N ~string, B any](path string, raw json.RawMessage, ps *Problems, rule nameRule, read func(path string, raw json.RawMessage, ps *Problems) B) map[N]B {
	obj := readObject(path, raw, ps)
	branches := make(map[N]B, len(obj))
	for _, name := range sortedKeys(obj) {
		if !rule.match(name) {
			ps.add(path, quote(name), rule.allowed)
			continue
		}
		branches[N(name)] = read(path+"."+name, obj[name], ps)
	}
	return branches
}

func decodeSite(raw json.RawMessage, ps *Problems) Site {
	var site Site
	for _, e := range entries(rootSite, raw, ps) {
		if setField(siteFields, &site, KindSite, e, ps) || setField(valueFields, &site.Values, KindSite, e, ps) {
			continue
		}
		e.unknown(KindSite, ps)
	}
	return site
}

func decodeClass(path string, raw json.RawMessage, ps *Problems) Values {
	return decodeValues(KindClass, path, raw, ps)
}

func decodeTeamClass(path string, raw json.RawMessage, ps *Problems) Values {
	return decodeValues(KindTeamClass, path, raw, ps)
}

func decodeValues(kind Kind, path string, raw json.RawMessage, ps *Problems) Values {
	var values Values
	for _, e := range entries(path, raw, ps) {
		if !setField(valueFields, &values, kind, e, ps) {
			e.unknown(kind, ps)
		}
	}
	return values
}

func decodeTeam(path string, raw json.RawMessage, ps *Problems) Team {
	var team Team
	for _, e := range entries(path, raw, ps) {
		if e.name == rootClasses {
			team.Classes = decodeMap[call.Class](e.path(), e.raw, ps, plainNameRule, decodeTeamClass)
			continue
		}
		if setField(teamFields, &team, KindTeam, e, ps) || setField(valueFields, &team.Values, KindTeam, e, ps) {
			continue
		}
		e.unknown(KindTeam, ps)
	}
	return team
}

func decodeModel(path string, raw json.RawMessage, ps *Problems) Model {
	var model Model
	for _, e := range entries(path, raw, ps) {
		if !setField(modelFields, &model, KindModel, e, ps) {
			e.unknown(KindModel, ps)
		}
	}
	return model
}

func decodeService(path string, raw json.RawMessage, ps *Problems) Service {
	service := Service{IdempotentMethods: DefaultIdempotentMethods()}
	for _, e := range entries(path, raw, ps) {
		if !setField(serviceFields, &service, KindService, e, ps) {
			e.unknown(KindService, ps)
		}
	}
	return service
}

// entry is one key of a branch with its undecoded value.
type entry struct {
	branch string
	name   string
	raw    json.RawMessage
}

func (e entry) path() string { return e.branch + "." + e.name }

func (e entry) unknown(kind Kind, ps *Problems) {
	*ps = append(*ps, unknownKey(e.path(), e.name, keyNames(kind)))
}

// setField stores the entry if its key is one of the fields and is allowed in
// the kind of branch; otherwise it returns false. A value that is not allowed is
// added to the problems.
func setField[S any](fields []field[S], target *S, kind Kind, e entry, ps *Problems) bool {
	for _, f := range fields {
		if f.Name != e.name || !f.In(kind) {
			continue
		}
		if !f.set(target, e.raw) {
			ps.add(e.path(), string(e.raw), f.Type+", "+f.Allowed)
		}
		return true
	}
	return false
}

func entries(path string, raw json.RawMessage, ps *Problems) []entry {
	obj := readObject(path, raw, ps)
	list := make([]entry, 0, len(obj))
	for _, name := range sortedKeys(obj) {
		list = append(list, entry{branch: path, name: name, raw: obj[name]})
	}
	return list
}

func readObject(path string, raw json.RawMessage, ps *Problems) object {
	var obj object
	if err := json.Unmarshal(raw, &obj); err != nil || obj == nil {
		ps.add(path, string(raw), "a JSON object")
	}
	return obj
}

func sortedKeys(obj object) []string { return slices.Sorted(maps.Keys(obj)) }
