package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lostTime is for how long the store loses answers, as on the sheets, whose share is 0.35.
	lostTime = 4500 * time.Millisecond
	// stormGap is the pause between the changes made meanwhile: twelve of a config_storm of 4 s, and two
	// more (config_change).
	stormGap = 330 * time.Millisecond
	// contactTime and applyTime are contactMs and configApplyMs of the settings.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	// freezeTime is how long the first machine stands still (node_freeze).
	freezeTime = 4 * time.Second
	revokedVMs = 9
	askPause   = 20 * time.Millisecond
)

// configuration returns the operator's configuration with some keys of the one tenant.
func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": slowHost, "prefix": "/cufi504/", "kind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 100,
			"priority": 2, "service": "wuno96b", "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": keys, "priority": 1}},
	}
}

// revokedKey takes a key away while one machine stands still, some seconds after the store has lost
// answers, and asks the other machines with that key.
func revokedKey(s *scene) (outcome, error) {
	kv, err := startStore(s.rec)
	if err != nil {
		return outcome{}, err
	}
	const kept, dropped = "anfqasnmgkcuyj8pjbvk", slowKey
	version := 7
	kv.put("op/config", configuration(version, kept, dropped))
	for i, zone := range []string{"kigali-a", "kigali-b", "kigali-c"} {
		rep := &replica{id: fmt.Sprintf("i-%d", i), service: "wuno96b", zone: zone, slots: 6, store: kv, serve: plainAnswer}
		if err := rep.start(); err != nil {
			return outcome{}, err
		}
	}
	if s.vms, err = newVMs(revokedVMs, s.dir, kv.address); err != nil {
		return outcome{}, err
	}
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return outcome{}, err
		}
	}
	if err := waitReady(s.vms, 20*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(contactTime + time.Second)
	if s.trouble {
		kv.loseAnswers(true)
	}
	for end := time.Now().Add(lostTime); time.Now().Before(end); time.Sleep(stormGap) {
		version += 3
		kv.put("op/config", configuration(version, kept, dropped))
		s.rec.line("the operator writes version %d", version)
	}
	kv.loseAnswers(false)
	// The store is stable, and the machines are in touch, contactMs after the last lost answer.
	time.Sleep(contactTime + 500*time.Millisecond)
	if s.trouble {
		if err := s.vms[0].signal(syscall.SIGSTOP); err != nil {
			return outcome{}, err
		}
		s.rec.line("%s stands still", s.vms[0].name)
	}
	defer func() { _ = s.vms[0].signal(syscall.SIGCONT) }()
	time.Sleep(100 * time.Millisecond)
	version += 4
	kv.put("op/config", configuration(version, kept))
	acknowledged := time.Now()
	s.rec.line("the operator writes version %d, without the key %s; acknowledged", version, dropped)
	var wait sync.WaitGroup
	var mu sync.Mutex
	late, asked := 0, 0
	latest := time.Duration(0)
	for i, v := range s.vms[1:] {
		wait.Go(func() {
			for n := 0; time.Since(acknowledged) < freezeTime-200*time.Millisecond; n++ {
				age := time.Since(acknowledged)
				status, stamp := ask(v.callers, fmt.Sprintf("k-%d-%d", i, n), dropped)
				s.rec.line("%s is asked with the key %.3f s after the acknowledgement: %d %s", v.name, age.Seconds(), status, stamp)
				mu.Lock()
				if age > applyTime {
					asked++
					if status == http.StatusOK {
						late++
						latest = max(latest, age)
					}
				}
				mu.Unlock()
				time.Sleep(askPause)
			}
		})
	}
	wait.Wait()
	text := fmt.Sprintf("%d of %d requests with the dropped key, sent to machines in touch later than %s after the acknowledgement, ran; the last one was sent %.3f s after it",
		late, asked, applyTime, latest.Seconds())
	return outcome{late > 0, text}, nil
}

// plainAnswer answers a request of the plain service after its usual work.
func plainAnswer(_ *replica, w http.ResponseWriter, _ *http.Request) {
	time.Sleep(15 * time.Millisecond)
	_, _ = w.Write([]byte(strings.Repeat("x", 800)))
}

var askClient = http.Client{Timeout: 2 * time.Second}

// ask sends an idempotent request and returns the status and the replica's stamp of the answer.
func ask(address, id, key string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/cufi504/fi50/2f", nil)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = slowHost
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := askClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("X-Response-Stamp")
}
