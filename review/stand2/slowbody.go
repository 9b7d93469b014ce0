package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is the largest body of a payment-record on the sheet of ibimenyetso-fleet, sent in
	// bodyParts over bodyTime.
	bodyBytes, bodyParts = 3600, 36
	bodyTime             = 8 * time.Second
	// bodyTimeout is the route's timeoutMs, bodyDeadline the client's time, answerSlack what the rule
	// adds to the timeout.
	bodyTimeout, bodyDeadline = 2 * time.Second, 4 * time.Second
	answerSlack               = 500 * time.Millisecond
	bodyClients               = 12
)

// payments returns a configuration with the route of payments.
func payments(version int, keys ...string) map[string]any {
	c := configuration(version, keys...)
	c["routes"] = []any{map[string]any{
		"name": "r-1", "host": slowHost, "prefix": "/cufi504/", "kind": "non_idempotent", "timeoutMs": bodyTimeout.Milliseconds(), "targetLatencyMs": 300,
		"priority": 2, "service": "wuno96b", "maxAttempts": 1, "public": false,
	}}
	return c
}

// slowBody takes a key away from connected clients that send their bodies slowly.
func slowBody(s *scene) (outcome, error) {
	kv, err := startStore(s.rec)
	if err != nil {
		return outcome{}, err
	}
	const kept, dropped = "anfqasnmgkcuyj8pjbvk", slowKey
	kv.put("op/config", payments(7, kept, dropped))
	for i, zone := range []string{"kigali-a", "kigali-b", "kigali-c"} {
		rep := &replica{id: fmt.Sprintf("i-%d", i), service: "wuno96b", zone: zone, slots: 6, rec: s.rec, store: kv, serve: plainAnswer}
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
	conns := make([]net.Conn, bodyClients)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", s.vms[i%len(s.vms)].callers); err != nil {
			return outcome{}, err
		}
		defer conns[i].Close()
		if status, after := sendBody(s, conns[i], fmt.Sprintf("first-%d", i), dropped, 0); status != http.StatusOK {
			return outcome{}, fmt.Errorf("the first request of client %d: %d after %s", i, status, after)
		}
	}
	if s.trouble {
		kv.put("op/config", payments(9, kept))
		s.rec.line("the operator takes the key %s away", dropped)
	}
	time.Sleep(applyTime + time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	unanswered, late := 0, 0
	for i, conn := range conns {
		wait.Go(func() {
			status, after := sendBody(s, conn, fmt.Sprintf("second-%d", i), dropped, bodyTime)
			if status != 0 {
				s.rec.line("client has the answer to second-%d after %.3f s: %d", i, after.Seconds(), status)
			}
			mu.Lock()
			defer mu.Unlock()
			if after >= bodyTimeout {
				unanswered++
			}
			if after >= bodyTimeout+answerSlack {
				late++
			}
		})
	}
	wait.Wait()
	text := fmt.Sprintf("of %d requests %d were unanswered at their route's timeout (%s), %d of these had no answer half a second later", bodyClients, unanswered, bodyTimeout, late)
	return outcome{2*late > unanswered, text}, nil
}

// sendBody sends a request whose body takes a while and returns the status of the answer, zero if there
// is none, and when it came.
func sendBody(s *scene, conn net.Conn, id, key string, takes time.Duration) (int, time.Duration) {
	s.rec.line("client sends %s, its body takes %s", id, takes)
	sent := time.Now()
	_, err := fmt.Fprintf(conn, "POST /cufi504/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		slowHost, id, bodyDeadline.Milliseconds(), key, bodyBytes)
	if err != nil {
		return 0, time.Since(sent)
	}
	go func() {
		part := []byte(strings.Repeat("b", bodyBytes/bodyParts))
		for range bodyParts {
			time.Sleep(takes / bodyParts)
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}()
	_ = conn.SetReadDeadline(sent.Add(bodyDeadline))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.rec.line("client: %s: no answer in the client's time: %v", id, err)
		return 0, time.Since(sent)
	}
	after := time.Since(sent)
	buf := make([]byte, 1<<16)
	for err == nil {
		_, err = res.Body.Read(buf)
	}
	return res.StatusCode, after
}
