package node

import (
	"sync"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/estim"
)

// sharedEstimator makes an estimator safe for concurrent use.
type sharedEstimator struct {
	mu        sync.Mutex
	estimator *estim.Estimator
	now       func() time.Time
}

func (s *sharedEstimator) estimate(c *call.Call) estim.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.Estimate(s.now(), *c)
}

func (s *sharedEstimator) learn(sample estim.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimator.Finished(s.now(), sample)
}

func (s *sharedEstimator) dispatched(now time.Time, model call.Model, cost int, backlogged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimator.Dispatched(now, model, cost, backlogged)
}

func (s *sharedEstimator) rate(now time.Time, model call.Model) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.Rate(now, model)
}
