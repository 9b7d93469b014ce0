package oper

import (
	"net/http"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/conf"
	"gentianwell/io/kvs"
)

// newFailure returns the Failure that reports an error to an operator.
func newFailure(err error) *Failure {
	f := &Failure{Kind: FailureInternal, Message: err.Error()}
	var problem tree.Problem
	switch {
	case errors.Is(err, conf.ErrDamaged):
		f.Kind = FailureInternal
	case errors.As(err, &f.Problems):
		f.Kind = FailureInvalid
	case errors.As(err, &problem):
		f.Kind, f.Problems = FailureInvalid, tree.Problems{problem}
	case errors.As(err, &f.Conflict):
		f.Kind = FailureConflict
	case errors.Is(err, errors.NotValid), errors.Is(err, errors.NotSupported), errors.Is(err, conf.ErrTooLarge):
		f.Kind = FailureInvalid
	case errors.Is(err, conf.ErrBehind):
		f.Kind = FailureBehind
	case errors.Is(err, conf.ErrOutcomeUnknown):
		f.Kind = FailureOutcomeUnknown
	case errors.Is(err, kvs.ErrUnavailable), errors.Is(err, kvs.ErrUnknown):
		f.Kind = FailureUnavailable
	case errors.Is(err, errors.NotFound):
		f.Kind = FailureNotFound
	}
	return f
}

// status returns the HTTP status of a failure.
func (f *Failure) status() int {
	switch f.Kind {
	case FailureInvalid:
		return http.StatusUnprocessableEntity
	case FailureConflict:
		return http.StatusConflict
	case FailureBehind, FailureUnavailable:
		return http.StatusServiceUnavailable
	case FailureOutcomeUnknown:
		return http.StatusGatewayTimeout
	case FailureNotFound:
		return http.StatusNotFound
	default:
		return http.StatusInternalServerError
	}
}

// retryAfterSeconds is the Retry-After header of a failure that is retryable.
const retryAfterSeconds = "5"

// retryable reports whether the request may succeed if it is sent again later.
func (f *Failure) retryable() bool {
	return f.Kind == FailureBehind || f.Kind == FailureUnavailable || f.Kind == FailureOutcomeUnknown
}
