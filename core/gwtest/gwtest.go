// Package gwtest holds what the tests of several packages share.
//
// # Usage
//
// A test package that uses rapid imports this package, if only for its side
// effect: properties then run with a fixed seed, so that CI gives the same
// verdict on every run. GENTIANWELL_SEED chooses another seed (see "make repeat").
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

// defaultSeed is the seed of CI's runs.
const defaultSeed uint64 = 1

// Seed returns the seed for everything random in a test.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("GENTIANWELL_SEED"), 10, 64); err == nil && n > 0 {
		return n
	}
	return defaultSeed
}

func init() {
	settings := map[string]string{
		"rapid.seed":       strconv.FormatUint(Seed(), 10),
		"rapid.nofailfile": "true",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic("gwtest: flag " + name + ": " + err.Error())
		}
	}
}
