package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// A deployment like ibimenyetso-fleet: nine VMs and nine replicas of the pool in three zones.
const (
	vmCount       = 9
	poolCount     = 9
	streamPath    = "/draft/"
	host          = "shop.example"
	apiKey        = "key-one"
	heartbeat     = 1200 * time.Millisecond
	readyWithin   = 10 * time.Second
	callerPort    = 18227
	readyPort     = 18220
	peerPort      = 18229
	storePort     = 18223
	replicaPort   = 18080
	metricsPort   = "9464"
	routeTimeout  = 15 * time.Second
	routeAttempts = 2
)

var zones = []string{"kigali-a", "kigali-b", "kigali-c"}

type siteConfig struct {
	program, dir string
	seed         uint64
	trouble      bool
}

// site is a deployment on loopback addresses of its own.
type site struct {
	siteConfig
	// network is the first two bytes of all addresses.
	network string
	store   *store
	vms     []*vm
	started time.Time

	mu   sync.Mutex
	rand *rand.Rand
	// lines is the record.
	lines []string
}

func newSite(c siteConfig) (*site, error) {
	s := &site{siteConfig: c, rand: rand.New(rand.NewPCG(c.seed, 3)), started: time.Now()}
	// The second byte keeps runs at the same time apart.
	s.network = fmt.Sprintf("127.%d", 64+os.Getpid()%128)
	var err error
	if s.store, err = newStore(s.address(9, 1, storePort), s.noteWrite); err != nil {
		return nil, err
	}
	s.store.write("op/config", configuration())
	for i := range vmCount {
		v := &vm{site: s, number: i, settings: filepath.Join(c.dir, fmt.Sprintf("vm-%d.conf", i))}
		if err := os.WriteFile(v.settings, []byte(v.settingsText()), 0o600); err != nil {
			return nil, err
		}
		s.vms = append(s.vms, v)
	}
	return s, nil
}

// startVMs starts the VMs and waits until all are ready.
func (s *site) startVMs() error {
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyWithin); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range s.vms {
			if v.ready() {
				ready++
			}
		}
		if ready == vmCount {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d VMs are ready after %s", ready, vmCount, readyWithin)
		}
	}
}

// balance asks each VM once a second whether it is ready. After two misses a VM gets no new connections
// until it is ready again.
func (s *site) balance(ended <-chan struct{}) {
	for {
		for _, v := range s.vms {
			if v.ready() {
				v.misses.Store(0)
			} else {
				v.misses.Add(1)
			}
		}
		select {
		case <-ended:
			return
		case <-time.After(time.Second):
		}
	}
}

// forward returns the VM to which the platform forwards a new connection of a client that comes from
// another one.
func (s *site) forward(from *vm) *vm {
	var in []*vm
	for _, v := range s.vms {
		if v != from && v.misses.Load() < 2 {
			in = append(in, v)
		}
	}
	if len(in) == 0 {
		return from
	}
	return in[s.intn(len(in))]
}

func (s *site) stop() {
	for _, v := range s.vms {
		v.kill()
	}
	s.store.close()
}

// address returns an address of a group, such as the VMs.
func (s *site) address(group, number, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d.%d", s.network, group, number), fmt.Sprint(port))
}

// intn returns a random number below n.
func (s *site) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// note adds a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf("%8.3f ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// noteWrite records the base versions that the VMs write.
func (s *site) noteWrite(key string, value []byte) {
	if strings.HasPrefix(key, "gentianwell/versions/") {
		s.note("store    %s is now %s", key, value)
	}
}

func (s *site) writeRecord(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(s.lines, "\n")+"\n"), 0o644)
}

// configuration is the operator's, with one route whose streams may be resumed.
func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": host, "prefix": streamPath, "kind": "streaming", "timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 300,
			"priority": 0, "service": "pool", "maxAttempts": routeAttempts, "public": false, "sessionAffinity": true, "streamResume": true, "targetGapMs": 200,
		}},
		"services": []any{map[string]any{"name": "pool", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "ten-one", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
