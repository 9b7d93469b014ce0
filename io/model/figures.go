package model

import (
	"time"

	"gentianwell/core/call"
)

// ClassFigures are the figures of one class.
type ClassFigures struct {
	Class call.Class `json:"class"`
	Tier  call.Tier  `json:"tier"`
	// Offered counts all requests, Done those with a complete answer, Good those whose
	// complete answer met its targets. Refused, Abandoned and Failed count the others:
	// refused, given up by the caller, or failed in all attempts.
	Offered   int `json:"offered"`
	Done      int `json:"done"`
	Good      int `json:"good"`
	Refused   int `json:"refused"`
	Abandoned int `json:"left"`
	Failed    int `json:"failed"`
	// LateFirst and LateGap count completed requests whose first token or whose mean
	// time between tokens missed its target.
	LateFirst int `json:"lateFirst"`
	LateGap   int `json:"lateGap"`
	// MaxGap is the longest time without a completion while requests arrived.
	MaxGap         time.Duration `json:"maxGap"`
	lastCompletion time.Time
}

// Attainment returns the fraction of the offered requests that were answered within
// their targets.
func (c *ClassFigures) Attainment() float64 { return ratio(c.Good, c.Offered) }

// Figures are the figures of one run.
type Figures struct {
	Policy   Policy         `json:"policy"`
	Workload string         `json:"workload"`
	Site     string         `json:"site"`
	Seed     uint64         `json:"seed"`
	Classes  []ClassFigures `json:"classes"`
	// Tokens counts the generated tokens, Wasted those of attempts that crashed or whose
	// caller gave up.
	Tokens int `json:"tokens"`
	Wasted int `json:"wasted"`
	// OtherTeamsOffered and OtherTeamsGood count requests of all teams but crowdTeam.
	OtherTeamsOffered int `json:"calmOffered"`
	OtherTeamsGood    int `json:"calmGood"`
}

// Goodput returns the number of requests answered within their targets.
func (f *Figures) Goodput() int {
	sum := 0
	for _, c := range f.Classes {
		sum += c.Good
	}
	return sum
}

// WastedShare returns the wasted fraction of the generated tokens.
func (f *Figures) WastedShare() float64 { return ratio(f.Wasted, f.Tokens) }

// OtherTeamsAttainment returns the attainment of all teams but crowdTeam.
func (f *Figures) OtherTeamsAttainment() float64 { return ratio(f.OtherTeamsGood, f.OtherTeamsOffered) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// record records how a request ended.
func (f *Figures) record(r *request, now, end time.Time) {
	for i := range f.Classes {
		if f.Classes[i].Class == r.class.Name {
			f.Classes[i].record(r, now, end)
		}
	}
	if r.call.Team != crowdTeam {
		f.OtherTeamsOffered++
		if r.good() {
			f.OtherTeamsGood++
		}
	}
}

func (c *ClassFigures) record(r *request, now, end time.Time) {
	c.Offered++
	switch r.state {
	case stateDone:
		c.Done++
		c.recordCompletion(now, end)
		if r.first.Sub(r.arrived) > r.class.FirstToken {
			c.LateFirst++
		}
		if r.gap() > r.class.TokenGap {
			c.LateGap++
		}
	case stateRefused:
		c.Refused++
	case stateAbandoned:
		c.Abandoned++
	default:
		c.Failed++
	}
	if r.good() {
		c.Good++
	}
}

// recordCompletion records a completion if requests still arrive.
func (c *ClassFigures) recordCompletion(now, end time.Time) {
	if now.Before(end) {
		c.MaxGap = max(c.MaxGap, now.Sub(c.lastCompletion))
		c.lastCompletion = now
	}
}
