package stream

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// responseBody holds the members of a non-streamed answer that are inspected.
type responseBody struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *Usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// CheckBody checks a non-streamed answer: it must be JSON, name the model, and hold
// each requested choice with a finish reason. It returns the token count of the
// answer, or zero if the engine reports none. Here, Config.RequestID is the
// X-Request-Id that was sent.
//
// Errors: a Fault; NotValid for a request body that New rejects.
func CheckBody(c Config, data []byte) (Usage, error) {
	r, err := parseRequest(c)
	if err != nil {
		return Usage{}, errors.Annotate(err, "CheckBody")
	}
	var b responseBody
	if err := json.Unmarshal(data, &b); err != nil || b.ID == "" {
		return Usage{}, FaultParse
	}
	if len(b.Error) > 0 && !isEmpty(b.Error) {
		return Usage{}, FaultEngine
	}
	if c.Engine.NamesRequest && !strings.HasSuffix(b.ID, "-"+c.RequestID) {
		return Usage{}, FaultOtherAnswer
	}
	if c.Model != "" && b.Model != c.Model {
		return Usage{}, FaultModel
	}
	if err := checkChoices(b.Choices, r.choiceCount()); err != nil {
		return Usage{}, err
	}
	if b.Usage == nil {
		return Usage{}, nil
	}
	return *b.Usage, nil
}

func checkChoices(parts []chunkChoice, n int) error {
	seen := make([]bool, n)
	for _, p := range parts {
		if p.Index < 0 || p.Index >= n || seen[p.Index] {
			return FaultIndex
		}
		if !p.finished() {
			return FaultNoFinish
		}
		seen[p.Index] = true
	}
	for _, ok := range seen {
		if !ok {
			return FaultNoFinish
		}
	}
	return nil
}
