// Package timer runs the periodic work of a process: subsystems subscribe a
// function with an interval, and Run or Advance calls it.
//
// # Usage
//
//	s := timer.New(timer.Config{Now: time.Now})
//	stop := s.Every("settings poll", 5*time.Second, func(now time.Time) { ... })
//	defer stop()
//	s.Run(ctx) // or, in a test, s.Advance(now)
//
// The functions are called one after the other on the goroutine of Run or Advance
// and have to return quickly; long work belongs on a goroutine of its own.
package timer

import (
	"context"
	"sort"
	"sync"
	"time"
)

// maxWait is the longest time for which Run sleeps, as it does without a
// subscription.
const maxWait = time.Minute

// Config configures a Service.
type Config struct {
	// Now returns the current time.
	Now func() time.Time
}

// Service calls each subscribed function at its interval.
type Service struct {
	now           func() time.Time
	mu            sync.Mutex
	nextID        int
	subscriptions map[int]*subscription
	// changed signals Run that a subscription was added.
	changed chan struct{}
}

type subscription struct {
	name     string
	interval time.Duration
	due      time.Time
	call     func(now time.Time)
}

// New returns a service without subscriptions.
func New(c Config) *Service {
	return &Service{now: c.Now, subscriptions: map[int]*subscription{}, changed: make(chan struct{}, 1)}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return s.now() }

// Every subscribes fn to be called once per interval, for the first time after one
// interval. The returned function ends the subscription.
func (s *Service) Every(name string, interval time.Duration, fn func(now time.Time)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscriptions[id] = &subscription{name: name, interval: interval, due: s.now().Add(interval), call: fn}
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscriptions, id)
	}
}

// Advance calls the functions of all subscriptions due at now, in the order of
// their due times. A subscription that missed several intervals is called once.
func (s *Service) Advance(now time.Time) {
	for _, sub := range s.takeDue(now) {
		sub.call(now)
	}
}

// takeDue returns the subscriptions due at now and sets their next due times.
func (s *Service) takeDue(now time.Time) []*subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*subscription
	for _, sub := range s.subscriptions {
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

// untilNext returns the time until the next subscription is due, at most maxWait.
func (s *Service) untilNext(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := maxWait
	for _, sub := range s.subscriptions {
		wait = min(wait, sub.due.Sub(now))
	}
	return max(0, wait)
}

// Run calls subscriptions when they are due, until ctx ends; it then returns nil.
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
		timer.Reset(s.untilNext(s.now()))
	}
}
