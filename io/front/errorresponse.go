package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"gentianwell/core/call"
)

// ErrorType is the type in an error body of the OpenAI API.
type ErrorType string

// The types of error.
const (
	ErrorTypeInvalidRequest ErrorType = "invalid_request_error"
	ErrorTypeAuthentication ErrorType = "authentication_error"
	ErrorTypeRateLimit      ErrorType = "rate_limit_error"
	ErrorTypeServer         ErrorType = "server_error"
	ErrorTypeUnavailable    ErrorType = "service_unavailable"
)

// ErrorResponse is the answer to a request that was refused or failed.
type ErrorResponse struct {
	Status     int
	Type       ErrorType
	Code       string
	Message    string
	Outcome    call.Outcome
	RetryAfter time.Duration
}

// errorBody is the body of an error response of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	Param   *string   `json:"param"`
	Code    string    `json:"code"`
}

// Body returns the JSON error body.
func (e *ErrorResponse) Body() []byte {
	// Marshaling a struct of strings never fails.
	body, _ := json.Marshal(errorBody{Error: errorDetail{Message: e.Message, Type: e.Type, Code: e.Code}})
	return body
}

// write writes the response.
func (e *ErrorResponse) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set(HeaderReason, e.Code)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(e.RetryAfter))
		h.Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(e.Status)
	// The write fails if the caller has gone; then there is nothing left to do.
	_, _ = w.Write(e.Body())
}

// retryAfter returns the value of a Retry-After header, in seconds rounded up.
func retryAfter(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}

// errorTypeOf returns the error type that clients expect with an HTTP status.
func errorTypeOf(status int) ErrorType {
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

// invalidRequest returns the response to a request that is not valid.
func invalidRequest(code, message string) *ErrorResponse {
	return &ErrorResponse{Status: http.StatusBadRequest, Type: ErrorTypeInvalidRequest, Code: code, Message: message, Outcome: call.OutcomeNotRun}
}
