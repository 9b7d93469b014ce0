// Package drain decides how a VM stops without cutting a request in progress.
//
// A planned stop has phases: first the VM says that it is not ready and goes on
// taking requests until the balancer and its peers have noticed; then it refuses
// new requests as not run and finishes what it has, however long that takes;
// then it may exit. Only a forced stop or a configured limit ends it sooner.
//
// # Usage
//
//	m := drain.New(drain.Config{Notice: 5 * time.Second})
//	m.Start(now)
//	if !m.Admit(now) { refuse() }
//	for m.Advance(now) != drain.PhaseStopped { wait() }
//
// A Machine may be used by several goroutines.
package drain

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// Phase is a phase of a planned stop.
type Phase string

// The phases. In PhaseNotice the VM is not ready but still takes requests; in
// PhaseFinish it refuses new ones; in PhaseStopped it may exit.
const (
	PhaseServing Phase = "serving"
	PhaseNotice  Phase = "notice"
	PhaseFinish  Phase = "finish"
	PhaseStopped Phase = "stopped"
)

// Ending tells why a stop is over.
type Ending string

// The endings. The last two may cut requests in progress.
const (
	EndingNone   Ending = ""
	EndingDone   Ending = "allFinished"
	EndingForced Ending = "forced"
	EndingLimit  Ending = "limit"
)

// Config configures a Machine.
type Config struct {
	// Notice is how long the balancer and the peers get to notice.
	Notice time.Duration
	// Limit is the longest that a stop may take; zero is no limit.
	Limit time.Duration
}

// Defaults fills in the fields left zero, but for Limit.
func (c *Config) Defaults() {
	if c.Notice == 0 {
		c.Notice = 5 * time.Second
	}
}

// Validate checks the configuration.
func (c *Config) Validate() error {
	if c.Notice < 0 || c.Limit < 0 {
		return errors.NotValidf("Config.Validate: negative Notice or Limit")
	}
	return nil
}

// Machine keeps the phase and the number of requests in progress.
type Machine struct {
	mu       sync.Mutex
	c        Config
	phase    Phase
	ending   Ending
	started  time.Time
	inFlight int
}

// New returns a machine that serves. It panics on a configuration that is not
// valid, which is a programming mistake.
func New(c Config) *Machine {
	c.Defaults()
	if err := c.Validate(); err != nil {
		panic(errors.ErrorStack(err))
	}
	return &Machine{c: c, phase: PhaseServing}
}

// SetLimit changes the longest that a stop may take; zero is no limit.
func (m *Machine) SetLimit(limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.Limit = max(limit, 0)
}

// Start begins a planned stop; a second call changes nothing.
func (m *Machine) Start(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == PhaseServing {
		m.phase, m.started = PhaseNotice, now
	}
}

// Force ends the stop at once and returns the number of requests that it cuts.
func (m *Machine) Force() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != PhaseStopped {
		m.phase, m.ending = PhaseStopped, EndingForced
	}
	return m.inFlight
}

// Admit reports whether a request that arrives at now may start; if so, it
// counts as in progress until Finish is called.
func (m *Machine) Admit(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	if m.phase != PhaseServing && m.phase != PhaseNotice {
		return false
	}
	m.inFlight++
	return true
}

// Finish ends one request that Admit let in.
func (m *Machine) Finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
}

// Ready reports whether the VM asks for requests.
func (m *Machine) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase == PhaseServing
}

// Advance moves on by time and returns the phase.
func (m *Machine) Advance(now time.Time) Phase {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return m.phase
}

func (m *Machine) advance(now time.Time) {
	if m.phase == PhaseNotice && now.Sub(m.started) >= m.c.Notice {
		m.phase = PhaseFinish
	}
	if m.phase != PhaseFinish {
		return
	}
	switch {
	case m.inFlight == 0:
		m.phase, m.ending = PhaseStopped, EndingDone
	case m.c.Limit > 0 && now.Sub(m.started) >= m.c.Limit:
		m.phase, m.ending = PhaseStopped, EndingLimit
	}
}

// Status is what an operator sees of a machine.
type Status struct {
	Phase    Phase  `json:"phase"`
	Ending   Ending `json:"ending,omitempty"`
	InFlight int    `json:"inFlight"`
}

// Status returns the present status.
func (m *Machine) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Phase: m.phase, Ending: m.ending, InFlight: m.inFlight}
}
