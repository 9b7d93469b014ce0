package proxy

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/fair"
	"gentianwell/core/origin"
	"gentianwell/core/outbox"
	"gentianwell/core/poison"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/table"
	"gentianwell/io/back"
)

// The defaults of Config.
const (
	// defaultMaxRetryAfter is a second because the reasons for a refusal pass within
	// about that time.
	defaultMaxRetryAfter = time.Second
	// defaultMaxBusyRetryAfter is about half the length of a usual burst of requests.
	defaultMaxBusyRetryAfter = 3 * time.Second
	defaultMaxSends          = 4
	// defaultRetryShare limits retries to a tenth of the requests.
	defaultRetryShare = 0.1
	// defaultTimeout limits a request if the caller gives no timeout. A shorter
	// timeout of the route still holds.
	defaultTimeout          = time.Minute
	defaultBusyWaitFraction = 0.5
	// defaultStreamWaitFraction is smaller because streams hold their slots for
	// seconds: a caller refused early can still retry in time.
	defaultStreamWaitFraction = 0.12
)

// Config configures a Server. Fields without a default are required.
type Config struct {
	Headers HeaderCodec
	// Zone is the availability zone of this VM.
	Zone call.Zone
	// Table returns the routing table in force, or nil if there is none yet.
	Table func() *table.Table
	// TableIsCurrent reports whether the table is known to be the newest. Only then is
	// an unknown key or path refused with 401 or 404; otherwise the caller gets 503 and
	// may retry. The default always returns true.
	TableIsCurrent func() bool
	Router         *route.Router
	Retry          *retry.Policy
	// Open sends one attempt and reads the response header.
	Open func(context.Context, back.Target, back.Request) (*back.Exchange, back.Result, error)
	// Admit and Finish count the requests in progress, until their response was sent;
	// Admit returns false if the VM no longer takes requests. Stopping is true from the
	// start of a shutdown.
	Admit    func() bool
	Finish   func()
	Stopping func() bool
	// Ended is done when the requests in progress have to end. The default never is.
	Ended context.Context
	// Random returns a random number in [0, 1).
	Random func() float64
	Now    func() time.Time
	Log    logrus.FieldLogger
	// Observe is called with each finished request. It may be nil.
	Observe func(RequestStats)
	// Forbids returns why a request with a fingerprint and parts of its prompt must not be
	// sent to a replica; empty if it may, until a replica may have run it. If a trial of its
	// refused parts is due, claim makes the request the trial, or returns false if another
	// one has become it. It is to be called once a place at a replica has been taken, and
	// may take some tenths of a second. By default, any request may be sent.
	Forbids func(request poison.Fingerprint, parts []poison.Fingerprint) (reason Reason, claim func() bool)
	// HasCrashed reports whether a replica refuses connections. It is asked at the end of
	// a response that only the end of its connection delimits. By default, none has crashed.
	HasCrashed func(back.Target) bool
	// RunLost is called when the connection to a replica was lost, or nobody waited for its
	// response any more, while the replica may have been running a request, RunCompleted when a replica has completed a request.
	// Both must return at once; they may be nil.
	RunLost      func(LostRun)
	RunCompleted func(request poison.Fingerprint, parts []poison.Fingerprint)
	// Fair decides whether a team's request may wait for a replica while capacity is short. It is not
	// asked about requests without a team. Nil divides nothing between teams.
	Fair *fair.Fair
	// ObserveShare is called with each decision of Fair. It may be nil.
	ObserveShare func(fair.Verdict)
	// RunStarted is called once for a request of a team, when the first response arrives that shows
	// that a replica has begun to run it: the first event of a stream that the caller does not take
	// up, otherwise the header. It must return at once. It may be nil.
	RunStarted func(call.Team)
	// Replaced is called when another replica has answered at the address of a replica. It must
	// return at once. It may be nil.
	Replaced func(replica call.ReplicaID)
	// Answered is called with the header of each response that belongs to its request and is of
	// the replica, and with what a response without an id says of the replica itself; sent is
	// when the request was sent to it. It must return at once. It may be nil.
	Answered func(replica call.ReplicaID, sent time.Time, info ResponseInfo)
	// StreamBegins is called with the header of the answer with which a stream begins that may be
	// resumed, before any event is forwarded.
	// The result tells when the version is known to all VMs, or that it never will be, and is nil
	// if there is nothing to wait for. By default there is not.
	StreamBegins func(StreamStart) *outbox.Wait
	// StreamMayBegin reports whether a stream may begin at a version although that has not become
	// known in time. By default it may.
	StreamMayBegin func(service call.Model, version call.Version) bool
	// StreamOrigin returns the service and the version at which a team's request began a stream
	// that a caller takes up; the version is empty if any may go on with it. By default any may.
	StreamOrigin func(ctx context.Context, team call.Team, service call.Model, request string) (origin.Stream, error)
	// StreamPrefers returns the version at which a stream that may be resumed should begin if one
	// of its replicas has room; empty if any will do, which is the default. With only, it must not
	// begin at another one.
	StreamPrefers func(service call.Model) (preferred call.Version, only bool)
	// MaxRetryAfter is the longest time that a refused caller is told to wait,
	// MaxBusyRetryAfter the same for a caller refused because replicas are full or refused
	// the request.
	MaxRetryAfter     time.Duration
	MaxBusyRetryAfter time.Duration
	// MaxBodyMemory limits the sum of the bodies of all requests in progress, in bytes; a
	// request whose body does not fit gets 503. Zero means no limit.
	MaxBodyMemory int64
	// MaxSends limits how often one request is sent, including attempts that a
	// replica refused.
	MaxSends int
	// BusyWaitFraction is the longest time that a request waits for a free slot on a
	// replica, as a fraction of the route's target; StreamWaitFraction is the same for
	// streams.
	BusyWaitFraction   float64
	StreamWaitFraction float64
	// RetryShare returns the fraction of a retry that each request adds to the retry
	// budget.
	RetryShare func() float64
}

