package route

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The replica has 2 calls of this VM in flight when the report is measured at 1s, and a
// third is sent at 2s. The report counts 6 calls, of which 4 are from other VMs.
func TestReportOfOtherVMsLoadDecaysByAge(t *testing.T) {
	report := Load{Running: 5, Waiting: 1, MeasuredAt: at(time.Second)}
	tests := []struct {
		name string
		now  time.Duration
		want float64
	}{
		{"new", 3 * time.Second, 3 + 4*0.8},
		{"half of the maximum age", 6 * time.Second, 3 + 4*0.5},
		{"too old", 11 * time.Second, 3},
		{"very old", time.Hour, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &state{}
			s.setInFlight(at(0), 1)
			s.setInFlight(at(500*time.Millisecond), 2)
			s.setInFlight(at(2*time.Second), 3)
			assert.Assert(t, s.report(at(3*time.Second), report))
			got := s.load(at(tt.now), 10*time.Second)
			assert.Assert(t, math.Abs(got-tt.want) < 1e-9, "got %g, want %g", got, tt.want)
		})
	}
}

func TestReportOrder(t *testing.T) {
	s := &state{}
	assert.Assert(t, s.report(at(5*time.Second), Load{Running: 3, MeasuredAt: at(4 * time.Second)}))
	assert.Assert(t, !s.report(at(6*time.Second), Load{Running: 9, MeasuredAt: at(3 * time.Second)}), "older")
	assert.Assert(t, !s.report(at(6*time.Second), Load{Running: 9, MeasuredAt: at(4 * time.Second)}), "same")
	assert.Equal(t, s.otherLoad, 3.0)
	assert.Assert(t, s.report(at(6*time.Second), Load{Running: 1, MeasuredAt: at(time.Hour)}), "clock ahead")
	assert.Equal(t, s.reportedAt, at(6*time.Second))
}

// Calls of this VM that ended after the measurement are not counted as other VMs' load.
func TestReportOfFinishedOwnWork(t *testing.T) {
	s := &state{}
	for i := range 10 {
		s.setInFlight(at(time.Duration(i)*time.Millisecond), i+1)
	}
	for i := range 10 {
		s.setInFlight(at(2*time.Second+time.Duration(i)*time.Millisecond), 9-i)
	}
	s.report(at(3*time.Second), Load{Running: 10, MeasuredAt: at(time.Second)})
	assert.Equal(t, s.load(at(3*time.Second), 10*time.Second), 0.0)
}

func TestHistoryIsBounded(t *testing.T) {
	s := &state{}
	for i := range 10 * historyLen {
		s.setInFlight(at(time.Duration(i)*time.Second), i)
	}
	assert.Equal(t, s.inFlightAt(at(0)), 9*historyLen)
	assert.Equal(t, s.inFlightAt(at(time.Hour)), 10*historyLen-1)
}

// Slots stated by a replica's report override the list, also after the list changes.
func TestSlotsByReport(t *testing.T) {
	r := newRouter(t, Config{})
	list := newReplicas(3, 1)
	list[0].Slots = 0
	r.SetReplicas(t0, list)
	assert.Equal(t, r.byID["r0"].Slots, defaultSlots)
	r.Report(t0, "r0", Load{Slots: 2, MeasuredAt: t0})
	r.SetReplicas(t0, list[:2])
	assert.Equal(t, r.byID["r0"].Slots, 2)
	assert.DeepEqual(t, len(r.Watched()), 2)
}
