// Package timer is the one source of periodic work: parts subscribe to it with
// an interval and are called by whoever drives it.
//
// # Usage
//
//	s := timer.New(timer.Config{Now: time.Now})
//	stop := s.Every("settings poll", 5*time.Second, func(now time.Time) { ... })
//	defer stop()
//	s.Run(ctx) // or, in a test, s.Advance(now)
//
// Subscribers are called one after the other on the driving goroutine and have
// to return quickly; long work is handed to a goroutine of their own.
package timer

import (
	"context"
	"sort"
	"sync"
	"time"
)

// idleWait is how long Run sleeps without a subscription.
const idleWait = time.Minute

// Config configures a Service.
type Config struct {
	// Now gives the present time.
	Now func() time.Time
}

// Service calls its subscribers at their intervals.
type Service struct {
	now  func() time.Time
	mu   sync.Mutex
	next int
	subs map[int]*subscription
	// changed wakes Run for a new subscription.
	changed chan struct{}
}

type subscription struct {
	name     string
	interval time.Duration
	due      time.Time
	fn       func(now time.Time)
}

// New returns a service without subscribers.
func New(c Config) *Service {
	return &Service{now: c.Now, subs: map[int]*subscription{}, changed: make(chan struct{}, 1)}
}

// Now returns the present time.
func (s *Service) Now() time.Time { return s.now() }

// Every subscribes fn to a call every interval, the first one interval from now.
// The returned function ends the subscription.
func (s *Service) Every(name string, interval time.Duration, fn func(now time.Time)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.next
	s.next++
	s.subs[id] = &subscription{name: name, interval: interval, due: s.now().Add(interval), fn: fn}
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subs, id)
	}
}

// Advance calls every subscription that is due at now, in order of due time.
// A subscription that missed several intervals is called once.
func (s *Service) Advance(now time.Time) {
	for _, sub := range s.take(now) {
		sub.fn(now)
	}
}

func (s *Service) take(now time.Time) []*subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*subscription
	for _, sub := range s.subs {
		if !sub.due.After(now) {
			due = append(due, sub)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if !due[i].due.Equal(due[j].due) {
			return due[i].due.Before(due[j].due)
		}
		return due[i].name < due[j].name
	})
	for _, sub := range due {
		sub.due = now.Add(sub.interval)
	}
	return due
}

// wait returns how long it is until the next subscription is due.
func (s *Service) wait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := idleWait
	for _, sub := range s.subs {
		wait = min(wait, sub.due.Sub(now))
	}
	return max(0, wait)
}

// Run drives the service until ctx ends. It sleeps while nothing is due.
func (s *Service) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
		case <-timer.C:
			s.Advance(s.now())
		}
		timer.Reset(s.wait(s.now()))
	}
}
