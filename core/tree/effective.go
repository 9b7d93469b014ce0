package tree

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// defaults are the values that apply if no branch sets them.
var defaults = func() Values {
	var values Values
	for _, f := range valueFields {
		if !f.set(&values, []byte(f.Default)) {
			panic("tree: default of key " + f.Name + " is not allowed by the key's own rule")
		}
	}
	return values
}()

// Source is one effective value with the path of the branch that sets it.
type Source struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Branch string          `json:"branch"`
}

// Sources are the sources of all values of a Policy, in the order of the keys.
type Sources []Source

// level is one step of the lookup.
type level struct {
	branch Branch
	values Values
}

// lookupLevels are the levels of one lookup, in lookup order. It is an array
// rather than a slice so that a lookup does not allocate.
type lookupLevels [5]level

// levels returns the branches that a value is looked up in, in lookup order. An
// empty team or class means none.
//
// Errors: NotFound for an unknown team or class.
func (t *Tree) levels(team call.Team, class call.Class) (lookupLevels, error) {
	own, ok := t.Teams[team]
	if !ok && team != "" {
		return lookupLevels{}, errors.NotFoundf("team %q", team)
	}
	shared, ok := t.Classes[class]
	if !ok && class != "" {
		return lookupLevels{}, errors.NotFoundf("class %q", class)
	}
	return lookupLevels{
		{Branch{Kind: KindTeamClass, Name: string(team), Class: string(class)}, own.Classes[class]},
		{Branch{Kind: KindClass, Name: string(class)}, shared},
		{Branch{Kind: KindTeam, Name: string(team)}, own.Values},
		{Branch{Kind: KindSite}, t.Site.Values},
		{Branch{Kind: KindDefault}, defaults},
	}, nil
}

// Effective returns the policy in effect for a class of a team. The branches of
// an empty team or class are left out.
//
// Errors: NotFound for an unknown team or class.
func (t *Tree) Effective(team call.Team, class call.Class) (Policy, error) {
	levels, err := t.levels(team, class)
	if err != nil {
		return Policy{}, errors.Annotate(err, "Tree.Effective")
	}
	var values Values
	for i := range levels {
		values.inherit(&levels[i].values)
	}
	return values.policy(), nil
}

// Explain returns, for each value of Effective, the branch that sets it.
//
// Errors: NotFound for an unknown team or class.
func (t *Tree) Explain(team call.Team, class call.Class) (Sources, error) {
	levels, err := t.levels(team, class)
	if err != nil {
		return nil, errors.Annotate(err, "Tree.Explain")
	}
	sources := make(Sources, 0, len(valueFields))
	for _, f := range valueFields {
		for i := range levels {
			if value, ok := f.get(&levels[i].values); ok {
				sources = append(sources, Source{Key: f.Name, Value: value, Branch: levels[i].branch.Path()})
				break
			}
		}
	}
	return sources, nil
}

// StopLimit returns the maximum duration of a planned stop; 0 means no limit.
func (t *Tree) StopLimit() time.Duration {
	limit := t.Site.StopLimit
	inheritOne(&limit, defaults.StopLimit)
	return time.Duration(*limit)
}
