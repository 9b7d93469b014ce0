package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// The hosts, services and the key of the site.
const (
	host       = "ficu95.example"
	ledger     = "ledger"
	pool       = "pool"
	tenantName = "hule930"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	// otherKey is a second key of the tenant.
	otherKey = "anfqasnmgkcuyj8pjbvk"
	// contact and drain are the bounds contactMs and drainMs of the site.
	contact = 3 * time.Second
	drain   = 2 * time.Second
)

// site is a small deployment: three entry VMs in three zones, three ledger replicas, two
// pool replicas and the platform's store.
type site struct {
	rec      *record
	trouble  bool
	dir      string
	store    *store
	vms      []*vm
	ledgers  []*replica
	pools    []*replica
	subnet   int
	sequence int
}

var zones = []string{"a", "b", "c"}

// newSite starts the stand-ins of a site. If that fails, it ends those that it has started.
func newSite(rec *record, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, trouble: trouble, dir: dir, store: newStore(), subnet: os.Getpid() % subnets}
	if err := s.startStandIns(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) startStandIns() error {
	if err := s.claimSubnet(); err != nil {
		return err
	}
	for i, zone := range zones {
		v := &vm{name: "edge-" + zone + "-1", zone: zone, ip: s.ip(11 + i), dir: s.dir}
		v.store = fmt.Sprintf("%s:%d", s.ip(201+i), storePort)
		if err := s.store.listen(v.store); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		for _, seed := range s.vms {
			v.seeds = append(v.seeds, fmt.Sprintf("%s:%d", seed.ip, controlPort))
		}
	}
	for i, zone := range zones {
		s.ledgers = append(s.ledgers, s.replica(fmt.Sprintf("i-led%d", i), ledger, zone, 101+i, 60*time.Millisecond))
	}
	for i, zone := range zones[:2] {
		s.pools = append(s.pools, s.replica(fmt.Sprintf("i-llm%d", i), pool, zone, 121+i, 20*time.Millisecond))
	}
	for _, p := range s.replicas() {
		if err := p.start(); err != nil {
			return err
		}
		s.store.put("servers/"+p.id, p.entry("ready"))
	}
	s.store.put("op/config", s.config(7, apiKey, otherKey))
	return nil
}

// subnets is the number of subnets of loopback addresses for a run.
const subnets = 250

// claimSubnet looks for a subnet that no other run uses, and holds an address of it.
func (s *site) claimSubnet() error {
	var err error
	for range subnets {
		s.subnet = s.subnet%subnets + 1
		if err = s.store.listen(fmt.Sprintf("%s:%d", s.ip(200), storePort)); err == nil {
			return nil
		}
	}
	return err
}

func (s *site) ip(last int) string { return fmt.Sprintf("127.%d.%d.%d", 77, s.subnet, last) }

func (s *site) replica(id, service, zone string, last int, work time.Duration) *replica {
	return &replica{id: id, service: service, zone: zone, address: fmt.Sprintf("%s:%d", s.ip(last), replicaPort), work: work, rec: s.rec}
}

func (s *site) replicas() []*replica {
	return append(append([]*replica(nil), s.ledgers...), s.pools...)
}

// config is the operator's configuration, with the tenant's keys.
func (s *site) config(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2,
			"service": service, "maxAttempts": attempts, "public": false, "sessionAffinity": false, "streamResume": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-pay", "/pay/", "non_idempotent", ledger, 1), route("r-look", "/look/", "idempotent", ledger, 2),
			route("r-ask", "/ask/", "idempotent", pool, 2),
		},
		"services": []any{
			map[string]any{"name": ledger, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": pool, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": keys, "priority": 1}},
	}
}

// startVMs starts the VMs and waits until all are ready and in touch.
func (s *site) startVMs() error {
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := waitFor(15*time.Second, v.ready); err != nil {
			return fmt.Errorf("%s is not ready: %w", v.name, err)
		}
	}
	s.rec.add("all VMs are ready")
	time.Sleep(contact + time.Second)
	return nil
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, v := range s.vms {
		v.kill()
	}
	s.store.close()
	for _, p := range s.replicas() {
		if p.srv != nil {
			_ = p.srv.Close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// newID returns the id of the next request.
func (s *site) newID() string {
	s.sequence++
	return fmt.Sprintf("q%07x", s.sequence)
}

func waitFor(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errors.New("timeout")
}
