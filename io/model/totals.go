package model

import (
	"fmt"
	"slices"
	"strings"

	"gentianwell/core/call"
)

// KindTotals counts the outcomes of the calls of one kind.
type KindTotals struct {
	Offered, OnTime, Late, Refused, Abandoned int
	// PossibleWorth is the worth of all calls if each were answered on time,
	// EarnedWorth the worth of the answers as they came.
	PossibleWorth, EarnedWorth float64
}

// EarnedShare returns the earned fraction of the possible worth.
func (k KindTotals) EarnedShare() float64 { return k.EarnedWorth / max(k.PossibleWorth, 1e-9) }

// Totals is the outcome of a simulated deployment.
type Totals struct {
	Kinds map[call.Class]*KindTotals
	// ReadTokens counts the prompt tokens read, RereadTokens those of shared parts that
	// some engine had used less than reuseWindow before. Preempted counts preemptions.
	ReadTokens, RereadTokens int
	Preempted                int
	// Sent counts the sends to engines, OtherZone those to another zone than the VM's, ByTime
	// those that were decided by expected times.
	Sent, OtherZone, ByTime int
	// Peak is the mean over all PeakWindows of the greatest number of sends to one engine, as a
	// multiple of the mean number. It shows whether VMs that decide alone send to the same one.
	Peak        float64
	PeakWindows int
}

// EarnedShare returns the earned fraction of the possible worth of all kinds.
func (t *Totals) EarnedShare() float64 {
	var all KindTotals
	for _, k := range t.Kinds {
		all.PossibleWorth += k.PossibleWorth
		all.EarnedWorth += k.EarnedWorth
	}
	return all.EarnedShare()
}

// String returns a line for the whole and one for each kind.
func (t *Totals) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "worth %.3f, read %.1f M, again %.1f M, preempted %d, other zone %.2f, by time %.2f, peak %.1f\n", t.EarnedShare(), float64(t.ReadTokens)/1e6, float64(t.RereadTokens)/1e6, t.Preempted,
		float64(t.OtherZone)/float64(max(1, t.Sent)), float64(t.ByTime)/float64(max(1, t.Sent)), t.Peak)
	var names []call.Class
	for name := range t.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		k := t.Kinds[name]
		fmt.Fprintf(&b, "  %-16s %.3f of %6d: on time %6d, late %5d, refused %5d, given up %5d\n", name, k.EarnedShare(), k.Offered, k.OnTime, k.Late, k.Refused, k.Abandoned)
	}
	return b.String()
}
