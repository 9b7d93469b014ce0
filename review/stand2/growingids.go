package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// calmStreams run at the same time; a burst of the factor two doubles them.
	calmStreams = 24
	// busyAbove is the number of running streams above which a replica writes busyTokens tokens in an
	// event instead of one; eight of the calm ones run on each of three replicas.
	busyAbove, busyTokens = 12, 3
	streamTokens          = 150
	eventPause            = 20 * time.Millisecond
	// burstAfter is how long after the calm streams the others come.
	burstAfter = 700 * time.Millisecond
)

// counting is the state of a replica whose events are numbered by the tokens made so far.
type counting struct {
	mu      sync.Mutex
	running int
}

func (c *counting) add(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	return c.running
}

// serve answers with a stream. The id of an event is the number of tokens made so far, and an event
// holds more of them while the replica is busy.
func (c *counting) serve(rep *replica, w http.ResponseWriter, r *http.Request) {
	running := c.add(1)
	defer c.add(-1)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, rep.slots))
	id := r.Header.Get("X-Attempt-Id")
	total := streamTokens
	if strings.HasPrefix(id, "first-") {
		total = 5
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for made := 0; made < total; {
		tokens := 1
		if c.add(0) > busyAbove {
			tokens = min(busyTokens, total-made)
		}
		made += tokens
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", made, strings.Repeat("tok ", tokens)); err != nil {
			rep.rec.line("replica %s: the connection of request %s ended after token %d of %d", rep.id, id, made, total)
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			rep.rec.line("replica %s: the connection of request %s was closed after token %d of %d", rep.id, id, made, total)
			return
		}
	}
	rep.rec.line("replica %s has answered request %s whole", rep.id, id)
}

// growingIDs lets a burst of requests come while streams run, so that the events of these hold several
// tokens from then on.
func growingIDs(s *scene) (outcome, error) {
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
	for i, zone := range []string{"kigali-a", "kigali-b", "kigali-c"} {
		c := &counting{}
		rep := &replica{id: fmt.Sprintf("i-%d", i), service: "huvo11a", zone: zone, slots: 64, rec: s.rec, store: kv, serve: c.serve}
		if err := rep.start(); err != nil {
			return outcome{}, err
		}
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
	// The connections are kept ones: each has served a request before.
	conns := make([]net.Conn, 2*calmStreams)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", s.vms[i%len(s.vms)].callers); err != nil {
			return outcome{}, err
		}
		defer conns[i].Close()
		if text := countTokens(s, conns[i], fmt.Sprintf("first-%d", i), 5); text != "" {
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
	send := func(from, to int, name string) {
		for i := from; i < to; i++ {
			wait.Go(func() { failures[i] = countTokens(s, conns[i], fmt.Sprintf("%s-%d", name, i), streamTokens) })
			time.Sleep(2 * time.Millisecond)
		}
	}
	send(0, calmStreams, "calm")
	time.Sleep(burstAfter)
	if s.trouble {
		s.rec.line("a burst: as many streams again")
		send(calmStreams, 2*calmStreams, "burst")
	}
	wait.Wait()
	cut, sent := 0, calmStreams
	if s.trouble {
		sent = len(conns)
	}
	byVM := make([]int, len(s.vms))
	for i, f := range failures {
		if f != "" {
			cut++
			byVM[i%len(byVM)]++
		}
	}
	text := fmt.Sprintf("%d of %d streams that replicas did not break off ended without a complete answer, on kept connections, %v by VM", cut, sent, byVM)
	return outcome{slices.Max(byVM) > 3, text}, nil
}

// countTokens sends a request for a stream and reads it. It returns what is wrong with the answer; empty
// if all tokens are there.
func countTokens(s *scene, conn net.Conn, id string, want int) string {
	_, err := fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 1460,900\r\n"+
		"X-Prompt-Prefix: %x:660\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody",
		slowHost, id, id, slowDeadline.Milliseconds(), slowKey)
	if err != nil {
		return err.Error()
	}
	s.rec.line("client sends %s", id)
	_ = conn.SetReadDeadline(time.Now().Add(slowDeadline))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.rec.line("client: %s: %v", id, err)
		return err.Error()
	}
	tokens, last := 0, 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
		tokens += strings.Count(lines.Text(), "tok")
	}
	text := ""
	switch err := lines.Err(); {
	case err != nil:
		text = err.Error()
	case res.StatusCode != http.StatusOK || tokens != want:
		text = fmt.Sprintf("status %d", res.StatusCode)
	}
	s.rec.line("client has %d of %d tokens of %s, the last id is %d: %s", tokens, want, id, last, orWhole(text))
	return text
}
