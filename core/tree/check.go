package tree

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"gentianwell/core/call"
)

// Validate checks the tree as a whole: references to classes, values that must
// be unique across branches, and inherited durations against each other.
//
// Errors: Problems.
func (t *Tree) Validate() error { return t.check().err() }

func (t *Tree) check() Problems {
	var ps Problems
	t.checkClasses(&ps)
	t.checkKeyHashes(&ps)
	t.checkServices(&ps)
	t.checkDurations(&ps)
	return ps
}

// checkClasses checks that every class that a branch refers to is defined.
func (t *Tree) checkClasses(ps *Problems) {
	t.checkDefaultClass(rootSite, t.Site.DefaultClass, ps)
	for _, name := range sortedNames(t.Teams) {
		team := t.Teams[name]
		path := joinPath(rootTeams, string(name))
		t.checkDefaultClass(path, team.DefaultClass, ps)
		for _, class := range sortedNames(team.Classes) {
			if _, ok := t.Classes[class]; !ok {
				ps.add(joinPath(path, joinPath(rootClasses, string(class))), quote(string(class)), t.classesAllowed())
			}
		}
	}
}

func (t *Tree) checkDefaultClass(path string, class *call.Class, ps *Problems) {
	if class == nil || *class == "" {
		return
	}
	if _, ok := t.Classes[*class]; !ok {
		ps.add(joinPath(path, "defaultClass"), quote(string(*class)), t.classesAllowed())
	}
}

// maxListedNames is the maximum number of names that a message lists.
const maxListedNames = 12

func (t *Tree) classesAllowed() string {
	names := sortedNames(t.Classes)
	if len(names) == 0 {
		return "a name from classes, which are empty"
	}
	var list []string
	for _, name := range names[:min(len(names), maxListedNames)] {
		list = append(list, string(name))
	}
	return "a name from classes: " + strings.Join(list, ", ")
}

// checkKeyHashes checks that a bearer key belongs to a single team or to the
// operators, not to both.
func (t *Tree) checkKeyHashes(ps *Problems) {
	owners := map[string]string{}
	for _, hash := range t.Site.OperatorKeyHashes {
		owners[hash] = "site.operatorKeyHashes"
	}
	for _, name := range sortedNames(t.Teams) {
		path := joinPath(rootTeams, string(name)) + ".keyHashes"
		for _, hash := range t.Teams[name].KeyHashes {
			if owner, ok := owners[hash]; ok {
				ps.add(path, quote(hash), "a sum that does not stand in "+owner+" too")
			}
			owners[hash] = path
		}
	}
}

// checkServices checks that every service has a path prefix of its own and that
// no name is used for both a model and a service.
func (t *Tree) checkServices(ps *Problems) {
	owners := map[string]string{}
	for _, name := range sortedNames(t.Services) {
		path := joinPath(rootServices, string(name))
		prefix := t.Services[name].PathPrefix
		if prefix == "" {
			ps.add(path+".pathPrefix", `""`, "the key is needed: "+serviceFields[0].Allowed)
		} else if owner, ok := owners[prefix]; ok {
			ps.add(path+".pathPrefix", quote(prefix), "a path that "+owner+" does not have too")
		}
		owners[prefix] = path + ".pathPrefix"
		if _, ok := t.Models[name]; ok {
			ps.add(path, quote(string(name)), "a name that does not stand in models too")
		}
	}
}

// checkDurations checks the effective durations against each other, for each class
// and for each team that overrides a value.
func (t *Tree) checkDurations(ps *Problems) {
	t.checkPolicyDurations("", "", ps)
	for _, class := range sortedNames(t.Classes) {
		t.checkPolicyDurations("", class, ps)
	}
	for _, name := range sortedNames(t.Teams) {
		team := t.Teams[name]
		if team.Values == (Values{}) && len(team.Classes) == 0 {
			continue
		}
		for _, class := range sortedNames(t.Classes) {
			t.checkPolicyDurations(name, class, ps)
		}
	}
}

func (t *Tree) checkPolicyDurations(team call.Team, class call.Class, ps *Problems) {
	policy, err := t.Effective(team, class)
	if err != nil {
		return
	}
	if policy.MaxWait > policy.Deadline {
		t.addDurationProblem(ps, team, class, "maxWait", Duration(policy.MaxWait), "no longer than deadline", Duration(policy.Deadline))
	}
	if policy.FirstTokenTarget > policy.Deadline {
		t.addDurationProblem(ps, team, class, "firstTokenTarget", Duration(policy.FirstTokenTarget), "no longer than deadline", Duration(policy.Deadline))
	}
	if policy.ProgressTimeout < policy.TokenGapTarget {
		t.addDurationProblem(ps, team, class, "progressTimeout", Duration(policy.ProgressTimeout), "no shorter than tokenGapTarget", Duration(policy.TokenGapTarget))
	}
}

func (t *Tree) addDurationProblem(ps *Problems, team call.Team, class call.Class, key string, value Duration, allowed string, bound Duration) {
	path := key
	for _, s := range t.explainOrNil(team, class) {
		if s.Key == key {
			path = joinPath(s.Branch, key)
		}
	}
	where := "for class " + quote(string(class))
	if team != "" {
		where += " of team " + quote(string(team))
	}
	ps.add(path, jsonText(value), allowed+" "+jsonText(bound)+" "+where)
}

func (t *Tree) explainOrNil(team call.Team, class call.Class) Sources {
	sources, err := t.Explain(team, class)
	if err != nil {
		return nil
	}
	return sources
}

func jsonText(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(raw)
}

func sortedNames[N ~string, B any](branches map[N]B) []N {
	return slices.Sorted(maps.Keys(branches))
}
