package conf

import (
	"fmt"
	"strings"

	"gentianwell/core/tree"
)

// The keys in the platform's service.
const (
	// Prefix is the prefix of head and branches, which followers watch.
	Prefix = "gentianwell/settings/"
	// HeadKey holds the head.
	HeadKey = Prefix + "head"
	// treePrefix is the prefix of the branches, by generation.
	treePrefix = Prefix + "tree/"
	// HistoryPrefix is the prefix of the history, one key for each version.
	HistoryPrefix = "gentianwell/history/"
)

func branchKey(generation string, b tree.Branch) string {
	return treePrefix + generation + "/" + b.Key()
}

// parseBranchKey returns the generation and the branch of a key below
// treePrefix; false for any other key.
func parseBranchKey(key string) (generation string, b tree.Branch, ok bool) {
	rest, ok := strings.CutPrefix(key, treePrefix)
	if !ok {
		return "", tree.Branch{}, false
	}
	generation, rest, _ = strings.Cut(rest, "/")
	b, err := tree.ParseBranchKey(rest)
	return generation, b, err == nil
}

func historyKey(version int64) string { return fmt.Sprintf("%s%016d", HistoryPrefix, version) }
