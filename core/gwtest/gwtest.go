// Package gwtest holds helpers that the tests of several packages share.
//
// # Usage
//
// Every test package that uses rapid must import this package, if only for its
// side effect: its property tests then run with a fixed seed, so that CI gets the
// same result on every run. GENTIANWELL_SEED sets another seed (see "make repeat").
//
//	import _ "gentianwell/core/gwtest"
package gwtest

import (
	"flag"
	"os"
	"strconv"

	// Its flags have to be registered before init sets them.
	_ "pgregory.net/rapid"
)

// defaultSeed is the seed used in CI.
const defaultSeed uint64 = 1

// Seed returns the seed for all random choices in tests.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GENTIANWELL_SEED"), 10, 64); err == nil && n > 0 {
		return n
	}
	return defaultSeed
}

// init sets rapid's seed, and turns off its failure files.
func init() {
	settings := map[string]string{
		"rapid.seed":       strconv.FormatUint(Seed(), 10),
		"rapid.nofailfile": "true",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic("gwtest: setting flag " + name + ": " + err.Error())
		}
	}
}
