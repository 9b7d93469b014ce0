package stream

import (
	"encoding/json"

	"github.com/juju/errors"
)

// assembly collects what an answer in one piece holds besides its texts.
type assembly struct {
	firstChunk object // members of the first chunk
	usage      json.RawMessage
	choices    []assembledChoice
}

// assembledChoice is what a choice holds besides its text.
type assembledChoice struct {
	message any // members of the message, for chat
	rest    any // members of the choice
	finish  string
}

// The members of a chunk and a choice that are not merged as they come.
const (
	memberID      = "id"
	memberObject  = "object"
	memberChoices = "choices"
	memberIndex   = "index"
	memberDelta   = "delta"
	memberText    = "text"
	memberFinish  = "finish_reason"
	memberMessage = "message"
)

// collect takes in the kept parts of a chunk.
func (a *Answer) collect(e Event, d edit) error {
	var o object
	if err := json.Unmarshal(e.Data, &o); err != nil {
		return FaultParse
	}
	var parts []object
	if err := json.Unmarshal(o[memberChoices], &parts); err != nil {
		return FaultParse
	}
	if a.assembly.firstChunk == nil {
		a.assembly.firstChunk = o
	}
	for i, p := range parts {
		if d.drop[i] {
			continue
		}
		if err := a.collectChoice(p); err != nil {
			return FaultParse
		}
	}
	return nil
}

func (a *Answer) collectChoice(p object) error {
	index := 0
	if raw, ok := p[memberIndex]; ok {
		if err := json.Unmarshal(raw, &index); err != nil {
			return err
		}
	}
	c := &a.assembly.choices[index]
	for name, raw := range p {
		var value any
		if err := json.Unmarshal(raw, &value); err != nil {
			return err
		}
		switch name {
		case memberIndex, memberText:
		case memberDelta:
			c.message = merge(c.message, withoutMember(value, memberContent))
		case memberFinish:
			if reason, ok := value.(string); ok {
				c.finish = reason
			}
		default:
			c.rest = merge(c.rest, map[string]any{name: value})
		}
	}
	return nil
}

func withoutMember(value any, name string) any {
	if members, ok := value.(map[string]any); ok {
		delete(members, name)
	}
	return value
}

// Body returns the whole answer in one piece, for a caller that did not ask for a
// stream.
//
// Errors: NotValid while the answer is not whole.
func (a *Answer) Body() ([]byte, error) {
	if !a.complete || !a.config.Assemble {
		return nil, errors.NotValidf("Answer.Body: answer that is not whole")
	}
	o := object{}
	for name, value := range a.assembly.firstChunk {
		o[name] = value
	}
	kind := "text_completion"
	if a.config.Kind == KindChat {
		kind = "chat.completion"
	}
	values := []struct {
		name  string
		value any
	}{{memberID, a.id}, {memberObject, kind}, {memberChoices, a.assembledChoices()}}
	for _, v := range values {
		if err := setMember(o, v.name, v.value); err != nil {
			return nil, errors.Annotate(err, "Answer.Body")
		}
	}
	delete(o, "usage")
	if a.assembly.usage != nil {
		o["usage"] = a.assembly.usage
	}
	return encode(o)
}

func (a *Answer) assembledChoices() []map[string]any {
	out := []map[string]any{}
	for i := range a.choices {
		c := &a.assembly.choices[i]
		choice := map[string]any{memberIndex: i, memberFinish: c.finish}
		if rest, ok := c.rest.(map[string]any); ok {
			for name, value := range rest {
				choice[name] = value
			}
		}
		text := a.choices[i].text.String()
		if a.config.Kind == KindChat {
			choice[memberMessage] = assembledMessage(c.message, text)
		} else {
			choice[memberText] = text
		}
		out = append(out, choice)
	}
	return out
}

func assembledMessage(members any, text string) map[string]any {
	message := map[string]any{memberRole: "assistant", memberContent: text}
	collected, ok := members.(map[string]any)
	if !ok {
		return message
	}
	for name, value := range collected {
		message[name] = value
	}
	if _, calls := message["tool_calls"]; calls && text == "" {
		message[memberContent] = nil
	}
	return message
}

// collectUsage keeps the usage of the whole answer.
func (a *Answer) collectUsage(u *rawUsage) error {
	if u == nil {
		return nil
	}
	a.assembly.usage = u.raw
	if !a.resumed {
		return nil
	}
	o := object{}
	if err := a.rewriteUsageOf(o, u); err != nil {
		return FaultParse
	}
	a.assembly.usage = o["usage"]
	return nil
}
