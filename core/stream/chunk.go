package stream

import (
	"bytes"
	"encoding/json"
)

// object is a JSON object whose values are kept as they came.
type object map[string]json.RawMessage

// chunk is what is read of one chunk.
type chunk struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Created int64           `json:"created"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *rawUsage       `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// chunkChoice is what one chunk holds of one choice.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// delta is what a chat chunk adds to a message.
type delta struct {
	Content string
	// NonText is true where the delta holds more than a role and a text, such as
	// tool calls, which cannot be handed to an engine as a partial answer.
	NonText bool
}

// The members of a delta that a resume can carry on.
const (
	memberRole    = "role"
	memberContent = "content"
)

// UnmarshalJSON reads a delta.
func (d *delta) UnmarshalJSON(data []byte) error {
	if text, ok := parseContentOnly(data); ok {
		d.Content = text
		return nil
	}
	var members object
	if err := json.Unmarshal(data, &members); err != nil {
		return err
	}
	for name, value := range members {
		switch {
		case name == memberRole || isEmpty(value):
		case name == memberContent:
			if err := json.Unmarshal(value, &d.Content); err != nil {
				return err
			}
		default:
			d.NonText = true
		}
	}
	return nil
}

// contentPrefix begins a delta that holds nothing but a text, as nearly all do.
const contentPrefix = `{"content":"`

// parseContentOnly reads valid JSON of the usual form of a delta without decoding it.
func parseContentOnly(data []byte) (string, bool) {
	text, ok := bytes.CutPrefix(data, []byte(contentPrefix))
	if !ok {
		return "", false
	}
	text, ok = bytes.CutSuffix(text, []byte(`"}`))
	if !ok || bytes.ContainsAny(text, `"\`) {
		return "", false
	}
	return string(text), true
}

func isEmpty(value json.RawMessage) bool {
	switch string(value) {
	case "null", `""`, "[]", "{}":
		return true
	}
	return false
}

// Usage is the token count of a chunk or an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// rawUsage is a usage with its JSON.
type rawUsage struct {
	Usage
	raw []byte
}

// UnmarshalJSON reads a usage.
func (u *rawUsage) UnmarshalJSON(data []byte) error {
	u.raw = bytes.Clone(data)
	return json.Unmarshal(data, &u.Usage)
}

// parseChunk reads one chunk.
//
// Errors: FaultParse, FaultEngine.
func parseChunk(data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return chunk{}, FaultParse
	}
	if len(c.Error) > 0 && !isEmpty(c.Error) {
		return chunk{}, FaultEngine
	}
	if c.ID == "" {
		return chunk{}, FaultParse
	}
	return c, nil
}

// text returns the part's text, chat or completion.
func (p chunkChoice) text() string { return p.Delta.Content + p.Text }

// finished reports whether the part ends its choice.
func (p chunkChoice) finished() bool { return p.FinishReason != nil && *p.FinishReason != "" }

// encode writes v as JSON without escaping what HTML would need escaped.
func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}
