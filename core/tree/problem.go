package tree

import (
	"fmt"
	"strings"
)

// Problem is one mistake in a tree.
type Problem struct {
	// Path is the dotted path, for example "teams.judges.classes.plot.tier".
	Path string `json:"path"`
	// Value is the rejected value in JSON; it is empty if the key or path itself
	// is rejected.
	Value string `json:"value,omitempty"`
	// Allowed says what is allowed, or why the key or path is rejected.
	Allowed string `json:"allowed"`
}

// Error returns the path, the value and what is allowed in one line.
func (p Problem) Error() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Allowed)
	}
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", p.Path, p.Value, p.Allowed)
}

// Problems are all mistakes found by one validation.
type Problems []Problem

// Error returns one line for each problem.
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
	*ps = append(*ps, Problem{Path: path, Value: truncate(value), Allowed: allowed})
}

// maxShownBytes is the maximum number of bytes of a value that a Problem shows.
const maxShownBytes = 160

func truncate(value string) string {
	if len(value) <= maxShownBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownBytes], "") + "..."
}
