package site

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"gentianwell/io/fakekv"
	"gentianwell/io/fakes"
	"gentianwell/io/front"
)

// pay sends a payment to an entry VM and returns the response and its body.
func (s *Site) pay(t *testing.T, vm int, key, body string) (*http.Response, string) {
	t.Helper()
	resp := s.Post(t, vm, "/ledger/payments", body, map[string]string{front.HeaderIdempotencyKey: key})
	return resp, readBody(t, resp)
}

// bookings returns how many payments with the key all services have booked.
func (s *Site) bookings(t *testing.T, key string) int {
	t.Helper()
	n := 0
	for _, p := range s.Ledgers {
		for _, b := range p.Bookings().Bookings {
			if b.Key == key {
				n++
			}
		}
	}
	return n
}

// A request repeated on any VM gets the first response and books nothing. The same key
// with another body is refused.
func TestPaymentRepeated(t *testing.T) {
	s := New(t, Config{Entries: 3, Services: 3})
	first, want := s.pay(t, 0, "k1", `{"amount":1}`)
	assert.Equal(t, first.StatusCode/100, 2, want)
	for vm := range 3 {
		resp, got := s.pay(t, vm, "k1", `{"amount":1}`)
		assert.Equal(t, resp.StatusCode, first.StatusCode)
		assert.Equal(t, got, want)
		assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "ran")
	}
	resp, got := s.pay(t, 1, "k1", `{"amount":2}`)
	assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity, got)
	assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "notRun")
	assert.Equal(t, s.bookings(t, "k1"), 1)
}

// A payment that is sent to all VMs at the same time is booked once.
func TestPaymentRace(t *testing.T) {
	s := New(t, Config{Entries: 3, Services: 3})
	for round := range 10 {
		key := fmt.Sprint("race-", round)
		var all sync.WaitGroup
		for vm := range 3 {
			all.Go(func() { s.pay(t, vm, key, `{"amount":1}`) })
		}
		all.Wait()
		assert.Equal(t, s.bookings(t, key), 1, key)
	}
}

// The service closes the connection after it has booked the payment, so the outcome is
// unknown. No VM sends the payment again.
func TestPaymentUnknown(t *testing.T) {
	s := New(t, Config{Entries: 2, Services: 2})
	for _, p := range s.Ledgers {
		p.Inject(fakes.Fault{Kind: fakes.FaultCut, AfterTokens: 1, Times: 1})
	}
	resp, got := s.pay(t, 0, "k1", `{"amount":1}`)
	assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "unknown", got)
	for vm := range 2 {
		resp, got = s.pay(t, vm, "k1", `{"amount":1}`)
		assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "unknown", got)
	}
	assert.Equal(t, s.bookings(t, "k1"), 1)
}

// During an outage of the platform, payments are refused immediately and never sent. Only a caller
// that declares its first attempt is told that the payment was not run.
func TestPaymentPlatformDown(t *testing.T) {
	s := New(t, Config{Entries: 1, Services: 1})
	s.Platform.SetFaults(fakekv.Faults{Outage: true})
	for _, tt := range []struct{ attempt, want string }{{"1", "notRun"}, {"", "unknown"}, {"2", "unknown"}} {
		resp := s.Post(t, 0, "/ledger/payments", `{"amount":1}`, map[string]string{front.HeaderIdempotencyKey: "k" + tt.attempt, front.HeaderAttempt: tt.attempt})
		got := readBody(t, resp)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, got)
		assert.Equal(t, resp.Header.Get(front.HeaderOutcome), tt.want, got)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(s.Ledgers[0].Bookings().Bookings), 0)
}
