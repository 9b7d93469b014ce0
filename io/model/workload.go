package model

import (
	"time"

	"github.com/juju/errors"
)

// Workload is the load of a run and the faults of the engines.
type Workload struct {
	Name string
	// Load is the demand as a multiple of the engines' capacity, in each third of
	// Length.
	Load [3]float64
	// Length is how long requests arrive.
	Length time.Duration
	// CrowdFraction is the fraction of the requests that comes from one more team, all
	// of one class; CrowdClass is the index of that class.
	CrowdFraction float64
	CrowdClass    int
	// SlowedFraction is the fraction of the engines whose steps take SlowFactor times as
	// long in the middle third, CrashingFraction that of engines that crash once in it.
	SlowedFraction, SlowFactor, CrashingFraction float64
	// ReportLag is the age of load reports when they arrive.
	ReportLag time.Duration
	// Prefixes is the number of shared prompt prefixes, one of which each prompt begins
	// with; 0 is none.
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

// WorkloadByName returns the workload with the given name.
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

// load returns the demand at the given time after the start.
func (w *Workload) load(since time.Duration) float64 {
	return w.Load[min(2, int(3*since/w.Length))]
}

// middle returns the middle third of the workload.
func (w *Workload) middle() (from, to time.Duration) { return w.Length / 3, w.Length * 2 / 3 }
