// Command stand2 plays the cases of the second review that are scripts: it starts the project's
// entry VMs as processes, with stand-ins for the platform's store, replicas and clients, and judges
// what these see.
//
// Usage: stand2 CASE RECORD, in the folder of the repository. It exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the environment, the
// disruption is left out; with KEEP_LOGS=1, the logs of the VMs stay in the temporary folder.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit ends a case that hangs, before the 120 seconds that a script has.
const limit = 110 * time.Second

// A scene is what a case needs.
type scene struct {
	rec     *record
	dir     string
	trouble bool
	vms     []*vm
}

// outcome says whether the rule was broken.
type outcome struct {
	broken bool
	text   string
}

var cases = map[string]func(*scene) (outcome, error){
	"slow-reader": slowReader,
	"preempted":   preempted,
	"slow-body":   slowBody,
	"leaving":     leaving,
	"revoked-key": revokedKey,
	"growing-ids": growingIDs,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the VMs:", dir)
	}
	s := &scene{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, v := range s.vms {
			v.kill()
		}
	}()
	type result struct {
		outcome
		err error
	}
	ended := make(chan result, 1)
	go func() {
		out, err := cases[os.Args[1]](s)
		ended <- result{out, err}
	}()
	var got result
	select {
	case got = <-ended:
	case <-time.After(limit):
		got.err = fmt.Errorf("not done after %s", limit)
	}
	switch {
	case got.err != nil:
		rec.line("could not run: %v", got.err)
		fmt.Println("could not run:", got.err)
		return 2
	case got.broken:
		rec.line("BROKEN: %s", got.text)
		fmt.Println("broken:", got.text)
		return 1
	}
	rec.line("held: %s", got.text)
	fmt.Println("held:", got.text)
	return 0
}
