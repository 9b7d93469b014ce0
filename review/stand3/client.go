package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	clientDeadline = 15 * time.Second
	// clientTries is how often a client asks for one stream: the sheet gives ink-query one retry.
	clientTries = 2
	// clientPause is the pause before a retry after a broken connection.
	clientPause = 300 * time.Millisecond
	// maxWaitPart of the time that is left is the longest Retry-After that a client honours.
	maxWaitPart = 1.0 / 3
)

// stream is what a client got of one stream, over all its attempts.
type stream struct {
	// ids are those of its events in order, versions those of the replicas that made them.
	ids      []int
	versions []string
	// began is the attempt that brought the first event.
	began string
	// closes is true if the connection of the last attempt broke or is to be closed.
	closes bool
	// complete is true if the last attempt's answer came to its proper end.
	complete bool
}

// client keeps a connection open to its VM for one stream after the other. It goes to another VM if the
// connection breaks or is to be closed.
type client struct {
	site *site
	vm   *vm
	http *http.Client
}

func (s *site) newClient() *client {
	return &client{site: s, vm: s.vms[s.intn(vmCount)], http: newHTTPClient(false)}
}

func newHTTPClient(once bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: once, DisableCompression: true}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// ask asks for a stream. After a broken connection it goes on after the last event, on a new
// connection to another VM, as the platform's pages say.
func (c *client) ask(name string) stream {
	var out stream
	s := c.site
	deadline := time.Now().Add(clientDeadline)
	at, with := c.vm, c.http
	for try := 1; try <= clientTries && time.Now().Before(deadline) && !out.complete; try++ {
		id := fmt.Sprintf("%s-%d", name, try)
		wait := s.attempt(with, at, id, deadline, &out)
		if at == c.vm && out.closes {
			c.vm = s.forward(c.vm)
		}
		if out.complete {
			break
		}
		if left := time.Duration(maxWaitPart * float64(time.Until(deadline))); wait > left {
			break
		}
		time.Sleep(wait)
		at, with = s.forward(at), newHTTPClient(true)
	}
	return out
}

// attempt sends one attempt, appends its events to the stream and returns the wait before the next one.
func (s *site) attempt(with *http.Client, v *vm, id string, deadline time.Time, out *stream) time.Duration {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.address(callerPort)+streamPath+"2f", strings.NewReader("draft "+id))
	if err != nil {
		return clientPause
	}
	q.Host = host
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Model", "m")
	q.Header.Set("X-Token-Counts", "628,300")
	q.Header.Set("X-Prompt-Prefix", "5c1e07a2:198,"+fmt.Sprintf("%x", id)+":430")
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	last := 0
	if n := len(out.ids); n > 0 {
		last = out.ids[n-1]
		q.Header.Set("Last-Event-Id", strconv.Itoa(last))
		q.Header.Set("Resumes", out.began)
	}
	s.note("sent     %s to %s, after event %d", id, v.name(), last)
	res, err := with.Do(q)
	out.closes = err != nil || res.Close
	if err != nil {
		s.note("no answer to %s: %v", id, err)
		return clientPause
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		s.note("answer   %s: status %d, Retry-After %q", id, res.StatusCode, res.Header.Get("Retry-After"))
		if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			return time.Duration(seconds * float64(time.Second))
		}
		return clientPause
	}
	lines := bufio.NewScanner(res.Body)
	event, counts := 0, map[string]int{}
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			event, _ = strconv.Atoi(text)
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			out.ids, out.versions = append(out.ids, event), append(out.versions, version)
			counts[version]++
		}
	}
	if out.began == "" && len(out.ids) > 0 {
		out.began = id
	}
	out.complete = lines.Err() == nil
	out.closes = out.closes || !out.complete
	s.note("answer   %s: %v events by version, last %d, complete %t, stamp %s", id, counts, event, out.complete, res.Header.Get("X-Response-Stamp"))
	return clientPause
}
