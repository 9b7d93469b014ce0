package front

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// Policy is what the settings say of a team's class.
type Policy struct {
	Class call.Class
	Tier  call.Tier
	// Deadline is the time an answer may take; zero is none.
	Deadline   time.Duration
	MaxWait    time.Duration
	ProgressTimeout   time.Duration
	Retention  time.Duration
	RetryShare float64
	Weight     float64
	// FirstTokenTarget and TokenGapTarget are the class's targets; zero is none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// AtMostOnce is true where completions of the class must not run twice.
	AtMostOnce bool
}

// Service is a plain service.
type Service struct {
	Name call.Model
	// Prefix is the path prefix, which the service does not see.
	Prefix string
	// Idempotent holds the methods that may be run again.
	Idempotent []string
	// RemovesDuplicates is true where the service itself runs a key only once.
	RemovesDuplicates bool
}

// Config configures a Server. The function fields are all needed.
type Config struct {
	Zone call.Zone
	// Team returns the team of a bearer key.
	Team func(bearer string) (call.Team, bool)
	// HasSettings reports whether settings are in force; nil is always. Without them
	// no team is known.
	HasSettings func() bool
	// Policy returns what holds for a team's class; an empty class is the team's
	// default. NotFound where the class does not exist.
	Policy func(team call.Team, class call.Class) (Policy, error)
	// Service returns the plain service of a path.
	Service func(path string) (Service, bool)
	// Models returns the models that can be asked for.
	Models func() []call.Model
	// Run runs a job to its end.
	Run func(ctx context.Context, job *runner.Job, sink runner.Sink) runner.Answer
	// Admit and Finish count the requests in progress; Admit refuses on a VM
	// that stops.
	Admit  func() bool
	Finish func()
	// Ready and Serving answer the balancer.
	Ready func() bool
	// Refused counts refusals by their code; nil counts nothing.
	Refused func(code string)
	// Now gives the present time, NewID a new request id.
	Now   func() time.Time
	NewID func() string
	Log   logrus.FieldLogger
	// ExtraHandlers handles paths that are not the callers', such as the operators'.
	ExtraHandlers map[string]http.Handler

	// MaxBodyBytes bounds a request's body, HeaderBytes its header.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout bounds the reading of the header; BodyTimeout is the longest
	// silence while the body is read, WriteTimeout while an answer is written.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// IdleTimeout closes a kept connection without requests.
	IdleTimeout time.Duration
	// StopRetryAfter is what a caller is told whom a stopping VM refuses.
	StopRetryAfter time.Duration
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.HasSettings == nil {
		c.HasSettings = func() bool { return true }
	}
	if c.Refused == nil {
		c.Refused = func(string) {}
	}
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, 8<<20)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, 64<<10)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, 10*time.Second)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, 10*time.Second)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 20*time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 90*time.Second)
	c.StopRetryAfter = cmp.Or(c.StopRetryAfter, time.Second)
}

// Validate checks that all needed fields are there.
func (c *Config) Validate() error {
	switch {
	case c.Team == nil, c.Policy == nil, c.Service == nil, c.Models == nil, c.Run == nil,
		c.Admit == nil, c.Finish == nil, c.Ready == nil, c.Now == nil, c.NewID == nil, c.Log == nil:
		return errors.NotValidf("Config.Validate: a function field is nil")
	case c.MaxBodyBytes < 1, c.MaxHeaderBytes < 1:
		return errors.NotValidf("Config.Validate: BodyBytes or HeaderBytes below 1")
	}
	return nil
}
