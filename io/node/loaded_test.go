package node

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/io/back"
	"gentianwell/io/fakes"
)

// With many engines, each is read less often, and at most maxModelsReads at a time.
func TestLoadedModelsDue(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &loadedModels{now: func() time.Time { return now }, reports: map[call.ReplicaID]modelReport{}}
	var engines member.VMs
	for i := range 200 {
		id := call.VMID(fmt.Sprint(i))
		engines = append(engines, member.VM{ID: id})
		l.reports[call.ReplicaID(id)] = modelReport{requestedAt: now}
	}
	steps := []struct {
		after time.Duration
		all   int
		want  int
	}{{4 * time.Second, 20, 0}, {5 * time.Second, 20, 20}, {9 * time.Second, 200, 0}, {10 * time.Second, 200, maxModelsReads}}
	for _, step := range steps {
		now = time.Unix(1000, 0).Add(step.after)
		known := maps.Clone(l.reports)
		assert.Equal(t, len(l.due(engines[:step.all])), step.want, step.after.String())
		l.reports = known
	}
}

// BenchmarkLoadedModels measures reading the loaded models of each engine once. The
// CPU time includes that of the fake engine.
func BenchmarkLoadedModels(b *testing.B) {
	for _, count := range []int{75, 150, 300, 600} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) { benchmarkLoaded(b, count) })
	}
}

func benchmarkLoaded(b *testing.B, count int) {
	engine, err := fakes.NewEngine(fakes.EngineConfig{ID: "m", Models: []string{"drafts", "rules"}})
	assert.NilError(b, err)
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	var engines member.VMs
	for i := range count {
		engines = append(engines, member.VM{ID: call.VMID(fmt.Sprint(i)), Address: address})
	}
	client, err := back.New(back.Config{})
	assert.NilError(b, err)
	defer client.Close()
	now := time.Now()
	l := &loadedModels{now: func() time.Time { return now }, do: client.Do, reports: map[call.ReplicaID]modelReport{}}
	before := cpuTime()
	for b.Loop() {
		now = now.Add(time.Minute)
		for range (count + maxModelsReads - 1) / maxModelsReads {
			l.refresh(engines)
		}
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N*count), "cpu-ns/engine")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
