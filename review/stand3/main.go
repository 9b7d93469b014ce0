// Command stand3 runs the stand-ins of review/found: a store of the platform, replicas and clients, and
// starts the project's entry VMs as processes of their own.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The results of a scenario, which are the exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	name := flag.String("scenario", "versions", "the scenario to run")
	program := flag.String("program", "target/gentianwell", "the program of the deploy file")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "seeds the random choices")
	flag.Parse()
	os.Exit(run(*name, *record, siteConfig{program: *program, seed: *seed, trouble: os.Getenv("TROUBLE") != "0"}))
}

// run runs a scenario in a temporary folder, which it removes.
func run(name, record string, c siteConfig) int {
	scenario := map[string]func(*site) (bool, error){"versions": versions}[name]
	if scenario == nil {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", name)
		return exitNotRun
	}
	path, err := filepath.Abs(c.program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	c.program, c.dir = path, dir
	s, err := newSite(c)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := scenario(s)
	s.stop()
	if err := s.writeRecord(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
