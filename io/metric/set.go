// Package metric keeps the process's Prometheus metrics. The number of label values
// is bounded: classes beyond a maximum are counted as "other", and there is no label
// for teams, as there may be thousands of them.
//
// # Usage
//
//	set := metric.New(metric.Config{Registry: prometheus.NewRegistry()})
//	runner.Config{Observe: set.Observe, …}
//	http.Handle("/metrics", set.Handler())
package metric

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// Config configures a Set.
type Config struct {
	// Registry is where the metrics are registered.
	Registry *prometheus.Registry
	// MaxClasses is the maximum number of classes with a label value of their own.
	MaxClasses int
	// Waiting returns the number of jobs in the queue, InFlight the number of requests
	// in progress, SettingsVersion the version of the settings in force.
	Waiting         func() int
	InFlight        func() int
	SettingsVersion func() int64
}

// Defaults sets MaxClasses to its default if it is zero.
func (c *Config) Defaults() {
	if c.MaxClasses == 0 {
		c.MaxClasses = 32
	}
}

// otherClass is the label value of the classes beyond MaxClasses.
const otherClass = "other"

// latencyBuckets are upper bounds in seconds. They reach from well below the target
// for the first token to waits of minutes.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .37, .5, 1, 2, 5, 10, 30, 60, 120}

// tokenGapBuckets are upper bounds in seconds, around the target for the time between
// tokens.
var tokenGapBuckets = []float64{.005, .01, .02, .03, .045, .06, .1, .2, .5, 1, 5}

// Set holds the metrics. It is safe for concurrent use.
type Set struct {
	c          Config
	mu         sync.Mutex
	classes    map[call.Class]bool
	requests   *prometheus.CounterVec
	targets    *prometheus.CounterVec
	good       *prometheus.CounterVec
	parts      *prometheus.CounterVec
	wasted     *prometheus.CounterVec
	refused    *prometheus.CounterVec
	broken     *prometheus.CounterVec
	waited     *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
}

// New creates the metrics and registers them, with those of the Go runtime and of
// the process.
func New(c Config) *Set {
	c.Defaults()
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gentianwell_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "gentianwell_" + name, Help: help, Buckets: buckets}, []string{"tier"})
	}
	s := &Set{
		c: c, classes: map[call.Class]bool{},
		requests:   counter("requests_total", "Requests by how they ended.", "class", "tier", "outcome", "reason"),
		targets:    counter("targets_total", "Requests that met or missed a latency target.", "class", "target", "met"),
		good:       counter("goodput_total", "Requests completed within their targets.", "class"),
		parts:      counter("parts_total", "Parts of streams (tokens, where the engine sends each by itself).", "class"),
		wasted:     counter("wasted_parts_total", "Parts that were discarded or generated again.", "class"),
		refused:    counter("refused_total", "Requests refused, those that became no job included.", "reason"),
		broken:     counter("broken_responses_total", "Attempts whose response was not valid or not complete, by the reason.", "reason"),
		waited:     histogram("queue_seconds", "Time in the queue.", latencyBuckets),
		firstToken: histogram("first_token_seconds", "Time from arrival to the first part of the answer.", latencyBuckets),
		tokenGap:   histogram("token_gap_seconds", "Mean time between the parts of a stream.", tokenGapBuckets),
	}
	c.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	c.Registry.MustRegister(s.requests, s.refused, s.targets, s.good, s.parts, s.wasted, s.broken, s.waited, s.firstToken, s.tokenGap)
	gauge := func(name, help string, value func() float64) {
		c.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gentianwell_" + name, Help: help}, value))
	}
	gauge("waiting", "Requests in the queue.", func() float64 { return float64(c.Waiting()) })
	gauge("in_flight", "Requests in progress.", func() float64 { return float64(c.InFlight()) })
	gauge("settings_version", "Version of the settings in force.", func() float64 { return float64(c.SettingsVersion()) })
	return s
}

// Registry returns the registry of the metrics.
func (s *Set) Registry() *prometheus.Registry { return s.c.Registry }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.c.Registry, promhttp.HandlerOpts{})
}

// Refused counts a refused request by its code. The number of codes is fixed.
func (s *Set) Refused(code string) { s.refused.WithLabelValues(code).Inc() }

// ResponseBroken counts an attempt whose response was not valid or not complete. The number of
// reasons is fixed.
func (s *Set) ResponseBroken(reason string) { s.broken.WithLabelValues(reason).Inc() }

// Observe records a job that has ended.
func (s *Set) Observe(m runner.Measure) {
	class, tier := s.classLabel(m.Call.Class), strconv.Itoa(int(m.Call.Tier))
	s.requests.WithLabelValues(class, tier, string(m.Outcome), string(m.Reason)).Inc()
	if m.Parts > 0 {
		s.parts.WithLabelValues(class).Add(float64(m.Parts))
		s.wasted.WithLabelValues(class).Add(float64(m.WastedTokens))
	}
	if m.Waited > 0 {
		s.waited.WithLabelValues(tier).Observe(m.Waited.Seconds())
	}
	if m.Kind != runner.KindEngine {
		return
	}
	s.targets.WithLabelValues(class, "firstToken", strconv.FormatBool(m.MetFirstToken())).Inc()
	s.targets.WithLabelValues(class, "tokenGap", strconv.FormatBool(m.MetTokenGap() && m.Parts > 0)).Inc()
	if m.Good() {
		s.good.WithLabelValues(class).Inc()
	}
	if m.FirstToken > 0 {
		s.firstToken.WithLabelValues(tier).Observe(m.FirstToken.Seconds())
	}
	if m.Parts > 1 {
		s.tokenGap.WithLabelValues(tier).Observe(m.MeanGap.Seconds())
	}
}

// classLabel returns the label value for a class: its name or, beyond MaxClasses,
// otherClass.
func (s *Set) classLabel(c call.Class) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.classes[c] {
		if len(s.classes) >= s.c.MaxClasses {
			return otherClass
		}
		s.classes[c] = true
	}
	return string(c)
}
