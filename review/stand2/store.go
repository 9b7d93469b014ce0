package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait is the longest wait of a watch that the platform's page allows.
const maxWatchWait = 30 * time.Second

// item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// change is an item as written, or a deletion.
type change struct {
	item
	Deleted bool
}

// MarshalJSON writes a deletion without the fields that it does not have.
func (c change) MarshalJSON() ([]byte, error) {
	if c.Deleted {
		return json.Marshal(map[string]any{"key": c.Key, "revision": c.Revision, "deleted": true})
	}
	return json.Marshal(c.item)
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's key-value store: a sound one, with the calls of its page.
type store struct {
	address string
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []change
	leases  map[int64]*lease
	nextID  int64
	changed chan struct{}
	// loses is true while answers are lost; answers and lost count those of that time, watched by
	// connection those to watches of "op/config".
	loses         bool
	answers, lost int
	watched       map[string]int
	rec           *record
}

func startStore(rec *record) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), rev: 400, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 77000, changed: make(chan struct{}),
		watched: map[string]int{}, rec: rec,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, s.losing(mux)) }()
	go s.expire()
	return s, nil
}

// loseAnswers makes the store lose every third answer to a watch of "op/config" on each connection, or
// no answers any more.
func (s *store) loseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = lose
	if lose {
		s.rec.line("the store begins to lose answers")
		return
	}
	s.rec.line("the store has lost %d of %d answers, and loses no more", s.lost, s.answers)
}

// isLost counts an answer and reports whether it is lost.
func (s *store) isLost(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loses {
		return false
	}
	s.answers++
	if r.URL.Path != "/kv-watch" || r.URL.Query().Get("prefix") != "op/config" {
		return false
	}
	s.watched[r.RemoteAddr]++
	if s.watched[r.RemoteAddr]%3 != 0 {
		return false
	}
	s.lost++
	return true
}

// losing carries out each call and loses some of the answers. A connection on which an answer is lost
// returns nothing further: it stays open until the client closes it.
func (s *store) losing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &heldAnswer{header: http.Header{}, status: http.StatusOK}
		next.ServeHTTP(held, r)
		if s.isLost(r) {
			s.rec.line("store: the answer to %s %s of %s is lost", r.Method, r.URL.Path, r.RemoteAddr)
			<-r.Context().Done()
			return
		}
		maps.Copy(w.Header(), held.header)
		w.WriteHeader(held.status)
		_, _ = w.Write(held.body)
	})
}

// heldAnswer keeps an answer until it is known whether it is lost.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (h *heldAnswer) Header() http.Header    { return h.header }
func (h *heldAnswer) WriteHeader(status int) { h.status = status }
func (h *heldAnswer) Write(p []byte) (int, error) {
	h.body = append(h.body, p...)
	return len(p), nil
}

// put writes an item as the operator or a replica does, and returns its revision.
func (s *store) put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, base64.StdEncoding.EncodeToString(raw), 0)
	s.wake()
	return s.rev
}

// remove deletes an item and returns the revision.
func (s *store) remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		s.delete(key)
		s.wake()
	}
	return s.rev
}

func (s *store) write(key, value string, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: leaseID}
	if before, ok := s.items[key]; ok {
		it.Created = before.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{item: it})
}

func (s *store) delete(key string) {
	delete(s.items, key)
	s.history = append(s.history, change{item: item{Key: key, Revision: s.rev}, Deleted: true})
}

// wake ends the waits of all watches; s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the items of leases that have ended.
func (s *store) expire() {
	for now := range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, key := range keys {
		s.delete(key)
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "asOf": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRevision []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRevision"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, c := range in.ExpectedRevision {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		if it.Revision != c.Revision {
			holds = false
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range in.Writes {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, put := range in.Writes {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.delete(key)
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": in.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
