package stream

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// responseBody is what is read of an answer that is no stream.
type responseBody struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *Usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// CheckBody checks an answer that came in one piece: it has to be JSON, name the
// model, and hold each choice that was asked for with its finish. It returns the
// answer's token count, zero where the engine gives none. RequestID is here the
// X-Request-Id that was sent.
//
// Errors: a Fault; NotValid as of New.
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
