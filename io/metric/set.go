// Package metric keeps the process's metrics. Labels are bounded: classes beyond
// a cap count as "other", and teams, of which there may be thousands, are no
// labels at all.
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
	// Registry gets the metrics.
	Registry *prometheus.Registry
	// MaxClasses bounds the classes that have a label of their own.
	MaxClasses int
	// Waiting returns the number of jobs that wait, InFlight of requests in
	// progress, SettingsVersion the settings in force.
	Waiting         func() int
	InFlight        func() int
	SettingsVersion func() int64
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.MaxClasses == 0 {
		c.MaxClasses = 32
	}
}

// otherClass is the label of classes beyond the cap.
const otherClass = "other"

// latencyBuckets reach from a tenth of the first token's target to the longest
// wait, in seconds.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .37, .5, 1, 2, 5, 10, 30, 60, 120}

// gapBuckets lie around the target between tokens, in seconds.
var gapBuckets = []float64{.005, .01, .02, .03, .045, .06, .1, .2, .5, 1, 5}

// Set holds the metrics.
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
	waited     *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
}

// New registers the metrics.
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
		waited:     histogram("queue_seconds", "Time in the queue.", latencyBuckets),
		firstToken: histogram("first_token_seconds", "Time from arrival to the first part of the answer.", latencyBuckets),
		tokenGap:   histogram("token_gap_seconds", "Mean time between the parts of a stream.", gapBuckets),
	}
	c.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	c.Registry.MustRegister(s.requests, s.refused, s.targets, s.good, s.parts, s.wasted, s.waited, s.firstToken, s.tokenGap)
	gauge := func(name, help string, value func() float64) {
		c.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gentianwell_" + name, Help: help}, value))
	}
	gauge("waiting", "Requests in the queue.", func() float64 { return float64(c.Waiting()) })
	gauge("in_flight", "Requests in progress.", func() float64 { return float64(c.InFlight()) })
	gauge("settings_version", "Version of the settings in force.", func() float64 { return float64(c.SettingsVersion()) })
	return s
}

// Handler serves the metrics in Prometheus text.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.c.Registry, promhttp.HandlerOpts{})
}

// Refused counts a refusal by its code, of which there is a fixed number.
func (s *Set) Refused(code string) { s.refused.WithLabelValues(code).Inc() }

// Observe counts a job that has ended.
func (s *Set) Observe(m runner.Measure) {
	class, tier := s.class(m.Call.Class), strconv.Itoa(int(m.Call.Tier))
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

// class bounds the class label.
func (s *Set) class(c call.Class) string {
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
