package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// OrderAction is the action of an Order.
type OrderAction string

// The actions of an order.
const (
	OrderLoad   OrderAction = "load"
	OrderUnload OrderAction = "unload"
)

// Order asks the engine to load or unload a model or adapter. Orders are idempotent.
type Order struct {
	Fencing int64       `json:"fencing"`
	Model   string      `json:"model"`
	Action  OrderAction `json:"action"`
}

// OrderReply is the response to an order that was applied.
type OrderReply struct {
	Applied bool     `json:"applied"`
	Models  []string `json:"models"`
}

// Orders is the response to GET /orders: the applied orders in the sequence in which
// they were applied.
type Orders struct {
	Orders  []Order  `json:"orders"`
	Refused int      `json:"refused"`
	Models  []string `json:"models"`
}

// modelSet holds the loaded models and applies orders.
type modelSet struct {
	mu            sync.Mutex
	checkFencing  bool
	loadTime      time.Duration
	loaded        map[string]bool
	newestFencing int64
	applied       []Order
	refused       int
}

func newModelSet(c EngineConfig) *modelSet {
	m := &modelSet{checkFencing: c.CheckFencing, loadTime: c.LoadTime, loaded: map[string]bool{}}
	for _, name := range c.Models {
		m.loaded[name] = true
	}
	return m
}

func (m *modelSet) has(model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded[model]
}

func (m *modelSet) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []string{}
	for name := range m.loaded {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// admit reports whether to apply an order. With checkFencing it refuses those whose
// fencing token is older than the newest seen.
func (m *modelSet) admit(o Order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checkFencing && o.Fencing < m.newestFencing {
		m.refused++
		return false
	}
	m.newestFencing = max(m.newestFencing, o.Fencing)
	return true
}

func (m *modelSet) apply(o Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = append(m.applied, o)
	if o.Action == OrderLoad {
		m.loaded[o.Model] = true
		return
	}
	delete(m.loaded, o.Model)
}

func (m *modelSet) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if o.Model == "" || (o.Action != OrderLoad && o.Action != OrderUnload) {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("order of action %q for model %q", o.Action, o.Model))
		return
	}
	if !m.admit(o) {
		writeError(w, http.StatusConflict, fmt.Sprintf("fencing number %d is old", o.Fencing))
		return
	}
	if o.Action == OrderLoad && !m.has(o.Model) {
		time.Sleep(m.loadTime)
	}
	m.apply(o)
	writeJSON(w, OrderReply{Applied: true, Models: m.names()})
}

func (m *modelSet) serveOrders(w http.ResponseWriter, _ *http.Request) {
	names := m.names()
	m.mu.Lock()
	defer m.mu.Unlock()
	writeJSON(w, Orders{Orders: append([]Order{}, m.applied...), Refused: m.refused, Models: names})
}

func (m *modelSet) serveModels(w http.ResponseWriter, _ *http.Request) {
	out := wireModels{Object: "list", Data: []wireModel{}}
	for _, name := range m.names() {
		out.Data = append(out.Data, wireModel{ID: name, Object: "model", OwnedBy: "gentianwell"})
	}
	writeJSON(w, out)
}
