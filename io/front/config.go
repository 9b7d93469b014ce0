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

// Policy holds the settings that apply to a class of a team.
type Policy struct {
	Class call.Class
	Tier  call.Tier
	// Deadline is the time an answer may take; zero means no limit.
	Deadline time.Duration
	// MaxWait, ProgressTimeout, Retention, RetryShare and Weight set the fields of
	// the same name of runner.Job.
	MaxWait         time.Duration
	ProgressTimeout time.Duration
	Retention       time.Duration
	RetryShare      float64
	Weight          float64
	// FirstTokenTarget and TokenGapTarget are the latency targets of the class; zero
	// means none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// AtMostOnce is true if completions of the class must not run a second time.
	AtMostOnce bool
}

// Service describes a plain service.
type Service struct {
	Name call.Model
	// Prefix is the path prefix; it is removed before the request is sent to the
	// service.
	Prefix string
	// Idempotent lists the HTTP methods whose requests may be run again.
	Idempotent []string
	// RemovesDuplicates is true if the service itself runs requests with the same
	// key only once.
	RemovesDuplicates bool
}

// Config configures a Server. Log and all function fields except HasSettings and
// Refused are required.
type Config struct {
	Zone call.Zone
	// Team returns the team that a bearer key belongs to.
	Team func(bearer string) (call.Team, bool)
	// HasSettings reports whether settings are in force; nil means that they always
	// are. Without settings no team is known.
	HasSettings func() bool
	// Policy returns the policy for a team's class; an empty class means the team's
	// default. The error is NotFound if the class does not exist.
	Policy func(team call.Team, class call.Class) (Policy, error)
	// Service returns the service that handles a path.
	Service func(path string) (Service, bool)
	// Models returns the models that callers may request.
	Models func() []call.Model
	// Run runs a job and returns when it has ended.
	Run func(ctx context.Context, job *runner.Job, sink runner.Sink) runner.Answer
	// Admit and Finish count the requests in progress. Admit returns false if the VM
	// is stopping.
	Admit  func() bool
	Finish func()
	// Ready reports whether the load balancer may send requests to this VM.
	Ready func() bool
	// Refused counts error responses by their code; may be nil.
	Refused func(code string)
	// Now returns the current time, NewID a new request ID.
	Now   func() time.Time
	NewID func() string
	Log   logrus.FieldLogger
	// ExtraHandlers holds handlers by path for requests that do not come from callers,
	// such as those of operators.
	ExtraHandlers map[string]http.Handler

	// MaxBodyBytes limits the size of a request's body, MaxHeaderBytes that of its
	// header.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read the header. BodyTimeout limits each read
	// of the body, WriteTimeout each write of a part of an answer.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// IdleTimeout is how long a connection is kept open without requests.
	IdleTimeout time.Duration
	// StopRetryAfter is the delay to suggest to a caller that is refused because the
	// VM is stopping.
	StopRetryAfter time.Duration
}

// Defaults sets unset fields to their defaults.
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

// Validate checks a config whose defaults are filled in.
//
// Errors: NotValid.
func (c *Config) Validate() error {
	switch {
	case c.Team == nil, c.Policy == nil, c.Service == nil, c.Models == nil, c.Run == nil,
		c.Admit == nil, c.Finish == nil, c.Ready == nil, c.Now == nil, c.NewID == nil, c.Log == nil:
		return errors.NotValidf("Config.Validate: Team, Policy, Service, Models, Run, Admit, Finish, Ready, Now, NewID or Log is nil, all are required")
	case c.MaxBodyBytes < 1, c.MaxHeaderBytes < 1:
		return errors.NotValidf("Config.Validate: MaxBodyBytes %d or MaxHeaderBytes %d, allowed at least 1", c.MaxBodyBytes, c.MaxHeaderBytes)
	}
	return nil
}
