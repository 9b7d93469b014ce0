package runner

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Kind is the kind of backend server that a job is for.
type Kind string

// The kinds: a model engine, a plain service.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Job is one request to be sent to a backend server.
type Job struct {
	Call call.Call
	Kind Kind
	// Method, Path (with query), Header and Body form the backend server's request.
	// The Runner adds headers, and adapts the body for an engine.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Stream is true if the caller asked for a streamed answer.
	Stream bool
	// AtMostOnce is true if the request must not run a second time. With a key in
	// Call.Key, repeats on any VM get the recorded answer.
	AtMostOnce bool
	// FirstAttempt is true if the caller states that it has not sent the request
	// before.
	FirstAttempt bool
	// Retention is how long a claim is kept, MaxWait the longest time in the
	// queue, ProgressTimeout the longest time without a byte from a backend server.
	Retention       time.Duration
	MaxWait         time.Duration
	ProgressTimeout time.Duration
	// RetryShare is the fraction of a retry that the job's first attempt adds to the
	// retry budgets. Weight is the weight of its team's share in the queue; zero counts
	// as 1.
	RetryShare float64
	Weight     float64
	// FirstTokenTarget and TokenGapTarget are the latency targets of the class; zero
	// means none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
}

// Sink receives the response of a job. Its functions are called by one goroutine at a
// time. An error means that the caller has disconnected.
type Sink struct {
	// Start is called once, before the first Write, with the answer's status and
	// header.
	Start func(status int, header http.Header) error
	// Write writes a part of the body, which must be sent to the caller at once.
	Write func(part []byte) error
}

// Answer describes how a job ended.
type Answer struct {
	Outcome call.Outcome
	// Started is true if the sink's Start was called. Of the other fields, only Failed
	// then matters to the caller of Run; the rest is for the log.
	Started bool
	// Failed is true if the response was started but is incomplete.
	Failed bool
	// Status is the HTTP status of the refusal or failure, 0 if there is none. Reason
	// says why the job ended, also if it succeeded.
	Status  int
	Reason  Reason
	Message string
	// RetryAfter is the delay to suggest for a retry; zero if the caller should not
	// retry.
	RetryAfter time.Duration
	// Replica is the replica of the last attempt; empty if the job was refused or
	// answered with a recorded outcome.
	Replica call.ReplicaID
}

// ErrStopping is the cause with which a job's context is canceled when the VM is forced
// to stop, so that the caller is told the reason.
const ErrStopping = errors.ConstError("the VM stops")

// Reason is the reason why a job ended.
type Reason string

// The reasons. A job that the queue refuses has the value of a sched.Reason instead.
const (
	ReasonDone             Reason = "done"
	ReasonNoReplica        Reason = "noReplica"
	ReasonLimit            Reason = "limit"
	ReasonSuspect          Reason = "crashedBackendServers"
	ReasonKeyReused        Reason = "keyUsedForAnotherBody"
	ReasonInProgress       Reason = "inProgress"
	ReasonNoClaim          Reason = "claimNotPossible"
	ReasonBadRequest       Reason = "badRequest"
	ReasonBackendFailed    Reason = "backendServerFailed"
	ReasonIncomplete       Reason = "answerNotWhole"
	ReasonReplayed         Reason = "replayed"
	ReasonAnswerNotStored  Reason = "answerNotKept"
	ReasonCallerGone       Reason = "callerGone"
	ReasonDeadline         Reason = "deadline"
	ReasonStopping         Reason = "stopping"
	ReasonRefusedByBackend Reason = "refusedByBackendServer"
)
