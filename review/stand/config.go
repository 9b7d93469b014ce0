package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// apply is the bound configApplyMs of the site.
	apply = 2 * time.Second
	// coldTime is how long a replica that has started is cold, newReplicas how many join.
	coldTime    = 20 * time.Second
	newReplicas = 3
	// afterChange is how long requests with the withdrawn key are sent after its withdrawal.
	afterChange = 10 * time.Second
)

// staleConfig withdraws a key while replicas join. With trouble, the connection on which each VM waits
// for a change of the configuration has gone silent some seconds before, one VM after the other. No
// request that is sent with the key later than configApplyMs after the withdrawal may run.
func staleConfig(s *site) ([]string, error) {
	const prefix = "op/config"
	if s.trouble {
		for _, v := range s.vms {
			if n := s.store.silence(v.store, prefix); n != 1 {
				return nil, fmt.Errorf("%s has %d watches of %s waiting, want 1", v.name, n, prefix)
			}
			s.rec.add("store: the connection on which %s waits for a change of the configuration goes silent", v.name)
			time.Sleep(2 * time.Second)
		}
	}
	stop, err := s.join()
	if err != nil {
		return nil, err
	}
	defer stop()
	// All VMs are in touch again, and the replicas have joined.
	time.Sleep(contact + time.Second)
	s.store.put(prefix, s.config(9, apiKey))
	withdrawn := time.Now()
	s.rec.add("operator: version 9 is acknowledged, it withdraws the key %s", otherKey)
	sent := map[string]time.Time{}
	through := map[string]string{}
	for time.Since(withdrawn) < afterChange {
		for _, v := range s.vms {
			id := s.newID()
			sent[id], through[id] = time.Now(), v.name
			a := sendOnce(v, requestWithKey(otherKey, 4*time.Second, http.MethodPost, "/pay/match-7", id, "amount=120"))
			s.rec.at(sent[id], "client: %s POST /pay/match-7 with the withdrawn key through %s: %s", id, v.name, a)
		}
		time.Sleep(100 * time.Millisecond)
	}
	var broken []string
	for _, p := range s.replicas() {
		for _, r := range p.ran() {
			if late := sent[r.id].Sub(withdrawn); !sent[r.id].IsZero() && late > apply {
				broken = append(broken, fmt.Sprintf("CONFIG: %s, sent through %s %s after the key was withdrawn, is run by %s", r.id, through[r.id], late.Round(time.Millisecond), r.replica))
			}
		}
	}
	return broken, nil
}

// join starts further pool replicas, whose entries change with each heartbeat while they are cold, until
// the returned function is called.
func (s *site) join() (func(), error) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range newReplicas {
		p := s.replica(fmt.Sprintf("i-cold%d", i), pool, zones[i%len(zones)], 131+i, 20*time.Millisecond)
		if err := p.start(); err != nil {
			close(done)
			return nil, err
		}
		s.pools = append(s.pools, p)
		started := time.Now()
		all.Go(func() {
			tick := time.NewTicker(heartbeat)
			defer tick.Stop()
			for beat := 1; ; beat++ {
				own := p.entry("ready")
				own["sequence"], own["coldRemainingMs"] = beat, max(0, (coldTime-time.Since(started)).Milliseconds())
				s.store.put("servers/"+p.id, own)
				select {
				case <-done:
					return
				case <-tick.C:
				}
			}
		})
		time.Sleep(heartbeat / newReplicas)
	}
	s.rec.add("%d replicas have joined the pool", newReplicas)
	return func() {
		close(done)
		all.Wait()
	}, nil
}
