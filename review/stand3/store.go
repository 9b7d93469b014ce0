package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeTime is how long the store takes for an answer, pageItems the items of a page.
	storeTime = 4 * time.Millisecond
	pageItems = 500
)

// item is a key with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's key-value store, in memory. It keeps its whole history.
type store struct {
	address string
	// wrote is called with each write of the VMs.
	wrote  func(key string, value []byte)
	server *http.Server
	closed chan struct{}

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	lastID   int64
	// changed is closed at the next change.
	changed chan struct{}
}

func newStore(address string, wrote func(key string, value []byte)) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: address, wrote: wrote, revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, lastID: 77000,
		changed: make(chan struct{}), closed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

func (s *store) close() {
	close(s.closed)
	_ = s.server.Close()
}

// expire ends leases in time.
func (s *store) expire() {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// write is a write of the operator or of a replica.
func (s *store) write(key string, value any) {
	// Maps of strings and numbers always marshal.
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// put, drop, record and endLease are called with mu held.
func (s *store) put(key string, value []byte, id int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: id}
	if before, ok := s.items[key]; ok {
		it.Created = before.Created
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"asOf": revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "asOf": revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "truncated": truncated, "asOf": revision})
}

// event is how a watch tells of a change.
func (it item) event() any {
	if it.Deleted {
		return map[string]any{"key": it.Key, "revision": it.Revision, "deleted": true}
	}
	return it
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision, events := s.changed, s.revision, []any{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(it item, revision int64) int { return int(it.Revision - revision) })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it.event())
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			time.Sleep(storeTime)
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	var txn struct {
		ExpectedRevision []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRevision"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	current, holds := []item{}, true
	for _, c := range txn.ExpectedRevision {
		current = append(current, s.items[c.Key])
		holds = holds && s.items[c.Key].Revision == c.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range txn.Writes {
		s.put(write.Key, write.Value, write.Lease)
		s.wrote(write.Key, write.Value)
	}
	for _, key := range txn.Remove {
		s.drop(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttlMs": in.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
