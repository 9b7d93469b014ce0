package node

import (
	"sync"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/estim"
)

// estimates lets several goroutines use one estimator.
type estimates struct {
	mu  sync.Mutex
	e   *estim.Estimator
	now func() time.Time
}

func (s *estimates) guess(c *call.Call) estim.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.e.Estimate(s.now(), *c)
}

func (s *estimates) learn(sample estim.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.e.Finished(s.now(), sample)
}

func (s *estimates) dispatched(now time.Time, model call.Model, cost int, backlogged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.e.Dispatched(now, model, cost, backlogged)
}

func (s *estimates) rate(now time.Time, model call.Model) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.e.Rate(now, model)
}