// Defaults sets unset fields to their defaults.
func (c *Config) Defaults() {
	if c.MaxRetryAfter == 0 {
		c.MaxRetryAfter = defaultMaxRetryAfter
	}
	if c.MaxBusyRetryAfter == 0 {
		c.MaxBusyRetryAfter = defaultMaxBusyRetryAfter
	}
	if c.MaxSends == 0 {
		c.MaxSends = defaultMaxSends
	}
	if c.BusyWaitFraction == 0 {
		c.BusyWaitFraction = defaultBusyWaitFraction
	}
	if c.StreamWaitFraction == 0 {
		c.StreamWaitFraction = defaultStreamWaitFraction
	}
	if c.Observe == nil {
		c.Observe = func(RequestStats) {}
	}
	if c.Forbids == nil {
		c.Forbids = func(poison.Fingerprint, []poison.Fingerprint) (Reason, func() bool) { return "", nil }
	}
	if c.HasCrashed == nil {
		c.HasCrashed = func(back.Target) bool { return false }
	}
	if c.RunLost == nil {
		c.RunLost = func(LostRun) {}
	}
	if c.RunCompleted == nil {
		c.RunCompleted = func(poison.Fingerprint, []poison.Fingerprint) {}
	}
	if c.Replaced == nil {
		c.Replaced = func(call.ReplicaID) {}
	}
	if c.Answered == nil {
		c.Answered = func(call.ReplicaID, time.Time, ResponseInfo) {}
	}
	if c.ObserveShare == nil {
		c.ObserveShare = func(fair.Verdict) {}
	}
	if c.RunStarted == nil {
		c.RunStarted = func(call.Team) {}
	}
	if c.StreamBegins == nil {
		c.StreamBegins = func(StreamStart) *outbox.Wait { return nil }
	}
	if c.StreamMayBegin == nil {
		c.StreamMayBegin = func(call.Model, call.Version) bool { return true }
	}
	if c.StreamOrigin == nil {
		c.StreamOrigin = func(_ context.Context, _ call.Team, service call.Model, _ string) (origin.Stream, error) {
			return origin.Stream{Service: service}, nil
		}
	}
	if c.StreamPrefers == nil {
		c.StreamPrefers = func(call.Model) (call.Version, bool) { return "", false }
	}
	if c.RetryShare == nil {
		c.RetryShare = func() float64 { return defaultRetryShare }
	}
	if c.Ended == nil {
		c.Ended = context.Background()
	}
	if c.TableIsCurrent == nil {
		c.TableIsCurrent = func() bool { return true }
	}
}

// Validate checks the config, with defaults applied.
//
// Errors: NotValid, with the field.
func (c *Config) Validate() error {
	switch {
	case c.Headers.ReadRequest == nil, c.Headers.WriteRequest == nil, c.Headers.ReadResponse == nil, c.Headers.CleanResponse == nil:
		return errors.NotValidf("Config.Validate: nil function in Headers (ReadRequest, WriteRequest, ReadResponse and CleanResponse are required)")
	case c.Table == nil, c.Router == nil, c.Retry == nil, c.Open == nil, c.Admit == nil, c.Finish == nil,
		c.Stopping == nil, c.Random == nil, c.Now == nil, c.Log == nil:
		return errors.NotValidf("Config.Validate: nil field (Table, Router, Retry, Open, Admit, Finish, Stopping, Random, Now and Log are required)")
	case c.MaxBodyMemory < 0:
		return errors.NotValidf("Config.Validate: MaxBodyMemory %d (must not be negative)", c.MaxBodyMemory)
	case c.MaxRetryAfter < 0 || c.MaxSends < 1 || c.BusyWaitFraction < 0 || c.StreamWaitFraction < 0:
		return errors.NotValidf("Config.Validate: MaxRetryAfter %s, MaxSends %d, BusyWaitFraction %g, StreamWaitFraction %g (MaxSends at least 1, the others not negative)",
			c.MaxRetryAfter, c.MaxSends, c.BusyWaitFraction, c.StreamWaitFraction)
	}
	return nil
}
