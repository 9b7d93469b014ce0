package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica has run or is running.
type run struct {
	id, method, target, body, tenant, replica, service string
	arrived                                            time.Time
	done                                               bool
}

// replica is a stand-in for a backend server.
type replica struct {
	id, service, zone, address string
	// work is how long a request takes.
	work time.Duration
	rec  *record
	// crashOn, if set, is the body of a request that crashes the replica; crash is then called.
	crashOn string
	crash   func(*replica, *run)

	srv     *http.Server
	active  atomic.Int64
	mu      sync.Mutex
	runs    []*run
	exited  time.Time
	refused int
	// silent is closed at the end of the case, if the replica has fallen silent: its connections stay
	// open, and nothing is answered.
	silent chan struct{}
}

const replicaSlots = 6

func (p *replica) start() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.srv = &http.Server{Handler: p}
	go func() { _ = p.srv.Serve(l) }()
	return nil
}

// exit ends the replica: its connections close, what it was running is lost.
func (p *replica) exit() {
	p.mu.Lock()
	p.exited = time.Now()
	p.mu.Unlock()
	_ = p.srv.Close()
}

// entry is what the replica writes to the store.
func (p *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": replicaSlots,
		"state": state, "coldRemainingMs": 0, "sequence": 1,
	}
}

// fallSilent makes the replica answer nothing more, without closing a connection.
func (p *replica) fallSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = make(chan struct{})
}

// isSilent reports whether the replica has fallen silent; if so, it waits for the end of the connection.
func (p *replica) isSilent(r *http.Request) bool {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent == nil {
		return false
	}
	select {
	case <-silent:
	case <-r.Context().Done():
	}
	return true
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if p.isSilent(r) {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	running := p.active.Add(1)
	defer p.active.Add(-1)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, replicaSlots))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", p.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		p.rec.add("replica %s (%s): %s expects %s: 421", p.id, p.service, id, expected)
		p.mu.Lock()
		p.refused++
		p.mu.Unlock()
		w.Header().Set("X-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if running > replicaSlots {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	this := &run{
		id: id, method: r.Method, target: r.RequestURI, body: string(body), tenant: r.Header.Get("X-Tenant"),
		replica: p.id, service: p.service, arrived: arrived,
	}
	p.mu.Lock()
	p.runs = append(p.runs, this)
	p.mu.Unlock()
	p.rec.at(arrived, "replica %s (%s): runs %s %s %q for tenant %q", p.id, p.service, id, r.Method, r.RequestURI, this.tenant)
	if p.crashOn != "" && this.body == p.crashOn {
		p.crash(p, this)
	}
	time.Sleep(p.work)
	if p.isSilent(r) {
		return
	}
	p.mu.Lock()
	this.done = p.exited.IsZero()
	done := this.done
	p.mu.Unlock()
	if !done {
		p.rec.add("replica %s (%s): %s is lost, the replica has exited", p.id, p.service, id)
		return
	}
	answer := answerOf(this)
	w.Header().Set("X-Response-Stamp", "stamp-"+p.id+"-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, answer)
}

// answerOf is the body of the answer to a request.
func answerOf(r *run) string {
	return fmt.Sprintf("%s %s %s by %s\n", r.id, r.method, r.target, r.replica)
}

// ran returns a copy of what the replica has run.
func (p *replica) ran() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]run, 0, len(p.runs))
	for _, r := range p.runs {
		out = append(out, *r)
	}
	return out
}
