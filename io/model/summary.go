package model

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Targets is the text of what PolicyTiers is to reach. It is printed before any figure.
const Targets = `Targets for the policy "tiers":
  overload and burst at twice the capacity: attainment of tier 0 at least 99 %
  every class completes work: no gap between completions above its tier's stated wait
  goodput above every plain policy in each workload
  wasted tokens below 0.5 %, where engines crash below 2 %
Each cell: mean over the seeds (least to greatest).
`

// Spread is a mean with its least and greatest value.
type Spread struct {
	Mean, Least, Greatest float64
}

func spreadOf(values []float64) Spread {
	s := Spread{Least: slices.Min(values), Greatest: slices.Max(values)}
	for _, v := range values {
		s.Mean += v / float64(len(values))
	}
	return s
}

// Times returns the spread with each value multiplied by a factor.
func (s Spread) Times(factor float64) Spread {
	return Spread{Mean: s.Mean * factor, Least: s.Least * factor, Greatest: s.Greatest * factor}
}

// percent formats a spread of fractions in percent.
func (s Spread) percent() string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", 100*s.Mean, 100*s.Least, 100*s.Greatest)
}

func (s Spread) whole() string { return fmt.Sprintf("%.0f (%.0f-%.0f)", s.Mean, s.Least, s.Greatest) }

// ClassSummary summarizes one class over several runs.
type ClassSummary struct {
	Attainment Spread
	MaxGap     time.Duration
}

// Summary summarizes one policy over several runs.
type Summary struct {
	Policy          Policy
	Goodput, Wasted Spread
	OtherTeams      Spread
	Classes         []ClassSummary
}

// Summaries is a list of summaries.
type Summaries []Summary

// Summarize summarizes runs, at least one, that differ only in their seeds.
func Summarize(runs []*Figures) Summary {
	s := Summary{Policy: runs[0].Policy}
	s.Goodput = spreadOver(runs, func(f *Figures) float64 { return float64(f.Goodput()) })
	s.Wasted = spreadOver(runs, (*Figures).WastedShare)
	s.OtherTeams = spreadOver(runs, (*Figures).OtherTeamsAttainment)
	for i := range runs[0].Classes {
		class := ClassSummary{Attainment: spreadOver(runs, func(f *Figures) float64 { return f.Classes[i].Attainment() })}
		for _, f := range runs {
			class.MaxGap = max(class.MaxGap, f.Classes[i].MaxGap)
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

func spreadOver(runs []*Figures, value func(*Figures) float64) Spread {
	var values []float64
	for _, f := range runs {
		values = append(values, value(f))
	}
	return spreadOf(values)
}

// Table formats one line for each policy: goodput in requests, wasted tokens, attainment
// of the teams but crowdTeam and of each class in percent, and for each class the
// longest time without a completion.
func (s Summaries) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "policy\tgoodput\twasted %\tcalm teams %")
	for _, c := range classes() {
		fmt.Fprintf(w, "\t%s (tier %d) %%\tgap", c.Name, c.Tier)
	}
	fmt.Fprintln(w)
	for _, line := range s {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", line.Policy, line.Goodput.whole(), line.Wasted.percent(), line.OtherTeams.percent())
		for _, c := range line.Classes {
			fmt.Fprintf(w, "\t%s\t%.1fs", c.Attainment.percent(), c.MaxGap.Seconds())
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err.Error()
	}
	return b.String()
}
