package site

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/io/fakekv"
	"gentianwell/io/fakes"
	"gentianwell/io/node"
)

// waitUnusable waits, for at most timeout, until an entry VM considers a VM unusable for
// the reason.
func (s *Site) waitUnusable(t *testing.T, entry int, vm call.VMID, reason member.Reason, timeout time.Duration) {
	t.Helper()
	want := node.Unusable{VM: vm, Reason: reason}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := s.Entries[entry].Node.Status().Unusable
		if slices.Contains(got, want) {
			return poll.Success()
		}
		return poll.Continue("%s sees %v", s.Entries[entry].ID, got)
	}, poll.WithTimeout(timeout), poll.WithDelay(10*time.Millisecond))
}

// During an outage of the platform its last list has all VMs live. A backend server that
// crashes and an entry VM that begins a planned stop get no new requests from the others
// within seconds, and no caller gets an error.
func TestLeavingAndSilentVMsDuringOutage(t *testing.T) {
	s := New(t, Config{Entries: 3, Engines: 3, Notice: 5 * time.Second})
	s.Platform.SetFaults(fakekv.Faults{Outage: true})
	s.Engines[0].Inject(fakes.Fault{Kind: fakes.FaultCrash})
	s.Stop(2)
	for i := range 2 {
		s.waitUnusable(t, i, "e2", member.ReasonSaysLeaving, 4*time.Second)
		s.waitUnusable(t, i, "m0", member.ReasonSilent, 10*time.Second)
	}
	for i := range 10 {
		resp := s.Post(t, i%2, "/v1/chat/completions", chatBody("hello", true), nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK, readBody(t, resp))
	}
	s.Engines[0].Inject(fakes.Fault{Kind: fakes.FaultRevive})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := s.Entries[0].Node.Status().Replicas; got != 3 {
			return poll.Continue("%d replicas", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
