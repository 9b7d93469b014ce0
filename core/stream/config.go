package stream

import (
	"github.com/juju/errors"
)

// Kind is the kind of answer.
type Kind string

// The kinds: chat completions and plain completions.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
)

// defaultMaxAttempts is how many attempts an answer may take in all.
const defaultMaxAttempts = 3

// Profile says what an engine can do.
type Profile struct {
	// CanResume is true where the engine continues a partial answer.
	CanResume bool `json:"canResume"`
	// Echoes is true where a resumed answer begins with the partial text again.
	Echoes bool `json:"echoes"`
	// CountsTokens is true where the engine can put the number of tokens so far
	// into each chunk (stream_options.continuous_usage_stats).
	CountsTokens bool `json:"countsTokens"`
	// TokenPerChunk is true where each chunk holds exactly one token, so that a
	// jump in the count shows a lost chunk before the next one is passed on.
	TokenPerChunk bool `json:"tokenPerChunk"`
	// NamesRequest is true where the id of an answer ends with the X-Request-Id
	// of its request, so that another's answer is known by its first chunk.
	NamesRequest bool `json:"namesRequest"`
}

// Config configures an Answer.
type Config struct {
	Kind Kind
	// Body is the caller's request, a JSON object.
	Body []byte
	// Model is the model that the chunks have to name; empty accepts any, as long
	// as all chunks name the same.
	Model string
	// Engine says what the engines that serve this model can do.
	Engine Profile
	// Assemble is true for a caller that did not ask for a stream: the engine is
	// asked for one all the same, so that its progress shows and the answer can be
	// resumed, and Body returns the answer in one piece.
	Assemble bool
	// RequestID is the request's id, of which each attempt's is made.
	RequestID string
	// Idempotent is false where the request must not run a second time.
	Idempotent bool
	// MaxAttempts bounds the attempts, the first included (0: three).
	MaxAttempts int
}

// Defaults returns the configuration with zero fields filled in.
func (c Config) Defaults() Config {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the field's name.
func (c Config) Validate() error {
	switch {
	case c.Kind != KindChat && c.Kind != KindCompletion:
		return errors.NotValidf("Config.Validate: Kind %q", c.Kind)
	case c.MaxAttempts < 1:
		return errors.NotValidf("Config.Validate: MaxAttempts %d", c.MaxAttempts)
	}
	return nil
}
