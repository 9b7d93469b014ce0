package tree

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a tree.
type Problem struct {
	// Path is the dotted path, for example "teams.judges.classes.plot.tier".
	Path string `json:"path"`
	// Value is the refused value in JSON; empty where a whole key is refused.
	Value string `json:"value,omitempty"`
	// Allowed says what would be allowed.
	Allowed string `json:"allowed"`
}

// Error gives path, value and what is allowed in one line.
func (p Problem) Error() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Allowed)
	}
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", p.Path, p.Value, p.Allowed)
}

// Problems are all the mistakes that a check found.
type Problems []Problem

// Error gives one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// err returns the problems as an error, nil if there are none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps *Problems) add(path, value, allowed string) {
	*ps = append(*ps, Problem{Path: path, Value: shorten(value), Allowed: allowed})
}

// maxShown is the greatest number of a value's bytes that a Problem shows.
const maxShown = 160

func shorten(value string) string {
	if len(value) <= maxShown {
		return value
	}
	return strings.ToValidUTF8(value[:maxShown], "") + "..."
}
