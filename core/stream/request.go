package stream

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

// The members of a request that are read or changed.
const (
	memberMessages      = "messages"
	memberPrompt        = "prompt"
	memberContinue      = "continue_final_message"
	memberAddPrompt     = "add_generation_prompt"
	memberStreamOptions = "stream_options"
	memberMaxTokens     = "max_tokens"
	memberMaxCompletion = "max_completion_tokens"
	memberMinTokens     = "min_tokens"
)

// maxChoices bounds the choices that a request may ask for.
const maxChoices = 128

// unsafeMembers are members of a request with which an answer cannot be resumed:
// the engine would begin anew what they ask for.
var unsafeMembers = []string{
	"tools", "functions", "response_format", "guided_json", "guided_regex", "guided_choice",
	"guided_grammar", "structured_outputs", "echo", "suffix", "logprobs", "use_beam_search", "audio",
}

// request is the caller's request.
type request struct {
	kind        Kind
	body        []byte
	members     object
	counts      bool // ask the engine to count tokens in each chunk
	assemble    bool // ask the engine for a stream that the caller does not get
	wantsUsage  bool // the caller asked for usage at the end
	wantsCounts bool // the caller asked for usage in each chunk
	fields      requestFields
}

type requestFields struct {
	Stream        bool          `json:"stream"`
	N             *int          `json:"n"`
	MaxTokens     *int          `json:"max_tokens"`
	MaxCompletion *int          `json:"max_completion_tokens"`
	MinTokens     *int          `json:"min_tokens"`
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"`
}

func parseRequest(c Config) (request, error) {
	r := request{kind: c.Kind, body: c.Body}
	if err := json.Unmarshal(c.Body, &r.members); err != nil {
		return request{}, errors.NewNotValid(err, "request body")
	}
	if err := json.Unmarshal(c.Body, &r.fields); err != nil {
		return request{}, errors.NewNotValid(err, "request body")
	}
	if n := r.choices(); n < 1 || n > maxChoices {
		return request{}, errors.NotValidf("request body: n %d, allowed 1 to %d", n, maxChoices)
	}
	r.assemble = c.Assemble
	r.counts = c.Engine.CountsTokens && (r.fields.Stream || c.Assemble)
	r.wantsUsage = r.fields.StreamOptions.IncludeUsage
	r.wantsCounts = r.fields.StreamOptions.ContinuousUsageStats
	return r, nil
}

func (r *request) choices() int {
	n := 1
	if r.fields.N != nil {
		n = *r.fields.N
	}
	return n * r.prompts()
}

// prompts returns how many prompts the request holds: each has its own choices.
func (r *request) prompts() int {
	var list []json.RawMessage
	if r.kind != KindCompletion || json.Unmarshal(r.members[memberPrompt], &list) != nil || len(list) == 0 {
		return 1
	}
	if first := list[0][0]; first == '"' || first == '[' {
		return len(list)
	}
	return 1 // one prompt of token numbers
}

// Streamable reports whether an engine can stream the answer to a request at all.
func Streamable(body []byte) bool {
	var o object
	if err := json.Unmarshal(body, &o); err != nil {
		return false
	}
	for _, name := range []string{"best_of", "use_beam_search", "modalities", "audio"} {
		if value, ok := o[name]; ok && !isEmpty(value) && string(value) != "false" && string(value) != "1" {
			return false
		}
	}
	return true
}

// first returns the body of an attempt from the start.
func (r *request) first() ([]byte, error) {
	if !r.counts && !r.assemble {
		return r.body, nil
	}
	o := r.copy()
	if err := r.askStream(o); err != nil {
		return nil, errors.Annotate(err, "request.first")
	}
	return encode(o)
}

