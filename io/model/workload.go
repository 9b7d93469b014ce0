package model

import (
	"time"

	"github.com/juju/errors"
)

// Workload is what a run puts the policies through.
type Workload struct {
	Name string
	// Load is the demand as a part of the engines' capacity, before, in and after
	// the middle third of the run.
	Load [3]float64
	// Length is how long requests arrive.
	Length time.Duration
	// CrowdFraction is the part of requests from one team with one class; CrowdClass is
	// the class's index.
	CrowdFraction      float64
	CrowdClass int
	// SlowedFraction and CrashingFraction are parts of the engines. SlowedFraction ones take SlowFactor
	// times as long in the middle third; crashing ones fail once in it.
	SlowedFraction, SlowFactor, CrashingFraction float64
	// ReportLag is how old load reports are when they arrive.
	ReportLag time.Duration
	// Prefixes is the number of shared prompt prefixes; 0 is none.
	Prefixes int
}

// Workloads is a list of workloads.
type Workloads []Workload

// AllWorkloads returns the workloads.
func AllWorkloads() Workloads {
	const length, lag = 60 * time.Second, 300 * time.Millisecond
	return Workloads{
		{Name: "burst", Load: [3]float64{0.7, 2, 0.7}, Length: length, ReportLag: lag},
		{Name: "overload", Load: [3]float64{2, 2, 2}, Length: length, ReportLag: lag},
		{Name: "crowd", Load: [3]float64{0.7, 2, 0.7}, Length: length, ReportLag: lag, CrowdFraction: 0.65, CrowdClass: 1},
		{Name: "slow", Load: [3]float64{0.7, 0.7, 0.7}, Length: length, ReportLag: lag, SlowedFraction: 0.2, SlowFactor: 4},
		{Name: "crash", Load: [3]float64{0.7, 0.7, 0.7}, Length: length, ReportLag: lag, CrashingFraction: 0.2},
		{Name: "late", Load: [3]float64{0.8, 1.2, 0.8}, Length: length, ReportLag: 4 * time.Second},
		{Name: "prefix", Load: [3]float64{0.8, 1.2, 0.8}, Length: length, ReportLag: lag, Prefixes: 60},
	}
}

// WorkloadByName returns the workload of the name.
//
// Errors: NotFound.
func WorkloadByName(name string) (Workload, error) {
	for _, w := range AllWorkloads() {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, errors.NotFoundf("workload %q", name)
}

// load returns the demand at a time since the start.
func (w *Workload) load(since time.Duration) float64 {
	return w.Load[min(2, int(3*since/w.Length))]
}

// middle returns the middle third.
func (w *Workload) middle() (from, to time.Duration) { return w.Length / 3, w.Length * 2 / 3 }
