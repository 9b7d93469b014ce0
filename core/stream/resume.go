package stream

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

// resumedBody returns the request body for an attempt that continues a partial answer.
// The tokens are the number of tokens in it.
func (r *request) resumedBody(partial string, tokens int) ([]byte, error) {
	o := r.copyMembers()
	if err := r.addPartial(o, partial); err != nil {
		return nil, errors.Annotate(err, "request.resume")
	}
	if err := r.lowerLimits(o, tokens); err != nil {
		return nil, errors.Annotate(err, "request.resume")
	}
	if err := r.setStreamOptions(o); err != nil {
		return nil, errors.Annotate(err, "request.resume")
	}
	return encode(o)
}

func (r *request) addPartial(o object, partial string) error {
	if r.kind == KindCompletion {
		var prompt string
		if err := json.Unmarshal(o[memberPrompt], &prompt); err != nil {
			return err
		}
		return setMember(o, memberPrompt, prompt+partial)
	}
	messages, err := r.messagesWith(partial)
	if err != nil {
		return err
	}
	o[memberContinue] = json.RawMessage("true")
	o[memberAddPrompt] = json.RawMessage("false")
	return setMember(o, memberMessages, messages)
}

// messagesWith returns the messages with the partial answer as the last message. If
// the caller asked to continue the last message, the partial answer is appended to it.
func (r *request) messagesWith(partial string) ([]json.RawMessage, error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(r.members[memberMessages], &messages); err != nil {
		return nil, err
	}
	last := object{memberRole: json.RawMessage(`"assistant"`), memberContent: json.RawMessage(`""`)}
	if r.continuesFinalMessage() && len(messages) > 0 {
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
	return setMember(message, memberContent, content+text)
}

func (r *request) continuesFinalMessage() bool { return string(r.members[memberContinue]) == "true" }

// lowerLimits reduces the token limits by the tokens already generated.
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
		if err := setMember(o, l.name, max(*l.value-tokens, 0)); err != nil {
			return err
		}
	}
	return nil
}

// unresumableReason returns why a partial answer of so many tokens cannot be continued,
// or an empty string if it can.
func (r *request) unresumableReason(tokens int) string {
	for _, name := range unresumableMembers {
		if value, ok := r.members[name]; ok && !isEmpty(value) && string(value) != "false" {
			return fmt.Sprintf("a request with %q cannot be resumed", name)
		}
	}
	if limit := r.tokenLimit(); limit > 0 && tokens >= limit {
		return "the token limit is reached without a finish"
	}
	if _, err := r.resumedBody("", 0); err != nil {
		return "the prompt is not in a form that can be extended"
	}
	return ""
}

// tokenLimit returns the maximum number of completion tokens, or 0 if there is none.
func (r *request) tokenLimit() int {
	if r.fields.MaxCompletion != nil {
		return *r.fields.MaxCompletion
	}
	if r.fields.MaxTokens != nil {
		return *r.fields.MaxTokens
	}
	return 0
}
