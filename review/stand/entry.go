package main

import (
	"fmt"
	"time"
)

const (
	foreignEntries = 8
	// heartbeat is how often a replica writes its entry.
	heartbeat = 1200 * time.Millisecond
)

// incompleteEntry sends payments while, with trouble, another writer overwrites the entry of a pool
// replica: version, coldRemainingMs and sequence are missing, and the service is the ledger's. The entry
// names no replica to use. The replica writes its own entry again with its next heartbeat. No payment
// may be run by the pool.
func incompleteEntry(s *site) ([]string, error) {
	payments := newSenders(s, 4*time.Second)
	stop := payments.start(50 * time.Millisecond)
	for round := range foreignEntries {
		p := s.pools[round%len(s.pools)]
		if s.trouble {
			s.store.put("servers/"+p.id, map[string]any{
				"service": ledger, "address": p.address, "zone": p.zone, "slots": replicaSlots, "state": "ready",
			})
			s.rec.add("store: another writer has written an entry without version, coldRemainingMs and sequence under %s", p.id)
		}
		time.Sleep(heartbeat)
		own := p.entry("ready")
		own["sequence"] = round + 2
		s.store.put("servers/"+p.id, own)
		s.rec.add("replica %s has written its entry", p.id)
		time.Sleep(heartbeat)
	}
	stop()
	var broken []string
	for _, p := range s.pools {
		for _, r := range p.ran() {
			broken = append(broken, fmt.Sprintf("ROUTE: %s through %s: payment %s is run by %s of service %s, to which no configuration sends it", r.id, payments.vm(r.id), r.target, r.replica, r.service))
		}
	}
	return broken, nil
}
