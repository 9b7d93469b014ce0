package tree

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Snapshot is an immutable indexed document. Users keep it in an atomic pointer
// and replace it as a whole.
type Snapshot struct {
	Document
	site      Policy
	teams     map[[sha256.Size]byte]call.Team
	operators map[[sha256.Size]byte]bool
	classes   map[call.Class]Policy
	policies  map[teamClass]Policy
}

// teamClass is a class of a team.
type teamClass struct {
	team  call.Team
	class call.Class
}

// NewSnapshot indexes a document with a valid tree.
func NewSnapshot(d Document) *Snapshot {
	if d.Tree == nil {
		d.Tree = &Tree{}
	}
	s := &Snapshot{
		Document:  d,
		teams:     map[[sha256.Size]byte]call.Team{},
		operators: map[[sha256.Size]byte]bool{},
		classes:   map[call.Class]Policy{},
		policies:  map[teamClass]Policy{},
	}
	s.indexKeys()
	s.indexPolicies()
	return s
}

func (s *Snapshot) indexKeys() {
	for _, hash := range s.Tree.Site.OperatorKeyHashes {
		s.operators[parseHash(hash)] = true
	}
	for name, team := range s.Tree.Teams {
		for _, hash := range team.KeyHashes {
			s.teams[parseHash(hash)] = name
		}
	}
}

// indexPolicies computes one policy for each class, and one for each class of
// each team that overrides a value.
func (s *Snapshot) indexPolicies() {
	s.site, _ = s.Tree.Effective("", "")
	for class := range s.Tree.Classes {
		s.classes[class], _ = s.Tree.Effective("", class)
	}
	for name, team := range s.Tree.Teams {
		if team.Values == (Values{}) && len(team.Classes) == 0 {
			continue
		}
		for class := range s.Tree.Classes {
			s.policies[teamClass{name, class}], _ = s.Tree.Effective(name, class)
		}
	}
}

// Site returns the policy without the overrides of teams and classes.
func (s *Snapshot) Site() Policy { return s.site }

// TeamByKey returns the team that a caller's bearer key belongs to.
func (s *Snapshot) TeamByKey(bearer string) (call.Team, bool) {
	team, ok := s.teams[sha256.Sum256([]byte(bearer))]
	return team, ok
}

// IsOperator reports whether a bearer key is an operator's.
func (s *Snapshot) IsOperator(bearer string) bool {
	return s.operators[sha256.Sum256([]byte(bearer))]
}

// Effective returns the policy in effect for a class of a team.
//
// Errors: NotFound for an unknown team or class.
func (s *Snapshot) Effective(team call.Team, class call.Class) (Policy, error) {
	if policy, ok := s.policies[teamClass{team, class}]; ok {
		return policy, nil
	}
	if _, ok := s.Tree.Teams[team]; !ok {
		return Policy{}, errors.NotFoundf("Snapshot.Effective: team %q", team)
	}
	policy, ok := s.classes[class]
	if !ok {
		return Policy{}, errors.NotFoundf("Snapshot.Effective: class %q", class)
	}
	return policy, nil
}

// DefaultClass returns the class of a request of the team that names none, or ""
// if the caller has to name one.
func (s *Snapshot) DefaultClass(team call.Team) call.Class {
	if own := s.Tree.Teams[team].DefaultClass; own != nil {
		return *own
	}
	return s.site.DefaultClass
}

// ServiceByPath returns the service whose path prefix is the longest match for
// the path.
func (s *Snapshot) ServiceByPath(path string) (call.Model, Service, bool) {
	var best call.Model
	found := false
	for name, service := range s.Tree.Services {
		if !strings.HasPrefix(path, service.PathPrefix) {
			continue
		}
		if !found || len(service.PathPrefix) > len(s.Tree.Services[best].PathPrefix) {
			best, found = name, true
		}
	}
	return best, s.Tree.Services[best], found
}

// HashKey returns the SHA-256 sum of a bearer key in hex, as stored in the tree.
func HashKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

func parseHash(text string) [sha256.Size]byte {
	var sum [sha256.Size]byte
	_, _ = hex.Decode(sum[:], []byte(text))
	return sum
}
