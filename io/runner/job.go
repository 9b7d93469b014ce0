package runner

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Kind tells what kind of backend server a job is for.
type Kind string

// The kinds: a model engine, a plain service.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Job is one request on its way to a backend server.
type Job struct {
	Call call.Call
	Kind Kind
	// Method, Path (with query), Header and Body are what the backend server gets.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Stream is true where the caller wants a streamed answer.
	Stream bool
	// AtMostOnce is true where the request must not be run a second time. With
	// a key in Call.Key, repeats on any VM get the recorded answer.
	AtMostOnce bool
	// FirstAttempt is true where the caller says that it has not sent the request
	// before.
	FirstAttempt bool
	// Retention is how long a claim is kept, MaxWait the longest time in the
	// queue, Progress the longest silence of a backend server.
	Retention       time.Duration
	MaxWait         time.Duration
	ProgressTimeout time.Duration
	// RetryShare is how many retries the job's first attempt pays for, Weight its
	// team's share in the queue (zero counts as 1).
	RetryShare float64
	Weight     float64
	// FirstTokenTarget and TokenGapTarget are the class's targets; zero is none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
}

// Sink takes the answer to a job. Each function is called by one goroutine at a
// time. An error means that the caller is gone.
type Sink struct {
	// Start is called once, before the first Write, with the answer's status and
	// header.
	Start func(status int, header http.Header) error
	// Write passes on a part of the body, to be sent at once.
	Write func(part []byte) error
}

// Answer is how a job ended.
type Answer struct {
	Outcome call.Outcome
	// Started is true where the sink has got a status; the rest is then for the
	// log, but for Failed.
	Started bool
	// Failed is true where the answer is not whole: it ends in an error.
	Failed bool
	// Status and Reason are the refusal or failure; Status 0 is none.
	Status  int
	Reason  Reason
	Message string
	// RetryAfter is when asking again makes sense; zero where it does not.
	RetryAfter time.Duration
	// Replica ran the request; empty if none did.
	Replica call.ReplicaID
}

// ErrStopping is the cause with which the context of a job ends where the VM is
// forced to stop, so that the caller is told.
const ErrStopping = errors.ConstError("the VM stops")

// Reason says why a job was refused or failed.
type Reason string

// The reasons. The ones of queueing are the scheduler's own words.
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
