package tree

import "strings"

// Path is the path of one value, or of a whole branch if Key is empty.
type Path struct {
	Branch Branch
	Key    string
}

// String returns the dotted path.
func (p Path) String() string {
	if p.Key == "" {
		return p.Branch.Path()
	}
	return p.Branch.Path() + "." + p.Key
}

// ParsePath parses a dotted path such as "classes.plot.tier" or "teams.judges".
//
// Errors: Problem, which says what is allowed.
func ParsePath(text string) (Path, error) {
	root, rest, _ := strings.Cut(text, ".")
	path := Path{Branch: Branch{Kind: KindSite}, Key: rest}
	switch root {
	case rootSite:
	case rootClasses:
		path = namedPath(KindClass, rest)
	case rootTeams:
		path = teamPath(strings.Split(rest, "."))
	case rootModels:
		path = modelPath(rest)
	case rootServices:
		path = namedPath(KindService, rest)
	default:
		return Path{}, unknownKey(text, root, roots)
	}
	if err := path.Branch.check(); err != nil {
		return Path{}, Problem{Path: text, Allowed: "no such branch; allowed: site, classes.NAME, teams.NAME, teams.NAME.classes.NAME, models.NAME, services.NAME"}
	}
	if known := keyNames(path.Branch.Kind); path.Key != "" && !contains(known, path.Key) {
		return Path{}, unknownKey(text, path.Key, known)
	}
	return path, nil
}

func namedPath(kind Kind, rest string) Path {
	name, key, _ := strings.Cut(rest, ".")
	return Path{Branch: Branch{Kind: kind, Name: name}, Key: key}
}

func teamPath(parts []string) Path {
	if len(parts) >= 3 && parts[1] == rootClasses {
		return Path{
			Branch: Branch{Kind: KindTeamClass, Name: parts[0], Class: parts[2]},
			Key:    strings.Join(parts[3:], "."),
		}
	}
	return Path{Branch: Branch{Kind: KindTeam, Name: parts[0]}, Key: strings.Join(parts[1:], ".")}
}

// modelPath takes the last component as the key only if it is a known key,
// because names of models may contain dots.
func modelPath(rest string) Path {
	path := Path{Branch: Branch{Kind: KindModel, Name: rest}}
	dot := strings.LastIndex(rest, ".")
	if dot >= 0 && contains(keyNames(KindModel), rest[dot+1:]) {
		path.Branch.Name, path.Key = rest[:dot], rest[dot+1:]
	}
	return path
}

func unknownKey(path, word string, known []string) Problem {
	return Problem{Path: path, Allowed: "unknown key " + quote(word) + "; nearest known key: " + quote(nearest(word, known))}
}
