package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a sound replica of one service. serve writes its answers.
type replica struct {
	id, service, zone string
	slots             int
	rec               *record
	store             *store
	serve             func(rep *replica, w http.ResponseWriter, r *http.Request)

	listener net.Listener
	server   *http.Server
	addr     string

	mu       sync.Mutex
	born     int64
	sequence int
	state    string
	runs     map[string]int
}

func (rep *replica) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	rep.listener = listener
	rep.addr, rep.born, rep.state = listener.Addr().String(), time.Now().UnixMilli(), "ready"
	rep.runs = map[string]int{}
	rep.server = &http.Server{Handler: http.HandlerFunc(rep.handle)}
	go func() { _ = rep.server.Serve(listener) }()
	rep.announce()
	return nil
}

// announce writes the replica's entry. It changes only when more than its sequence does.
func (rep *replica) announce() {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.sequence++
	rep.store.put("servers/"+rep.id, map[string]any{
		"service": rep.service, "address": rep.addr, "zone": rep.zone, "version": "v1", "slots": rep.slots, "state": rep.state,
		"coldRemainingMs": 0, "sequence": rep.sequence, "born": rep.born,
	})
}

func (rep *replica) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", rep.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != rep.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rep.mu.Lock()
	rep.runs[id]++
	rep.mu.Unlock()
	if rep.rec == nil {
		goto stamp
	}
	rep.rec.line("replica %s runs request %s %s (X-Deadline-Ms %s)", rep.id, id, r.URL.Path, r.Header.Get("X-Deadline-Ms"))
stamp:
	w.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%s", rep.id, id))
	rep.serve(rep, w, r)
}
