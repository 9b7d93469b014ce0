package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// leavingReplicas of leavingOf replicas leave, a share of 0.25.
	leavingOf, leavingReplicas = 12, 3
	// leavingStreams run at the same time, through one of three VMs.
	leavingStreams = 528
	// unframedEvery is the inverse of the share of the answers that have no length, at unframedReplicas
	// of the replicas.
	unframedEvery, unframedReplicas = 20, 6
	longEvents                      = 35
	longPause                       = 200 * time.Millisecond
	drainTime                       = 2 * time.Second
	// littleLonger is how long a replica goes on serving beyond drainMs.
	littleLonger = 500 * time.Millisecond
)

// leaver is a replica that may leave.
type leaver struct {
	replica
	// unframes is true if some of its answers have no length.
	unframes bool
	mu       sync.Mutex
	started  int
	// running counts the answers in progress.
	running sync.WaitGroup
}

func (l *leaver) serve(_ *replica, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	events := longEvents
	if strings.HasPrefix(id, "first-") {
		events = 1
	}
	unframed := false
	if events > 1 {
		l.mu.Lock()
		l.started++
		unframed = l.unframes && l.started%unframedEvery == 0
		l.mu.Unlock()
	}
	l.running.Add(1)
	defer l.running.Done()
	w.Header().Set("Content-Type", "text/event-stream")
	write := func(event string) error {
		_, err := w.Write([]byte(event))
		w.(http.Flusher).Flush()
		return err
	}
	if unframed {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nConnection: close\r\n\r\n",
			id, w.Header().Get("X-Response-Stamp"))
		write = func(event string) error {
			if _, err := buffered.WriteString(event); err != nil {
				return err
			}
			return buffered.Flush()
		}
	}
	for i := 1; i <= events; i++ {
		if err := write(fmt.Sprintf("id: %d\ndata: tok\n\n", i)); err != nil {
			l.rec.line("replica %s: the connection of request %s ended after event %d", l.id, id, i)
			return
		}
		if i < events {
			time.Sleep(longPause)
		}
	}
	l.rec.line("replica %s has answered request %s whole (without a length: %t)", l.id, id, unframed)
}

// leave is a planned shutdown: the replica reports that it drains, goes on serving for drainMs and a
// little longer, takes no new connections then, completes the answers in progress and ends.
func (l *leaver) leave() {
	l.replica.mu.Lock()
	l.state = "draining"
	l.replica.mu.Unlock()
	l.announce()
	l.rec.line("replica %s reports that it drains", l.id)
	time.Sleep(drainTime + littleLonger)
	_ = l.listener.Close()
	l.store.remove("servers/" + l.id)
	l.rec.line("replica %s takes no new connections, its answers in progress go on", l.id)
	l.running.Wait()
	l.rec.line("replica %s has completed its answers and ends", l.id)
}

// leaving lets replicas leave while streams run on them.
func leaving(s *scene) (outcome, error) {
	kv, err := startStore(s.rec)
	if err != nil {
		return outcome{}, err
	}
	kv.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": slowHost, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 2500, "targetGapMs": 800,
			"priority": 2, "service": "huvo11a", "maxAttempts": 1, "public": false, "sessionAffinity": true, "streamResume": false,
		}},
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{slowKey}, "priority": 1}},
	})
	replicas := make([]*leaver, leavingOf)
	for i := range replicas {
		l := &leaver{unframes: i < unframedReplicas}
		l.replica = replica{id: fmt.Sprintf("i-%02d", i), service: "huvo11a", zone: []string{"kigali-a", "kigali-b", "kigali-c"}[i%3], slots: 64, rec: s.rec, store: kv, serve: l.serve}
		if err := l.start(); err != nil {
			return outcome{}, err
		}
		replicas[i] = l
	}
	if s.vms, err = newVMs(3, s.dir, kv.address); err != nil {
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
	conns := make([]net.Conn, leavingStreams)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", s.vms[0].callers); err != nil {
			return outcome{}, err
		}
		defer conns[i].Close()
		if text := countTokens(s, conns[i], fmt.Sprintf("first-%d", i), 1); text != "" {
			return outcome{}, fmt.Errorf("the first request of client %d: %s", i, text)
		}
	}
	for _, v := range s.vms {
		if err := v.signal(syscall.SIGHUP); err != nil {
			return outcome{}, err
		}
	}
	s.rec.line("SIGHUP to all VMs")
	time.Sleep(hangupBefore)
	failures := make([]string, len(conns))
	var wait sync.WaitGroup
	for i := range conns {
		wait.Go(func() { failures[i] = countTokens(s, conns[i], fmt.Sprintf("long-%d", i), longEvents) })
		time.Sleep(time.Millisecond)
	}
	if s.trouble {
		for _, l := range replicas[:leavingReplicas] {
			go l.leave()
		}
	}
	wait.Wait()
	cut := 0
	for _, f := range failures {
		if f != "" {
			cut++
		}
	}
	text := fmt.Sprintf("%d of %d streams that the replicas completed ended without a complete answer, on kept connections to one VM", cut, len(conns))
	return outcome{cut > 3, text}, nil
}
