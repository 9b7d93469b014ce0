package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"gentianwell/core/call"
)

// ErrorType is the type in an error body, as OpenAI-compatible clients know it.
type ErrorType string

// The types.
const (
	ErrorTypeInvalidRequest     ErrorType = "invalid_request_error"
	ErrorTypeAuthentication         ErrorType = "authentication_error"
	ErrorTypeRateLimit       ErrorType = "rate_limit_error"
	ErrorTypeServer      ErrorType = "server_error"
	ErrorTypeUnavailable ErrorType = "service_unavailable"
)

// ErrorResponse is an answer that is no success.
type ErrorResponse struct {
	Status     int
	Type       ErrorType
	Code       string
	Message    string
	Outcome    call.Outcome
	RetryAfter time.Duration
}

// faultBody is the error body of the OpenAI API.
type faultBody struct {
	Error faultError `json:"error"`
}

type faultError struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	Param   *string   `json:"param"`
	Code    string    `json:"code"`
}

// Body returns the fault as a JSON error body.
func (f *ErrorResponse) Body() []byte {
	// A struct of strings always has a JSON form.
	body, _ := json.Marshal(faultBody{Error: faultError{Message: f.Message, Type: f.Type, Code: f.Code}})
	return body
}

// write answers a request with the fault.
func (f *ErrorResponse) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, f.Code)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(f.RetryAfter))
		h.Set("Retry-After-Ms", strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(f.Status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write(f.Body())
}

// retryAfter rounds up to whole seconds, the unit of the Retry-After header.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

// typeOf returns the error type that clients expect with a status.
func typeOf(status int) ErrorType {
	switch {
	case status == http.StatusUnauthorized:
		return ErrorTypeAuthentication
	case status == http.StatusTooManyRequests:
		return ErrorTypeRateLimit
	case status == http.StatusServiceUnavailable:
		return ErrorTypeUnavailable
	case status < http.StatusInternalServerError:
		return ErrorTypeInvalidRequest
	}
	return ErrorTypeServer
}

// invalid is a request that cannot be understood.
func invalid(code, message string) *ErrorResponse {
	return &ErrorResponse{Status: http.StatusBadRequest, Type: ErrorTypeInvalidRequest, Code: code, Message: message, Outcome: call.OutcomeNotRun}
}
