package stream

import (
	"bytes"
	"encoding/json"
)

// object is a JSON object whose values are kept undecoded.
type object map[string]json.RawMessage

// chunk holds the members of a chunk that are inspected.
type chunk struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Created int64           `json:"created"`
	Choices []chunkChoice   `json:"choices"`
	Usage   *rawUsage       `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

// chunkChoice is one entry in the choices of a chunk or of a complete response body.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// delta is the content that a chat chunk adds to a message.
type delta struct {
	Content string
	// NonText is true if the delta holds more than a role and text, such as tool
	// calls, which an engine cannot continue as a partial answer.
	NonText bool
}

// The members of a delta that a resumed attempt can continue.
const (
	memberRole    = "role"
	memberContent = "content"
)

// UnmarshalJSON implements json.Unmarshaler. A delta that has only a string content
// is read without decoding it.
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

// contentPrefix is the start of a delta that holds only text, which is by far the
// most common form.
const contentPrefix = `{"content":"`

// parseContentOnly returns the text of a delta that holds only text, without decoding
// it. The data must be valid JSON. It reports false for any other form.
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

// isEmpty reports whether a JSON value is null or an empty string, array or object.
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

// rawUsage is a Usage together with its original JSON.
type rawUsage struct {
	Usage
	raw []byte
}

// UnmarshalJSON implements json.Unmarshaler and keeps a copy of the data.
func (u *rawUsage) UnmarshalJSON(data []byte) error {
	u.raw = bytes.Clone(data)
	return json.Unmarshal(data, &u.Usage)
}

// parseChunk decodes one chunk.
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

// text returns the text of the choice, of a chat or plain completion.
func (p chunkChoice) text() string { return p.Delta.Content + p.Text }

// finished reports whether the choice has a finish reason.
func (p chunkChoice) finished() bool { return p.FinishReason != nil && *p.FinishReason != "" }

// encode returns v as JSON without HTML escaping.
func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}
