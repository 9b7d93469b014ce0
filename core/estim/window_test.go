package estim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestWindow(t testing.TB) *Window {
	t.Helper()
	w, err := NewWindow(WindowDefaults())
	assert.NilError(t, err)
	return w
}

func TestWindowAdaptsBatch(t *testing.T) {
	w := newTestWindow(t)
	now := start
	// A token takes 12 ms, and 1.5 ms more for each request of the batch: a batch of
	// 22 meets the target of 45 ms.
	for range 2000 {
		w.Finished(now, 12*time.Millisecond+time.Duration(w.Batch()*1.5*float64(time.Millisecond)))
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, w.Batch() > 18 && w.Batch() < 23, "%g", w.Batch())
}

// VMs that all see the same free replicas do not together send more than the
// batch and ShareSlack allow.
func TestWindowsShareReplicas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 20).Draw(rt, "vms")
		replicas := rapid.IntRange(1, 40).Draw(rt, "replicas")
		running := rapid.Float64Range(22, 28).Draw(rt, "running")
		w := newTestWindow(t)
		total := 0
		for range vms {
			own := 0
			for own < 32*replicas*2 && w.Allows(own, replicas, vms, running) {
				own++
			}
			total += own
		}
		assert.Assert(rt, float64(total) <= 32*float64(replicas)*1.05+float64(vms), "%d sent", total)
	})
}

// Other calls leave a tenth of the batch free for urgent calls.
func TestWindowReservesForUrgentCalls(t *testing.T) {
	w := newTestWindow(t)
	assert.Assert(t, w.Allows(0, 10, 9, 28))
	assert.Assert(t, !w.Allows(0, 10, 9, 29))
}

// A replica that runs at most 8 requests gets no more than 8, less the reserved
// fraction.
func TestWindowSetMaxBatch(t *testing.T) {
	w := newTestWindow(t)
	w.SetMaxBatch(8)
	assert.Assert(t, w.Allows(0, 10, 9, 7))
	assert.Assert(t, !w.Allows(0, 10, 9, 7.5))
}

// A VM beyond its share may send only while replicas are lightly loaded.
func TestWindowSpareLoad(t *testing.T) {
	w := newTestWindow(t)
	assert.Assert(t, w.Allows(500, 10, 9, 5))
	assert.Assert(t, !w.Allows(500, 10, 9, 25))
	assert.Assert(t, w.Allows(20, 10, 9, 25))
	assert.Assert(t, !w.Allows(20, 10, 9, 32))
}
