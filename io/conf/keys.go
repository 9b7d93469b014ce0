package conf

import (
	"fmt"
	"strings"

	"gentianwell/core/tree"
)

// The keys in the platform's key-value service.
const (
	// Prefix is the prefix of the head and the branches; followers watch it.
	Prefix = "gentianwell/settings/"
	// HeadKey holds the head.
	HeadKey = Prefix + "head"
	// treePrefix is the prefix of the branches; the generation follows it.
	treePrefix = Prefix + "tree/"
	// HistoryPrefix is the prefix of the history, which has one key per version.
	HistoryPrefix = "gentianwell/history/"
)

func branchKey(generation string, b tree.Branch) string {
	return treePrefix + generation + "/" + b.Key()
}

// parseBranchKey returns the generation and the branch of a branch key, and
// false for any other key.
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
