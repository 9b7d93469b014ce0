package fakes

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// The names of the load report's metrics.
const (
	MetricRunning = "engine_requests_running"
	MetricWaiting = "engine_requests_waiting"
	MetricSlots   = "engine_slots"
)

// errFull says that too many requests wait.
const errFull = errors.ConstError("queue is full")

type waiter struct {
	priority int
	ready    chan struct{}
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// slots admits requests to the batch, lowest priority number first.
type slots struct {
	mu         sync.Mutex
	size       int
	maxWaiting int
	lag        time.Duration
	running    int
	queue      []*waiter
	samples    []loadSample
}

func newSlots(size, maxWaiting int, lag time.Duration) *slots {
	return &slots{size: size, maxWaiting: maxWaiting, lag: lag}
}

// acquire waits for a slot.
//
// Errors: errFull, or the context's.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	if err := s.enqueue(w); err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *slots) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.size && len(s.queue) >= s.maxWaiting {
		return errFull
	}
	at := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].priority > w.priority })
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = w
	s.fill()
	return nil
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range s.queue {
		if q == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.sample()
			return
		}
	}
	s.running--
	s.fill()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.fill()
}

// fill admits from the queue; the lock is held.
func (s *slots) fill() {
	for s.running < s.size && len(s.queue) > 0 {
		close(s.queue[0].ready)
		s.queue = s.queue[1:]
		s.running++
	}
	s.sample()
}

// sample records the load; the newest sample older than the lag is kept.
func (s *slots) sample() {
	now := time.Now()
	s.samples = append(s.samples, loadSample{at: now, running: s.running, waiting: len(s.queue)})
	for len(s.samples) > 1 && !s.samples[1].at.After(now.Add(-s.lag)) {
		s.samples = s.samples[1:]
	}
}

func (s *slots) inBatch() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// report returns the load as it was one lag ago.
func (s *slots) report() loadSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := time.Now().Add(-s.lag)
	var out loadSample
	for _, l := range s.samples {
		if !l.at.After(visible) {
			out = l
		}
	}
	return out
}

// metricsHandler serves the load report as Prometheus text.
func (s *slots) metricsHandler(id string) http.Handler {
	reg := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) {
		opts := prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: prometheus.Labels{"id": id}}
		reg.MustRegister(prometheus.NewGaugeFunc(opts, value))
	}
	gauge(MetricRunning, "Requests in the batch.", func() float64 { return float64(s.report().running) })
	gauge(MetricWaiting, "Requests that wait.", func() float64 { return float64(s.report().waiting) })
	gauge(MetricSlots, "Size of the batch.", func() float64 { return float64(s.size) })
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
}

// writeBusy refuses by contract: nothing of the request was run.
func writeBusy(w http.ResponseWriter, status int, message string) {
	w.Header().Set(NotRunHeader, "true")
	w.Header().Set("Retry-After", strconv.Itoa(1))
	writeError(w, status, message)
}