// resume returns the body of an attempt that continues a partial answer.
func (r *request) resume(partial string, tokens int) ([]byte, error) {
	o := r.copy()
	if err := r.addPartial(o, partial); err != nil {
		return nil, errors.Annotate(err, "request.resume")
	}
	if err := r.lowerLimits(o, tokens); err != nil {
		return nil, errors.Annotate(err, "request.resume")
	}
	if err := r.askStream(o); err != nil {
		return nil, errors.Annotate(err, "request.resume")
	}
	return encode(o)
}

func (r *request) copy() object {
	o := make(object, len(r.members)+len(unsafeMembers))
	for name, value := range r.members {
		o[name] = value
	}
	return o
}

// askStream asks for a stream with what the guard needs in it.
func (r *request) askStream(o object) error {
	if !r.counts && !r.assemble {
		return nil
	}
	o["stream"] = json.RawMessage("true")
	options := object{}
	if raw, ok := o[memberStreamOptions]; ok && !isEmpty(raw) {
		if err := json.Unmarshal(raw, &options); err != nil {
			return err
		}
	}
	options["include_usage"] = json.RawMessage("true")
	if r.counts {
		options["continuous_usage_stats"] = json.RawMessage("true")
	}
	return set(o, memberStreamOptions, options)
}

func (r *request) addPartial(o object, partial string) error {
	if r.kind == KindCompletion {
		var prompt string
		if err := json.Unmarshal(o[memberPrompt], &prompt); err != nil {
			return err
		}
		return set(o, memberPrompt, prompt+partial)
	}
	messages, err := r.messagesWith(partial)
	if err != nil {
		return err
	}
	o[memberContinue] = json.RawMessage("true")
	o[memberAddPrompt] = json.RawMessage("false")
	return set(o, memberMessages, messages)
}

// messagesWith returns the messages with the partial answer as the last one, or
// appended to the last one where the caller itself asked to continue it.
func (r *request) messagesWith(partial string) ([]json.RawMessage, error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(r.members[memberMessages], &messages); err != nil {
		return nil, err
	}
	last := object{memberRole: json.RawMessage(`"assistant"`), memberContent: json.RawMessage(`""`)}
	if r.continues() && len(messages) > 0 {
		last = object{}
		if err := json.Unmarshal(messages[len(messages)-1], &last); err != nil {
			return nil, err
		}
		messages = messages[:len(messages)-1]
	}
	if err := appendContent(last, partial); err != nil {
		return nil, err
	}
	data, err := encode(last)
	if err != nil {
		return nil, err
	}
	return append(messages, data), nil
}

func appendContent(message object, text string) error {
	var content string
	if err := json.Unmarshal(message[memberContent], &content); err != nil {
		return err
	}
	return set(message, memberContent, content+text)
}

func (r *request) continues() bool { return string(r.members[memberContinue]) == "true" }

func (r *request) lowerLimits(o object, tokens int) error {
	limits := []struct {
		name  string
		value *int
	}{
		{memberMaxTokens, r.fields.MaxTokens},
		{memberMaxCompletion, r.fields.MaxCompletion},
		{memberMinTokens, r.fields.MinTokens},
	}
	for _, l := range limits {
		if l.value == nil {
			continue
		}
		if err := set(o, l.name, max(*l.value-tokens, 0)); err != nil {
			return err
		}
	}
	return nil
}

// unresumable returns why a partial answer of so many tokens cannot be handed on,
// or nothing.
func (r *request) unresumable(tokens int) string {
	for _, name := range unsafeMembers {
		if value, ok := r.members[name]; ok && !isEmpty(value) && string(value) != "false" {
			return fmt.Sprintf("a request with %q cannot be resumed", name)
		}
	}
	if limit := r.limit(); limit > 0 && tokens >= limit {
		return "the token limit is reached without a finish"
	}
	if _, err := r.resume("", 0); err != nil {
		return "the prompt is not in a form that can be extended"
	}
	return ""
}

func (r *request) limit() int {
	if r.fields.MaxCompletion != nil {
		return *r.fields.MaxCompletion
	}
	if r.fields.MaxTokens != nil {
		return *r.fields.MaxTokens
	}
	return 0
}
