// Package drain implements the graceful shutdown of a VM, which does not interrupt
// requests in progress.
//
// A planned stop has phases. First the VM reports that it is not ready and still
// accepts requests until the load balancer and its peers have noticed. Then it
// refuses new requests as not run and finishes those in progress, however long
// that takes. Then it may exit. Only a forced stop or a configured limit ends the
// stop sooner.
//
// # Usage
//
//	m := drain.New(drain.Config{Notice: 5 * time.Second})
//	m.Start(now)
//	if !m.Admit(now) { refuse() }
//	for m.Advance(now) != drain.PhaseStopped { wait() }
//
// A Machine is safe for concurrent use.
package drain

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// Phase is a phase of a planned stop.
type Phase string

// The phases. In PhaseNotice the VM is not ready but still accepts requests; in
// PhaseFinish it refuses new ones; in PhaseStopped it may exit.
const (
	PhaseServing Phase = "serving"
	PhaseNotice  Phase = "notice"
	PhaseFinish  Phase = "finish"
	PhaseStopped Phase = "stopped"
)

// Ending is the reason why a stop has ended.
type Ending string

// The endings. EndingForced and EndingLimit may interrupt requests in progress.
const (
	EndingNone   Ending = ""
	EndingDone   Ending = "allFinished"
	EndingForced Ending = "forced"
	EndingLimit  Ending = "limit"
)

// Config configures a Machine.
type Config struct {
	// Notice is how long the VM still accepts requests, so that the load balancer
	// and the peers notice that it is not ready.
	Notice time.Duration
	// Limit is the maximum duration of a stop; zero means no limit.
	Limit time.Duration
}

// Defaults sets Notice to its default if it is zero. Limit has no default.
func (c *Config) Defaults() {
	if c.Notice == 0 {
		c.Notice = 5 * time.Second
	}
}

// Validate checks the configuration.
//
// Errors: NotValid, with the fields.
func (c *Config) Validate() error {
	if c.Notice < 0 || c.Limit < 0 {
		return errors.NotValidf("Config.Validate: Notice %s, Limit %s (each at least 0)", c.Notice, c.Limit)
	}
	return nil
}

// Machine is the state machine of a planned stop. It counts the requests in
// progress.
type Machine struct {
	mu       sync.Mutex
	c        Config
	phase    Phase
	ending   Ending
	started  time.Time
	inFlight int
}

// New returns a machine in PhaseServing. It panics if the configuration is not
// valid, which is a programming error.
func New(c Config) *Machine {
	c.Defaults()
	if err := c.Validate(); err != nil {
		panic(errors.ErrorStack(err))
	}
	return &Machine{c: c, phase: PhaseServing}
}

// SetLimit changes the maximum duration of a stop; zero or less means no limit.
func (m *Machine) SetLimit(limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.Limit = max(limit, 0)
}

// Start begins a planned stop. Further calls have no effect.
func (m *Machine) Start(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == PhaseServing {
		m.phase, m.started = PhaseNotice, now
	}
}

// Force ends the stop at once and returns the number of requests in progress, which
// it interrupts.
func (m *Machine) Force() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != PhaseStopped {
		m.phase, m.ending = PhaseStopped, EndingForced
	}
	return m.inFlight
}

// Admit reports whether a request that arrives at now may start. If so, the request
// is in progress until Finish is called.
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

// Finish ends one request that Admit accepted.
func (m *Machine) Finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
}

// Ready reports whether the VM is ready for requests: no stop has begun.
func (m *Machine) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase == PhaseServing
}

// Advance updates the phase for the time now and returns it.
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

// Status is the state of a machine as shown to operators.
type Status struct {
	Phase    Phase  `json:"phase"`
	Ending   Ending `json:"ending,omitempty"`
	InFlight int    `json:"inFlight"`
}

// Status returns the current status.
func (m *Machine) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Phase: m.phase, Ending: m.ending, InFlight: m.inFlight}
}
