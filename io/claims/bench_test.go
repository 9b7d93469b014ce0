package claims

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gentianwell/core/claim"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// BenchmarkClaims measures claims that are finished, made on one VM over HTTP by
// different numbers of concurrent callers. The CPU time includes that of the fake
// key-value service.
func BenchmarkClaims(b *testing.B) {
	for _, interval := range []time.Duration{time.Nanosecond, defaultMinTxnInterval} {
		for _, callers := range []int{1, 4, 16, 64, 256} {
			b.Run(fmt.Sprintf("interval=%s/callers=%d", interval, callers), func(b *testing.B) { benchmark(b, interval, callers) })
		}
	}
}

func benchmark(b *testing.B, interval time.Duration, callers int) {
	fake := fakekv.New(fakekv.Config{})
	server := httptest.NewServer(fake.Handler())
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	gateway := kvs.NewGateway(kvs.GatewayConfig{Addresses: []netip.AddrPort{address}})
	defer gateway.Close()
	c := New(Config{Service: gateway.Service(), VM: "a", Nonce: nonce, MinTxnInterval: interval, Every: every(b.Context())})
	go c.Run(b.Context())
	var next atomic.Int64
	var wait sync.WaitGroup
	cpu := cpuTime()
	for range callers {
		wait.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				claimOnce(b, c, strconv.FormatInt(n, 10))
			}
		})
	}
	wait.Wait()
	counts, n := fake.Counts(), float64(b.N)
	b.ReportMetric(float64(cpuTime()-cpu)/n, "cpu-ns/claim")
	b.ReportMetric(n/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(counts.Txns)/b.Elapsed().Seconds(), "txns/s")
	b.ReportMetric(float64(counts.Txns)/n, "txns/claim")
	b.ReportMetric(float64(counts.BytesIn+counts.BytesOut)/n, "B/claim")
}

func claimOnce(b *testing.B, c *Claims, key string) {
	req := claim.Request{ID: "r-" + key, Team: "judges", Service: "entries", Key: key, Fingerprint: 1}
	attempt, err := c.Begin(b.Context(), req)
	if err != nil || attempt.Verdict().Kind != claim.KindRun {
		b.Error(err, attempt.Verdict())
		return
	}
	if err := attempt.MarkSent(time.Now()); err != nil {
		b.Error(err)
	}
	outcome := claim.Outcome{Status: 201, ContentType: "application/json", Body: make([]byte, 500)}
	if err := c.Finish(b.Context(), attempt, outcome); err != nil {
		b.Error(err)
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
