package scale

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gentianwell/core/call"
)

const (
	// meterSamples is the number of answers kept of each class, meterMin the least number that
	// counts, and maxClasses the number of classes.
	meterSamples, meterMin, maxClasses = 32, 8, 64
	// quickShare is the rank of the answer that is taken as one of an idle replica. Up to the
	// permitted use of engine time at least as many find no prompt before them; the quickest are
	// left out, since replicas differ in speed and may hold a whole prompt.
	quickShare = 0.35
	// tokenSpread is the least ratio of two classes' prompt lengths from which the time for each
	// token can be told from the time for each request.
	tokenSpread = 2
	// recentAnswers is how many of the newest answers count for the lateness, recentTime their
	// greatest age.
	recentAnswers, recentTime = 64, 4 * time.Second
)

// Meter estimates the speed of replicas from the times to the first token, and counts late answers.
// It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	classes map[call.Class]*classMeter
	// recent is a ring of the newest answers; answers counts them all.
	recent  [recentAnswers]answer
	answers int
}

type classMeter struct {
	tokens  float64
	stream  bool
	seconds [meterSamples]float64
	n       int
}

type answer struct {
	at   time.Time
	late bool
}

// Answer is the end of a request.
type Answer struct {
	Class call.Class
	// Tokens is the length of the prompt's part that is not shared.
	Tokens int
	// First is the time to the first token or, if Stream is false, to the whole answer; zero if it
	// says nothing of the replica.
	First  time.Duration
	Stream bool
	// Late is true for an answer after its target and for a refusal for lack of capacity.
	Late bool
}

// Add records the end of a request.
func (m *Meter) Add(now time.Time, a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent[m.answers%recentAnswers] = answer{at: now, late: a.Late}
	m.answers++
	if a.First <= 0 || a.Tokens <= 0 {
		return
	}
	c := m.classes[a.Class]
	if c == nil {
		if m.classes == nil {
			m.classes = map[call.Class]*classMeter{}
		}
		if len(m.classes) >= maxClasses {
			return
		}
		c = &classMeter{tokens: float64(a.Tokens), stream: a.Stream}
		m.classes[a.Class] = c
	}
	c.tokens += 0.1 * (float64(a.Tokens) - c.tokens)
	c.seconds[c.n%meterSamples] = a.First.Seconds()
	c.n++
}

// Late returns the number of recent answers, and how many of them were late.
func (m *Meter) Late(now time.Time) (answers, late int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range min(m.answers, recentAnswers) {
		if a := m.recent[i]; now.Sub(a.at) <= recentTime {
			answers++
			if a.late {
				late++
			}
		}
	}
	return answers, late
}

// PerSecond returns the rate of the recent answers.
func (m *Meter) PerSecond(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, oldest := 0, now
	for i := range min(m.answers, recentAnswers) {
		if a := m.recent[i]; now.Sub(a.at) <= recentTime {
			n++
			if a.at.Before(oldest) {
				oldest = a.at
			}
		}
	}
	// A full ring covers the time since its oldest answer only.
	if n == recentAnswers {
		return float64(n) / max(now.Sub(oldest).Seconds(), 0.001)
	}
	return float64(n) / recentTime.Seconds()
}

// Speed returns the estimate, which is zero while too little is known. If there are streams, only
// these count: the time to a whole answer is not that of reading alone. If the prompts of all classes
// are of similar length, all time counts as reading.
func (m *Meter) Speed() Speed {
	m.mu.Lock()
	defer m.mu.Unlock()
	type point struct{ tokens, seconds float64 }
	var points []point
	streams := false
	for _, c := range m.classes {
		streams = streams || c.stream && c.n >= meterMin
	}
	for _, c := range m.classes {
		if c.n >= meterMin && (c.stream || !streams) {
			points = append(points, point{c.tokens, c.quick()})
		}
	}
	if len(points) == 0 {
		return Speed{}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.tokens, b.tokens) })
	short, long := points[0], points[len(points)-1]
	perToken, base := long.seconds/max(1, long.tokens), 0.0
	if long.tokens >= tokenSpread*short.tokens && long.seconds > short.seconds {
		perToken = (long.seconds - short.seconds) / (long.tokens - short.tokens)
		base = max(0, short.seconds-perToken*short.tokens)
	}
	return Speed{Base: seconds(base), PerToken: max(1, seconds(perToken))}
}

// quick returns the time to the first token at a replica that is idle.
func (c *classMeter) quick() float64 {
	n := min(c.n, meterSamples)
	sorted := slices.Clone(c.seconds[:n])
	slices.Sort(sorted)
	return sorted[int(quickShare*float64(n))]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
