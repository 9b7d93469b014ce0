package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// eventCount and eventGap are those of a long answer whose pauses are within the sheet's 200 ms.
	eventCount = 70
	eventGap   = 195 * time.Millisecond
	// firstEvent is the time to the first event.
	firstEvent = 60 * time.Millisecond
)

// replica is a model replica that streams numbered events. Each event names the version of the
// replica's software.
type replica struct {
	site              *site
	id, zone, version string
	address           string
	server            *http.Server
	stopped           chan struct{}
	once              sync.Once
	born              int64
	sequence          int
}

// startReplica starts a replica and its heartbeats.
func (s *site) startReplica(number int, version string) (*replica, error) {
	r := &replica{
		site: s, id: fmt.Sprintf("i-%s-%d", version, number), zone: zones[number%len(zones)], version: version, address: s.address(2, number+1, replicaPort),
		stopped: make(chan struct{}), born: time.Now().UnixMilli(),
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.register()
	go func() {
		for {
			select {
			case <-r.stopped:
				return
			case <-time.After(heartbeat):
				r.register()
			}
		}
	}()
	s.note("replica %s of version %s is ready", r.id, version)
	return r, nil
}

func (r *replica) register() {
	r.sequence++
	r.site.store.write("servers/"+r.id, map[string]any{
		"service": "pool", "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": "ready", "coldRemainingMs": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": r.sequence, "born": r.born,
	})
}

// leave removes the replica's entry. It serves on and exits after a time.
func (r *replica) leave(exit time.Duration) {
	r.once.Do(func() { close(r.stopped) })
	time.Sleep(10 * time.Millisecond)
	r.site.store.remove("servers/" + r.id)
	r.site.note("replica %s leaves: its entry is removed, it serves on", r.id)
	time.AfterFunc(exit, func() {
		r.site.note("replica %s exits", r.id)
		_ = r.server.Close()
	})
}

func (r *replica) close() {
	r.once.Do(func() { close(r.stopped) })
	_ = r.server.Close()
}

// ServeHTTP runs a request: it streams the events after the one that the client has.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id, last := q.Header.Get("X-Attempt-Id"), q.Header.Get("Last-Event-Id")
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.site.note("run      %s at %s, version %s, after event %q", id, r.id, r.version, last)
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Response-Stamp", "stamp-"+r.id+"-"+id)
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(last)
	pause := firstEvent
	for i := from + 1; i <= eventCount; i++ {
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			return
		}
		pause = eventGap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
