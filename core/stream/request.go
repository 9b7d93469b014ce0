package stream

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Names of the request members that are read or changed.
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

// maxChoices limits the choices that a request may ask for.
const maxChoices = 128

// unresumableMembers are request members that rule out resuming an answer, because
// the engine would start over on what they ask for.
var unresumableMembers = []string{
	"tools", "functions", "response_format", "guided_json", "guided_regex", "guided_choice",
	"guided_grammar", "structured_outputs", "echo", "suffix", "logprobs", "use_beam_search", "audio",
}

// request is the caller's parsed request.
type request struct {
	kind        Kind
	body        []byte
	members     object
	counts      bool // ask the engine for a token count in each chunk
	assemble    bool // ask the engine for a stream although the caller gets a single body
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
	if n := r.choiceCount(); n < 1 || n > maxChoices {
		return request{}, errors.NotValidf("request body: n %d, allowed 1 to %d", n, maxChoices)
	}
	r.assemble = c.Assemble
	r.counts = c.Engine.CountsTokens && (r.fields.Stream || c.Assemble)
	r.wantsUsage = r.fields.StreamOptions.IncludeUsage
	r.wantsCounts = r.fields.StreamOptions.ContinuousUsageStats
	return r, nil
}

func (r *request) choiceCount() int {
	n := 1
	if r.fields.N != nil {
		n = *r.fields.N
	}
	return n * r.promptCount()
}

// promptCount returns the number of prompts in the request. Each prompt has its own
// choices.
func (r *request) promptCount() int {
	var list []json.RawMessage
	if r.kind != KindCompletion || json.Unmarshal(r.members[memberPrompt], &list) != nil || len(list) == 0 {
		return 1
	}
	if first := list[0][0]; first == '"' || first == '[' {
		return len(list)
	}
	return 1 // a single prompt given as token ids
}

// Streamable reports whether an engine can stream the answer to a request.
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

// initialBody returns the request body for an attempt that starts from the beginning.
func (r *request) initialBody() ([]byte, error) {
	if !r.counts && !r.assemble {
		return r.body, nil
	}
	o := r.copyMembers()
	if err := r.setStreamOptions(o); err != nil {
		return nil, errors.Annotate(err, "request.first")
	}
	return encode(o)
}

func (r *request) copyMembers() object {
	o := make(object, len(r.members)+len(unresumableMembers))
	for name, value := range r.members {
		o[name] = value
	}
	return o
}

// setStreamOptions requests a stream with the usage statistics that the Answer needs.
func (r *request) setStreamOptions(o object) error {
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
	return setMember(o, memberStreamOptions, options)
}
