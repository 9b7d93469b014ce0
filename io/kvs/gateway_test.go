package kvs_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

func startFake(t *testing.T, c kvs.GatewayConfig) (*fakekv.Fake, kvs.Service) {
	t.Helper()
	fake := fakekv.New(fakekv.Config{ProgressInterval: 10 * time.Millisecond})
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(server.Close)
	c.Addresses = append(c.Addresses, addrOf(server))
	gateway := kvs.NewGateway(c)
	t.Cleanup(gateway.Close)
	return fake, gateway.Service()
}

func addrOf(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestGatewayCalls(t *testing.T) {
	ctx := t.Context()
	_, svc := startFake(t, kvs.GatewayConfig{})
	lease, err := svc.Grant(ctx, 1500*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, lease.TTL, 2*time.Second)
	create := kvs.Txn{
		Compares: []kvs.Compare{kvs.Absent("a/1")},
		Then:     []kvs.Op{kvs.Put("a/1", []byte{0, 255}, lease.ID), kvs.Put("a/2", []byte("x"), 0)},
		Else:     []kvs.Op{kvs.Get("a/1"), kvs.Get("none")},
	}
	first, err := svc.Transact(ctx, create)
	assert.NilError(t, err)
	assert.Assert(t, first.Succeeded)
	second, err := svc.Transact(ctx, create)
	assert.NilError(t, err)
	assert.Assert(t, !second.Succeeded)
	assert.Equal(t, len(second.Lookups), 2)
	want := kvs.Entry{
		Key: "a/1", Value: []byte{0, 255}, Lease: lease.ID,
		CreateRevision: first.Revision, ModRevision: first.Revision,
	}
	assert.DeepEqual(t, second.Lookups[0].Entry, want)
	assert.Assert(t, !second.Lookups[1].Found)
	snap, err := svc.List(ctx, "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(snap.Entries), 2)
	ttl, err := svc.Renew(ctx, lease.ID)
	assert.NilError(t, err)
	assert.Equal(t, ttl, 2*time.Second)
	assert.NilError(t, svc.Revoke(ctx, lease.ID))
	_, err = svc.Renew(ctx, lease.ID)
	assert.ErrorIs(t, err, kvs.ErrLeaseLapsed)
	_, err = svc.Transact(ctx, kvs.Txn{Then: []kvs.Op{kvs.Put("b", nil, lease.ID)}})
	assert.ErrorIs(t, err, kvs.ErrLeaseLapsed)
	found, err := svc.Get(ctx, "a/1")
	assert.NilError(t, err)
	assert.Assert(t, !found.Found)
}

func TestGatewayCompares(t *testing.T) {
	ctx := t.Context()
	fake, svc := startFake(t, kvs.GatewayConfig{})
	fake.Put("k", []byte("v"))
	at, err := svc.Get(ctx, "k")
	assert.NilError(t, err)
	tests := []struct {
		name    string
		compare kvs.Compare
		want    bool
	}{
		{"absent", kvs.Absent("k"), false},
		{"absent other", kvs.Absent("l"), true},
		{"unchanged", kvs.Unchanged("k", at.Entry.ModRevision), true},
		{"changed", kvs.Unchanged("k", at.Entry.ModRevision-1), false},
		{"value", kvs.HasValue("k", []byte("v")), true},
		{"other value", kvs.HasValue("k", []byte("w")), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := svc.Transact(ctx, kvs.Txn{Compares: []kvs.Compare{tt.compare}})
			assert.NilError(t, err)
			assert.Equal(t, got.Succeeded, tt.want)
		})
	}
}

// A call that wrote nothing returns ErrUnavailable and goes to the next address if
// there is one. A call that wrote anything returns ErrUnknown and is not sent again,
// neither over a reused connection nor over a new one.
func TestGatewayErrorKinds(t *testing.T) {
	ctx := t.Context()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := netip.MustParseAddrPort(closed.Addr().String())
	assert.NilError(t, closed.Close())
	put := kvs.Txn{Then: []kvs.Op{kvs.Put("k", []byte("v"), 0)}}

	only := kvs.NewGateway(kvs.GatewayConfig{Addresses: []netip.AddrPort{dead}}).Service()
	_, err = only.Transact(ctx, put)
	assert.ErrorIs(t, err, kvs.ErrUnavailable)

	fake, svc := startFake(t, kvs.GatewayConfig{Addresses: []netip.AddrPort{dead}})
	for range 2 {
		before := fake.Counts().Txns
		fake.SetFaults(fakekv.Faults{LoseReplies: 1})
		_, err = svc.Transact(ctx, put)
		assert.ErrorIs(t, err, kvs.ErrUnknown)
		assert.Assert(t, !errors.Is(err, kvs.ErrUnavailable))
		assert.Equal(t, fake.Counts().Txns, before+1)
		_, err = svc.Transact(ctx, put)
		assert.NilError(t, err)
	}
}

func TestGatewayTimeoutIsUnknown(t *testing.T) {
	fake, svc := startFake(t, kvs.GatewayConfig{Timeout: 20 * time.Millisecond})
	fake.SetFaults(fakekv.Faults{Delay: time.Hour})
	_, err := svc.Transact(t.Context(), kvs.Txn{Then: []kvs.Op{kvs.Put("k", nil, 0)}})
	assert.ErrorIs(t, err, kvs.ErrUnknown)
}

func TestGatewayMaxResponseBytes(t *testing.T) {
	fake, svc := startFake(t, kvs.GatewayConfig{MaxResponseBytes: 1000})
	fake.Put("k", make([]byte, 8000))
	_, err := svc.Get(t.Context(), "k")
	assert.ErrorContains(t, err, "exceeds 1000 bytes")
	err = svc.Watch(t.Context(), "k", 1, func(kvs.Batch) error { return nil })
	assert.ErrorContains(t, err, "exceeds MaxResponseBytes")
}

// A status that the service also uses for its own timeouts doesn't show that the call
// had no effect.
func TestGatewayStatus(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"timeout of the service", 503, `{"code":14,"message":"request timed out"}`, kvs.ErrUnknown},
		{"too many requests", 429, `{"code":8,"message":"too many requests"}`, kvs.ErrUnavailable},
		{"bad request", 400, `{"code":3,"message":"duplicate key"}`, kvs.ErrUnavailable},
		{"lease", 404, `{"code":5,"message":"lease not found"}`, kvs.ErrLeaseLapsed},
		{"no JSON", 502, `oops`, kvs.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			svc := kvs.NewGateway(kvs.GatewayConfig{Addresses: []netip.AddrPort{addrOf(server)}}).Service()
			_, err := svc.Transact(t.Context(), kvs.Txn{})
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

var errEnough = errors.New("enough")

func TestGatewayWatch(t *testing.T) {
	ctx := t.Context()
	fake, svc := startFake(t, kvs.GatewayConfig{})
	fake.Put("a/1", []byte("x"))
	var got []kvs.Event
	idle := false
	err := svc.Watch(ctx, "a/", 1, func(b kvs.Batch) error {
		got = append(got, b.Events...)
		switch {
		case len(got) == 1 && len(b.Events) == 0:
			idle = true
			fake.Put("b/1", nil)
			_, err := svc.Transact(ctx, kvs.Txn{Then: []kvs.Op{kvs.Delete("a/1")}})
			return err
		case len(got) == 2:
			return errEnough
		}
		return nil
	})
	assert.ErrorIs(t, err, errEnough)
	assert.Assert(t, idle, "no progress notice")
	assert.Equal(t, got[0].Kind, kvs.EventPut)
	assert.Equal(t, got[1].Kind, kvs.EventDelete)
	assert.Equal(t, got[1].Entry.Key, "a/1")
}

func TestGatewayWatchFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*fakekv.Fake)
		want  error
		text  string
	}{
		{"silent", func(f *fakekv.Fake) { f.SetFaults(fakekv.Faults{SilentWatches: true}) }, kvs.ErrUnavailable, "no message of the watch within WatchIdleTimeout"},
		{"outage", func(f *fakekv.Fake) { f.SetFaults(fakekv.Faults{Outage: true}) }, kvs.ErrUnavailable, ""},
		{"gap", func(f *fakekv.Fake) { f.Put("z", nil); f.Compact() }, kvs.ErrCompacted, ""},
		{"restore", func(f *fakekv.Fake) { f.Save(); f.Restore() }, kvs.ErrUnavailable, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake, svc := startFake(t, kvs.GatewayConfig{WatchIdleTimeout: 200 * time.Millisecond})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			done := false
			from := kvs.Revision(1)
			err := svc.Watch(ctx, "a/", from, func(kvs.Batch) error {
				if !done {
					done = true
					tt.fault(fake)
				}
				return nil
			})
			assert.ErrorIs(t, err, tt.want)
			assert.ErrorContains(t, err, tt.text)
			assert.NilError(t, ctx.Err())
		})
	}
}
