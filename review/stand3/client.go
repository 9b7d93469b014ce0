package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	clientDeadline = 15 * time.Second
	// clientTries is how often a client asks for one stream.
	clientTries = 4
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
	// complete is true if the last attempt's answer came to its proper end.
	complete bool
}

// ask asks for a stream. After a broken connection it goes on after the last event, on a new
// connection to another VM, as the platform's pages say.
func (s *site) ask(name string) stream {
	var out stream
	deadline := time.Now().Add(clientDeadline)
	at := s.intn(len(s.vms))
	for try := 1; try <= clientTries && time.Now().Before(deadline) && !out.complete; try++ {
		id := fmt.Sprintf("%s-%d", name, try)
		wait := s.attempt(s.vms[at], id, deadline, &out)
		if out.complete {
			break
		}
		if left := time.Duration(maxWaitPart * float64(time.Until(deadline))); wait > left {
			break
		}
		time.Sleep(wait)
		at = (at + 1 + s.intn(len(s.vms)-1)) % len(s.vms)
	}
	return out
}

// attempt sends one attempt, appends its events to the stream and returns the wait before the next one.
func (s *site) attempt(v *vm, id string, deadline time.Time, out *stream) time.Duration {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: time.Until(deadline)}
	q, err := http.NewRequest(http.MethodPost, "http://"+v.address(callerPort)+streamPath+"2f", strings.NewReader("draft "+id))
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
		if s.resumes {
			q.Header.Set("Resumes", out.began)
		}
	}
	s.note("sent     %s to %s, after event %d", id, v.name(), last)
	res, err := client.Do(q)
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
	s.note("answer   %s: %v events by version, last %d, complete %t, stamp %s", id, counts, event, out.complete, res.Header.Get("X-Response-Stamp"))
	return clientPause
}
