package tree

import (
	"regexp"
	"strings"

	"github.com/juju/errors"
)

// Kind is the kind of a branch.
type Kind string

// The kinds of branch.
const (
	KindSite      Kind = "site"
	KindClass     Kind = "class"
	KindTeam      Kind = "team"
	KindTeamClass Kind = "teamClass"
	KindModel     Kind = "model"
	KindService   Kind = "service"
	// KindDefault is not a branch; it stands for the default of a value that no
	// branch sets.
	KindDefault Kind = "default"
)

// Branch identifies one branch of the tree. Name is empty for the site; Class is
// set only for a team's class.
type Branch struct {
	Kind  Kind
	Name  string
	Class string
}

// The first components of branch paths.
const (
	rootSite     = "site"
	rootClasses  = "classes"
	rootTeams    = "teams"
	rootModels   = "models"
	rootServices = "services"
)

var roots = []string{rootSite, rootClasses, rootTeams, rootModels, rootServices}

// Names of teams, classes and services contain no dots, because dots separate
// the components of a path. Names of models may contain them.
var (
	plainName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	modelName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,126}$`)
)

const (
	plainNameAllowed = "1 to 63 letters, digits, - and _, beginning with a letter or digit"
	modelNameAllowed = "1 to 127 letters, digits and ._:/@+-, beginning with a letter or digit"
)

// Path returns the dotted path, for example "teams.judges.classes.plot".
func (b Branch) Path() string { return b.join(".") }

// Key returns the path separated by slashes, for example "teams/judges/classes/plot".
func (b Branch) Key() string { return b.join("/") }

func (b Branch) join(sep string) string {
	switch b.Kind {
	case KindClass:
		return rootClasses + sep + b.Name
	case KindTeam:
		return rootTeams + sep + b.Name
	case KindTeamClass:
		return rootTeams + sep + b.Name + sep + rootClasses + sep + b.Class
	case KindModel:
		return rootModels + sep + b.Name
	case KindService:
		return rootServices + sep + b.Name
	default:
		return string(b.Kind)
	}
}

// ParseBranchKey parses a branch key as returned by Branch.Key.
//
// Errors: NotValid.
func ParseBranchKey(key string) (Branch, error) {
	root, rest, _ := strings.Cut(key, "/")
	branch := Branch{Name: rest}
	switch root {
	case rootSite:
		branch.Kind = KindSite
	case rootClasses:
		branch.Kind = KindClass
	case rootTeams:
		branch = teamBranch(strings.Split(rest, "/"))
	case rootModels:
		branch.Kind = KindModel
	case rootServices:
		branch.Kind = KindService
	}
	if err := branch.check(); err != nil {
		return Branch{}, errors.Annotatef(err, "ParseBranchKey %q", key)
	}
	return branch, nil
}

// teamBranch parses the components NAME or NAME, "classes", CLASS.
func teamBranch(parts []string) Branch {
	if len(parts) == 1 {
		return Branch{Kind: KindTeam, Name: parts[0]}
	}
	if len(parts) == 3 && parts[1] == rootClasses {
		return Branch{Kind: KindTeamClass, Name: parts[0], Class: parts[2]}
	}
	return Branch{}
}

func (b Branch) check() error {
	ok := false
	switch b.Kind {
	case KindSite:
		ok = b.Name == ""
	case KindModel:
		ok = modelName.MatchString(b.Name)
	case KindTeamClass:
		ok = plainName.MatchString(b.Name) && plainName.MatchString(b.Class)
	case KindClass, KindTeam, KindService:
		ok = plainName.MatchString(b.Name)
	}
	if !ok {
		return errors.NotValidf("branch %s", b.Path())
	}
	return nil
}
