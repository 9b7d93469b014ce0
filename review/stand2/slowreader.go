package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pauseTime is for how long a client reads nothing, of its deadline of slowDeadline.
	pauseTime    = 4 * time.Second
	slowDeadline = 15 * time.Second
	// clientWindow is the receive buffer of a client's connection, as small devices have it.
	clientWindow = 8 << 10
	slowClients  = 10
	// streamEvents and eventBytes are the most that the sheet of ibimenyetso-fleet has for a
	// heraldic-draft: 230 pieces of 300 bytes.
	streamEvents, eventBytes = 230, 300
	slowHost, slowKey        = "ficu95.example", "n2ctnfzs989anu6wsjnb"
	// hangupBefore is how long before the requests the VM gets SIGHUP.
	hangupBefore = 200 * time.Millisecond
)

// slowReader lets clients read nothing of a stream for a while, well within their deadline.
func slowReader(s *scene) (outcome, error) {
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
		rep := &replica{id: fmt.Sprintf("i-%d", i), service: "huvo11a", zone: zone, slots: 64, rec: s.rec, store: kv, serve: streamAtOnce}
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
	// From here on all machines are in touch: contactMs has passed since their start.
	time.Sleep(4 * time.Second)
	conns := make([]net.Conn, slowClients)
	for i := range conns {
		dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientWindow)
			})
		}}
		if conns[i], err = dialer.DialContext(context.Background(), "tcp", s.vms[0].callers); err != nil {
			return outcome{}, err
		}
		defer conns[i].Close()
		// The connection is a kept one: it has served a request before.
		if text := readStream(s, conns[i], fmt.Sprintf("first-%d", i), 0); text != "" {
			return outcome{}, fmt.Errorf("the first request of client %d: %s", i, text)
		}
	}
	if err := s.vms[0].signal(syscall.SIGHUP); err != nil {
		return outcome{}, err
	}
	s.rec.line("SIGHUP to %s", s.vms[0].name)
	time.Sleep(hangupBefore)
	pause := pauseTime
	if !s.trouble {
		pause = 0
	}
	var wait sync.WaitGroup
	failures := make([]string, slowClients)
	for i := range conns {
		wait.Go(func() { failures[i] = readStream(s, conns[i], fmt.Sprintf("second-%d", i), pause) })
	}
	wait.Wait()
	cut := 0
	for _, f := range failures {
		if f != "" {
			cut++
		}
	}
	text := fmt.Sprintf("%d of %d connections ended without a complete answer, on requests that a sound replica had run", cut, slowClients)
	// More than three, as LOST has it for any time; around a SIGHUP, one is enough.
	return outcome{cut > 3, text}, nil
}

// streamAtOnce answers with a whole stream.
func streamAtOnce(rep *replica, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= streamEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: ", i)
		event += strings.Repeat("x", eventBytes-len(event)-2) + "\n\n"
		if _, err := w.Write([]byte(event)); err != nil {
			rep.rec.line("replica %s: request %s was broken off: %v", rep.id, r.Header.Get("X-Attempt-Id"), err)
			return
		}
	}
	rep.rec.line("replica %s has answered request %s whole", rep.id, r.Header.Get("X-Attempt-Id"))
}

// readStream sends a request, reads nothing for a while and then all of the answer. It returns what
// is wrong with the answer; empty if it is whole.
func readStream(s *scene, conn net.Conn, id string, pause time.Duration) string {
	sent := time.Now()
	_, err := fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 1460,900\r\n"+
		"X-Prompt-Prefix: 5c1e07a2:800,%x:660\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody",
		slowHost, id, id, slowDeadline.Milliseconds(), slowKey)
	if err != nil {
		return err.Error()
	}
	s.rec.line("client sends %s", id)
	time.Sleep(pause)
	_ = conn.SetReadDeadline(sent.Add(slowDeadline))
	text, bytes := "", 0
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		buf := make([]byte, 1<<20)
		for err == nil {
			var n int
			n, err = res.Body.Read(buf)
			bytes += n
		}
		switch {
		case err.Error() != "EOF":
			text = err.Error()
		case res.StatusCode != http.StatusOK || bytes != streamEvents*eventBytes:
			text = fmt.Sprintf("status %d", res.StatusCode)
		}
	} else {
		text = err.Error()
	}
	s.rec.line("client has %d of %d bytes of %s after %.1f s: %s", bytes, streamEvents*eventBytes, id, time.Since(sent).Seconds(), orWhole(text))
	return text
}

func orWhole(text string) string {
	if text == "" {
		return "whole"
	}
	return text
}
