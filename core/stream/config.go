package stream

import (
	"github.com/juju/errors"
)

// Kind is the type of completion that an answer belongs to.
type Kind string

// The kinds of answer: chat completions and plain text completions.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
)

// defaultMaxAttempts is the default limit on attempts, including the first.
const defaultMaxAttempts = 3

// Profile describes the capabilities of an engine.
type Profile struct {
	// CanResume is true if the engine can continue a partial answer.
	CanResume bool `json:"canResume"`
	// Echoes is true if a resumed answer repeats the partial text first.
	Echoes bool `json:"echoes"`
	// CountsTokens is true if the engine can report the number of tokens so far in
	// each chunk (stream_options.continuous_usage_stats).
	CountsTokens bool `json:"countsTokens"`
	// TokenPerChunk is true if each chunk holds exactly one token, so that a gap in
	// the count reveals a lost chunk before the next one is forwarded.
	TokenPerChunk bool `json:"tokenPerChunk"`
	// NamesRequest is true if the id of an answer ends with the X-Request-Id of its
	// request, so that the answer to another request is detected at its first chunk.
	NamesRequest bool `json:"namesRequest"`
}

// Config configures an Answer.
type Config struct {
	Kind Kind
	// Body is the caller's request, a JSON object.
	Body []byte
	// Model is the model that the chunks must name. If empty, any model is accepted
	// as long as all chunks name the same one.
	Model string
	// Engine describes the capabilities of the engines that serve this model.
	Engine Profile
	// Assemble is true for a caller that did not ask for a stream. The engine is
	// still asked for one, so that its progress is visible and the answer can be
	// resumed, and Body returns the complete answer as a single response body.
	Assemble bool
	// RequestID is the id of the request. Each attempt's id is derived from it.
	RequestID string
	// Idempotent is false if the request must not run a second time.
	Idempotent bool
	// MaxAttempts limits the attempts, including the first (0: three).
	MaxAttempts int
}

// Defaults returns the configuration with defaults for zero fields.
func (c Config) Defaults() Config {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the field, its value and the allowed values.
func (c Config) Validate() error {
	switch {
	case c.Kind != KindChat && c.Kind != KindCompletion:
		return errors.NotValidf("Config.Validate: Kind %q, allowed %q or %q,", c.Kind, KindChat, KindCompletion)
	case c.MaxAttempts < 1:
		return errors.NotValidf("Config.Validate: MaxAttempts %d, allowed 1 or more,", c.MaxAttempts)
	}
	return nil
}
