package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it is sent to its callers.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store. Each VM has an address of its own to it,
// so that what is done to one VM's connections leaves the others alone.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[int64]*time.Timer
	lease    int64
	// waiting holds what silences the waiting watches, by the address called and the prefix.
	waiting map[string]map[chan struct{}]bool
	// listed counts the calls of /kv-range, by the address called and the prefix.
	listed  map[string]int
	servers []*http.Server
}

func newStore() *store {
	return &store{
		revision: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[int64]*time.Timer{},
		waiting: map[string]map[chan struct{}]bool{}, listed: map[string]int{},
	}
}

// listen serves the store at an address.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(address, w, r) })}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (s *store) close() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(item{Key: key, Value: raw})
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(item{Key: key, Deleted: true})
}

// apply makes changes with one revision; s.mu is held.
func (s *store) apply(changes ...item) {
	s.revision++
	for _, c := range changes {
		c.Revision = s.revision
		if c.Deleted {
			delete(s.items, c.Key)
		} else {
			c.Created = cmp.Or(s.items[c.Key].Created, s.revision)
			s.items[c.Key] = c
		}
		s.history = append(s.history, c)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence makes the watches of a prefix that are waiting at an address return nothing further, and
// returns their number. Other calls and connections are not touched.
func (s *store) silence(address, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for silent := range s.waiting[address+" "+prefix] {
		close(silent)
		n++
	}
	s.waiting[address+" "+prefix] = nil
	return n
}

// lists returns how often a prefix was listed at an address.
func (s *store) lists(address, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed[address+" "+prefix]
}

func (s *store) serve(address string, w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/kv-range":
		s.serveRange(address, w, r)
	case r.URL.Path == "/kv-watch":
		s.serveWatch(address, w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.serveKeep(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{found, s.revision})
}

func (s *store) serveRange(address string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const page = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.listed[address+" "+prefix]++
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items[:min(page, len(items))], "truncated": len(items) > page, "asOf": s.revision})
}

func (s *store) serveWatch(address string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	silent := make(chan struct{})
	name := address + " " + prefix
	s.mu.Lock()
	if s.waiting[name] == nil {
		s.waiting[name] = map[chan struct{}]bool{}
	}
	s.waiting[name][silent] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting[name], silent)
	}()
	for {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-silent:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRevision []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, c := range in.ExpectedRevision {
		holds = holds && s.items[c.Key].Revision == c.Revision
		if i, ok := s.items[c.Key]; ok {
			current = append(current, i)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	var changes []item
	for _, c := range in.Writes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		changes = append(changes, item{Key: c.Key, Value: c.Value, Lease: c.Lease})
	}
	for _, key := range in.Remove {
		changes = append(changes, item{Key: key, Deleted: true})
	}
	for _, c := range changes {
		if strings.HasPrefix(c.Key, "op/") || strings.HasPrefix(c.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.apply(changes...)
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(1000, min(in.TTLMs, 600_000))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	id := s.lease
	s.leases[id] = time.AfterFunc(time.Duration(ttl)*time.Millisecond, func() { s.endLease(id) })
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl})
}

func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	var changes []item
	for key, i := range s.items {
		if i.Lease == id {
			changes = append(changes, item{Key: key, Deleted: true})
		}
	}
	if len(changes) > 0 {
		s.apply(changes...)
	}
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	var id int64
	_, _ = fmt.Sscanf(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), "%d", &id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	const ttl = 600_000
	t.Reset(ttl * time.Millisecond)
	reply(w, http.StatusOK, map[string]any{"ttlMs": ttl})
}
