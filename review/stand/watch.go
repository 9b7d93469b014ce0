package main

import (
	"fmt"
	"time"
)

const (
	silentWatchRounds = 2
	// watchEnds is how long a VM may take to give a silent watch up: the longest wait of a watch, and more.
	watchEnds = 45 * time.Second
	// exitAfter is how long a replica goes on serving after its entry has gone: drainMs and a little longer.
	exitAfter = drain + 150*time.Millisecond
)

// silentWatch removes the entry of a ledger replica that leaves without saying so. With trouble, one
// watch of the configuration by one VM has fallen silent half a minute before; the VM has given it up
// and read the configuration again just before the removal. No payment may reach the replica later than
// drainMs after its entry has gone.
func silentWatch(s *site) ([]string, error) {
	const prefix = "op/config"
	payments := newSenders(s, 4*time.Second)
	stop := payments.start(20 * time.Millisecond)
	defer stop()
	v := s.vms[0]
	var broken []string
	for round := range silentWatchRounds {
		leaving := s.ledgers[0]
		if s.trouble {
			lists := s.store.lists(v.store, prefix)
			if n := s.store.silence(v.store, prefix); n != 1 {
				return nil, fmt.Errorf("%s has %d watches of %s waiting, want 1", v.name, n, prefix)
			}
			s.rec.add("store: the watch of %s by %s falls silent", prefix, v.name)
			if err := waitFor(watchEnds, func() bool { return s.store.lists(v.store, prefix) > lists }); err != nil {
				return nil, fmt.Errorf("%s has not read %s again: %w", v.name, prefix, err)
			}
			s.rec.add("store: %s reads %s again", v.name, prefix)
		}
		time.Sleep(100 * time.Millisecond)
		gone := time.Now()
		s.store.remove("servers/" + leaving.id)
		s.rec.add("replica %s leaves: its entry is removed", leaving.id)
		time.Sleep(time.Until(gone.Add(exitAfter)))
		leaving.exit()
		s.rec.add("replica %s has exited", leaving.id)
		time.Sleep(200 * time.Millisecond)
		for _, r := range leaving.ran() {
			if late := r.arrived.Sub(gone); late > drain {
				broken = append(broken, fmt.Sprintf("DRAIN: %s through %s reached replica %s %s after its entry had gone, answered: %t", r.id, payments.vm(r.id), r.replica, late.Round(time.Millisecond), r.done))
			}
		}
		next := s.replica(fmt.Sprintf("i-new%d", round), ledger, leaving.zone, 131+round, leaving.work)
		if err := next.start(); err != nil {
			return nil, err
		}
		s.ledgers[0] = next
		s.store.put("servers/"+next.id, next.entry("ready"))
		time.Sleep(time.Second)
	}
	s.rec.add("payments: %d sent, %d accepted and not answered with success: %q", payments.sent, len(payments.failed), payments.failed)
	return broken, nil
}
