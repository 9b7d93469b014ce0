package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// preemptedEvents are made before a run is preempted; it is read in again after preemptedFor.
	preemptedEvents = 10
	preemptedFor    = 2200 * time.Millisecond
	resumedEvents   = 60
	resumedPause    = 40 * time.Millisecond
	// twiceSlack is how long the replica before may still work on a request that goes on elsewhere.
	twiceSlack       = 400 * time.Millisecond
	preemptedClients = 12
)

// oneRun is one run of a request at a replica.
type oneRun struct {
	replica    string
	began, end time.Time
}

// preempting counts the runs of each request on all replicas.
type preempting struct {
	s    *scene
	mu   sync.Mutex
	runs map[string][]*oneRun
}

// serve answers with a stream that may be resumed. The first run of a request is preempted in the
// middle and read in again; a replica notices a closed connection when it writes.
func (p *preempting) serve(rep *replica, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	p.mu.Lock()
	own := &oneRun{replica: rep.id, began: time.Now()}
	p.runs[id] = append(p.runs[id], own)
	first := len(p.runs[id]) == 1
	p.mu.Unlock()
	if last > 0 {
		rep.rec.line("replica %s goes on with request %s after event %d", rep.id, id, last)
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		own.end = time.Now()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= resumedEvents; n++ {
		if first && p.s.trouble && n == preemptedEvents+1 {
			rep.rec.line("replica %s preempts request %s", rep.id, id)
			time.Sleep(preemptedFor)
			rep.rec.line("replica %s has read request %s in again", rep.id, id)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: tok\n\n", n)
		w.(http.Flusher).Flush()
		if err == nil {
			err = r.Context().Err()
		}
		if err != nil {
			rep.rec.line("replica %s drops request %s: %v", rep.id, id, err)
			return
		}
		time.Sleep(resumedPause)
	}
	rep.rec.line("replica %s has completed request %s", rep.id, id)
}

// preempted lets replicas preempt streams.
func preempted(s *scene) (outcome, error) {
	kv, err := startStore(s.rec)
	if err != nil {
		return outcome{}, err
	}
	kv.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-2", "host": slowHost, "prefix": "/pufi791/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 300, "targetGapMs": 200,
			"priority": 0, "service": "huvo11a", "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResume": true,
		}},
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{slowKey}, "priority": 1}},
	})
	p := &preempting{s: s, runs: map[string][]*oneRun{}}
	for i, zone := range []string{"kigali-a", "kigali-b", "kigali-c"} {
		rep := &replica{id: fmt.Sprintf("i-%d", i), service: "huvo11a", zone: zone, slots: 64, rec: s.rec, store: kv, serve: p.serve}
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
	time.Sleep(2 * contactTime)
	var wait sync.WaitGroup
	for i := range preemptedClients {
		wait.Go(func() {
			r, err := http.NewRequest(http.MethodPost, "http://"+s.vms[i%len(s.vms)].callers+"/pufi791/2f", strings.NewReader("body"))
			if err != nil {
				return
			}
			id := fmt.Sprintf("q-%d", i)
			r.Host = slowHost
			for name, value := range map[string]string{
				"X-Attempt-Id": id, "X-Deadline-Ms": "15000", "X-Model": "m", "X-Token-Counts": "628,300",
				"X-Prompt-Prefix": fmt.Sprintf("%x:628", id), "Authorization": "Bearer " + slowKey,
			} {
				r.Header.Set(name, value)
			}
			s.rec.line("client sends %s", id)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				s.rec.line("client: %s: %v", id, err)
				return
			}
			defer resp.Body.Close()
			raw, err := io.ReadAll(resp.Body)
			s.rec.line("client has %d of %d events of %s: %v", strings.Count(string(raw), "id:"), resumedEvents, id, err)
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	twice := 0
	for id, runs := range p.runs {
		for i := 1; i < len(runs); i++ {
			if over := runs[i-1].end.Sub(runs[i].began); over > twiceSlack {
				twice++
				s.rec.line("request %s went on at %s, and %s worked on it for %.3f s more", id, runs[i].replica, runs[i-1].replica, over.Seconds())
			}
		}
	}
	text := fmt.Sprintf("%d of %d requests went on at another replica while the one before worked on them for over %s more", twice, preemptedClients, twiceSlack)
	return outcome{twice > 0, text}, nil
}
