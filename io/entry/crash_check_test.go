package entry

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/io/back"
)

// dialResult is what an attempt to connect meets.
type dialResult string

const (
	dialAccepted   dialResult = "accepted"
	dialRefused    dialResult = "refused"
	dialUnanswered dialResult = "unanswered"
)

// dialResults returns a dial function whose attempts meet the results in turn, and the last
// of them from then on.
func dialResults(results ...dialResult) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		result := results[0]
		if len(results) > 1 {
			results = results[1:]
		}
		switch result {
		case dialRefused:
			return nil, errors.Annotatef(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, "dial %s", address)
		case dialUnanswered:
			<-ctx.Done()
			return nil, errors.Annotatef(ctx.Err(), "dial %s", address)
		}
		conn, _ := net.Pipe()
		return conn, nil
	}
}

// A replica whose queue of new connections was full, or whose link was cut, counted as
// crashed: any attempt to connect that failed within 0.3 s did.
func TestUnansweredReplicaHasNotCrashed(t *testing.T) {
	for name, test := range map[string]struct {
		results []dialResult
		crashed bool
	}{
		"accepts":                       {results: []dialResult{dialAccepted}},
		"refuses":                       {results: []dialResult{dialRefused}, crashed: true},
		"does not answer":               {results: []dialResult{dialUnanswered}},
		"refuses, first packet is lost": {results: []dialResult{dialUnanswered, dialRefused}, crashed: true},
		"accepts, first packet is lost": {results: []dialResult{dialUnanswered, dialAccepted}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCrashes(t, "a", time.Now)
			c.checks, c.dial = map[call.ReplicaID]*crashCheck{}, dialResults(test.results...)
			assert.Equal(t, c.hasCrashed(back.Target{ID: "r"}), test.crashed)
		})
	}
}
