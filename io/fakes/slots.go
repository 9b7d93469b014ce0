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

// The names of the metrics of the load report.
const (
	MetricRunning = "engine_requests_running"
	MetricWaiting = "engine_requests_waiting"
	MetricSlots   = "engine_slots"
)

// errFull means that the queue already holds the maximum number of requests.
const errFull = errors.ConstError("queue is full")

type waiter struct {
	priority int
	ready    chan struct{}
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// slots limits how many requests run at the same time. Waiting requests are admitted by
// ascending priority number.
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
// Errors: errFull, or the error of the context.
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

// abandon removes a waiter from the queue, or frees its slot if it has been admitted in
// the meantime.
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

// fill admits waiting requests while slots are free. The caller holds the lock.
func (s *slots) fill() {
	for s.running < s.size && len(s.queue) > 0 {
		close(s.queue[0].ready)
		s.queue = s.queue[1:]
		s.running++
	}
	s.sample()
}

// sample records the load and drops the samples that report no longer needs. The newest
// sample that is at least as old as the lag is kept.
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

// report returns the load as of s.lag ago.
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

// writeRefusal refuses a request with NotRunHeader: no part of it has run.
func writeRefusal(w http.ResponseWriter, status int, message string) {
	w.Header().Set(NotRunHeader, "true")
	w.Header().Set("Retry-After", strconv.Itoa(1))
	writeError(w, status, message)
}
