package front

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/io/admit"
)

// identify sets the request's team according to its bearer key.
func (s *Server) identify(r *request) *ErrorResponse {
	if !s.c.HasSettings() {
		return noSettings()
	}
	bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		r.team, ok = s.c.Team(bearer)
	}
	if !ok {
		return &ErrorResponse{
			Status: http.StatusUnauthorized, Type: ErrorTypeAuthentication, Code: "invalid_api_key",
			Message: "the bearer key is missing or belongs to no team", Outcome: call.OutcomeNotRun,
		}
	}
	return nil
}

// policy returns the policy for the request's class.
func (s *Server) policy(r *request) (Policy, *ErrorResponse) {
	p, err := s.c.Policy(r.team, call.Class(r.Header.Get(HeaderClass)))
	if errors.Is(err, errors.NotFound) {
		return Policy{}, invalidRequest("unknown_class", unknownClass(r.Header.Get(HeaderClass)))
	}
	if err != nil {
		return Policy{}, noSettings()
	}
	return p, nil
}

func unknownClass(name string) string {
	if name == "" {
		return "the request names no class by " + HeaderClass + ", and its team has no default class"
	}
	return "the class " + name + " does not exist"
}

func noSettings() *ErrorResponse {
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Type: ErrorTypeUnavailable, Code: "noSettings",
		Message: "no settings are in force yet", Outcome: call.OutcomeNotRun, RetryAfter: time.Second,
	}
}

// deadline returns the time by which the answer must be complete: the earlier of the
// caller's deadline and that of the policy. The zero time means none.
func (s *Server) deadline(r *request, p Policy) (time.Time, *ErrorResponse) {
	limit := p.Deadline
	if text := r.Header.Get(HeaderDeadline); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return time.Time{}, invalidRequest("invalid_deadline", HeaderDeadline+" has to be a positive duration such as 1500ms")
		}
		if limit == 0 || requested < limit {
			limit = requested
		}
	}
	if limit == 0 {
		return time.Time{}, nil
	}
	return r.arrived.Add(limit), nil
}

// body reads the body within MaxBodyBytes and BodyTimeout.
func (s *Server) body(w http.ResponseWriter, r *request) ([]byte, *ErrorResponse) {
	limited := http.MaxBytesReader(w, r.Body, s.c.MaxBodyBytes)
	counted := &countedReader{r: &deadlineReader{r: limited, control: http.NewResponseController(w), timeout: s.c.BodyTimeout, now: s.c.Now}, request: r}
	body, err := io.ReadAll(counted)
	if errors.Is(err, errMemoryFull) {
		w.Header().Set("Connection", "close")
		return nil, &ErrorResponse{
			Status: http.StatusServiceUnavailable, Type: ErrorTypeUnavailable, Code: "memoryFull",
			Message: err.Error(), Outcome: call.OutcomeNotRun, RetryAfter: time.Second,
		}
	}
	tooLarge := &http.MaxBytesError{}
	if errors.As(err, &tooLarge) {
		return nil, &ErrorResponse{
			Status: http.StatusRequestEntityTooLarge, Type: ErrorTypeInvalidRequest, Code: "body_too_large",
			Message: err.Error(), Outcome: call.OutcomeNotRun,
		}
	}
	if err != nil {
		return nil, &ErrorResponse{
			Status: http.StatusRequestTimeout, Type: ErrorTypeInvalidRequest, Code: "body_incomplete",
			Message: "the body did not arrive: " + err.Error(), Outcome: call.OutcomeNotRun, RetryAfter: time.Second,
		}
	}
	admit.BodyRead(r.Request)
	return body, nil
}

// errMemoryFull is the error of a body that does not fit beside other requests.
const errMemoryFull = errors.ConstError("the requests in progress fill the memory for them")

// bodyFactor is how many bytes are held for each of a body: the buffer grows by copying.
const bodyFactor = 2

// countedReader counts what is read of a body as held by its request, until the request ends.
type countedReader struct {
	r       io.Reader
	request *request
}

// Read reads a part of the body. It returns errMemoryFull if the part does not fit.
func (c *countedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	held := bodyFactor * int64(n)
	if n > 0 && !admit.Hold(c.request.Request, held) {
		return 0, errMemoryFull
	}
	c.request.held += held
	return n, err
}

// deadlineReader sets a new deadline for each read of a body.
type deadlineReader struct {
	r       io.Reader
	control *http.ResponseController
	timeout time.Duration
	now     func() time.Time
}

// Read reads with a new deadline. The deadline is removed at the end of the body or
// at an error.
func (d *deadlineReader) Read(b []byte) (int, error) {
	// A ResponseWriter without deadlines, as in tests, returns an error.
	_ = d.control.SetReadDeadline(d.now().Add(d.timeout))
	n, err := d.r.Read(b)
	if err != nil {
		_ = d.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
