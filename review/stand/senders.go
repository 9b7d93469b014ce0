package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// senders send payments through all VMs, each on a connection of its own.
type senders struct {
	s *site
	// limit is how long the clients wait.
	limit time.Duration

	mu   sync.Mutex
	vms  map[string]string
	next int
	// failed holds the payments that were accepted and got no success, with what they got.
	failed []string
	sent   int
}

func newSenders(s *site, limit time.Duration) *senders {
	return &senders{s: s, limit: limit, vms: map[string]string{}}
}

// vm returns the VM through which a payment was sent.
func (n *senders) vm(id string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[id]
}

// start sends a payment through each VM at intervals until the returned function is called.
func (n *senders) start(interval time.Duration) func() {
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, v := range n.s.vms {
		all.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for {
				select {
				case <-done:
					return
				case <-tick.C:
					all.Go(func() { n.pay(v) })
				}
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}

func (n *senders) pay(v *vm) {
	n.mu.Lock()
	n.next++
	n.sent++
	id := fmt.Sprintf("p%07x", n.next)
	n.vms[id] = v.name
	n.mu.Unlock()
	sent := time.Now()
	a := sendOnce(v, requestWithin(n.limit, http.MethodPost, "/pay/match-7", id, "amount=120 "+id))
	n.s.rec.at(sent, "client: %s POST /pay/match-7 through %s: %s after %s", id, v.name, a, time.Since(sent).Round(time.Millisecond))
	if a.err != nil || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
		n.mu.Lock()
		n.failed = append(n.failed, fmt.Sprintf("%s through %s: %s", id, v.name, a))
		n.mu.Unlock()
	}
}
