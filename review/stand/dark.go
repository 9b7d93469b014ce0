package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// deadlyBody is the body of the request that crashes each replica that begins to run it.
	deadlyBody = "amount=1e999"
	// deadlyInterval is the time after which its client sends it again, deadlySends how often it does.
	deadlyInterval = 2 * time.Second
	deadlySends    = 15
	// clientLimit is how long the clients of payments wait.
	clientLimit = time.Second
	// expiry is how long after a crash the entry of a replica goes (three heartbeats), restart when the
	// replica is back, with a new id at a new address.
	expiry  = 3600 * time.Millisecond
	restart = 5 * time.Second
)

// crashes are the crashes of replicas under the deadly request.
type crashes struct {
	s *site
	// closes makes a crash close the replica's connections.
	closes bool

	mu sync.Mutex
	at []time.Time
	// back holds the replicas that have started again.
	back []*replica
	next int
}

// darkCrash sends a payment that crashes each replica that runs it, again and again through all VMs,
// beside sound payments. With trouble, a replica that crashes falls silent. From contactMs after the
// third crash on, at most three more may reach replicas. With TROUBLE=closed, crashes close the
// connections, for comparison.
func darkCrash(s *site) ([]string, error) {
	c := &crashes{s: s, closes: os.Getenv("TROUBLE") == "closed"}
	defer c.close()
	for i, zone := range zones {
		more := s.replica(fmt.Sprintf("i-more%d", i), ledger, zone, 111+i, s.ledgers[0].work)
		if err := more.start(); err != nil {
			return nil, err
		}
		s.ledgers = append(s.ledgers, more)
		s.store.put("servers/"+more.id, more.entry("ready"))
	}
	for _, p := range s.ledgers {
		c.arm(p)
	}
	time.Sleep(time.Second)
	sound := newSenders(s, clientLimit)
	stop := sound.start(100 * time.Millisecond)
	for n := range deadlySends {
		v, id := s.vms[n%len(s.vms)], s.newID()
		sent := time.Now()
		a := sendOnce(v, requestWithin(clientLimit, http.MethodPost, "/pay/deadly", id, deadlyBody))
		s.rec.at(sent, "client: deadly %s through %s: %s", id, v.name, a)
		time.Sleep(time.Until(sent.Add(deadlyInterval)))
	}
	stop()
	s.rec.add("sound payments: %d sent, %d accepted and not answered with success", sound.sent, len(sound.failed))
	return c.late(), nil
}

// arm makes the deadly request crash a replica, unless there is no trouble.
func (c *crashes) arm(p *replica) {
	if c.s.trouble {
		p.crashOn, p.crash = deadlyBody, c.crash
	}
}

func (c *crashes) crash(p *replica, under *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, under.arrived)
	c.s.rec.add("replica %s crashes under %s: crash %d, connections closed: %t", p.id, under.id, len(c.at), c.closes)
	if c.closes {
		go p.exit()
	} else {
		p.fallSilent()
	}
	time.AfterFunc(expiry, func() { c.s.store.remove("servers/" + p.id) })
	time.AfterFunc(restart, func() { c.restart(p) })
}

func (c *crashes) restart(p *replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	next := c.s.replica(fmt.Sprintf("i-back%d", c.next), p.service, p.zone, 140+c.next, p.work)
	c.arm(next)
	if err := next.start(); err != nil {
		c.s.rec.add("replica %s has not started: %v", next.id, err)
		return
	}
	c.back = append(c.back, next)
	c.s.store.put("servers/"+next.id, next.entry("ready"))
	c.s.rec.add("replica %s is back as %s", p.id, next.id)
}

// late returns the arrivals of the deadly request that the rule forbids.
func (c *crashes) late() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < refuseAfter {
		return nil
	}
	var out []string
	for n, at := range c.at {
		if after := at.Sub(c.at[refuseAfter-1]); after > contact {
			out = append(out, fmt.Sprintf("BUDGET: the request crashed replica number %d %s after the third", n+1, after.Round(time.Millisecond)))
		}
	}
	if len(out) <= lateRetries {
		return nil
	}
	return out
}

// refuseAfter is the number of crashes after which a request has to be known, lateRetries how many
// retries of it may reach replicas later than contactMs after that.
const (
	refuseAfter = 3
	lateRetries = 3
)

// close ends the replicas that have started again.
func (c *crashes) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.back {
		_ = p.srv.Close()
	}
}
