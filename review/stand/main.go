// Command stand plays one case of the review: it starts the project's program as entry VMs and
// stand-ins for the platform's store, the backend servers and the clients, all on loopback.
//
//	stand CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scenarios. Each returns what broke the rule.
var cases = map[string]func(*site) ([]string, error){
	"smuggled": smuggled,
	"dark":     darkCrash,
	"watch":    silentWatch,
	"entry":    incompleteEntry,
	"config":   staleConfig,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", os.Args[1], trouble)
	s, err := newSite(rec, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	// An interrupted run ends its processes too.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		s.close()
		os.Exit(exitNotRun)
	}()
	if err := s.startVMs(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](s)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
