package stream

import (
	"encoding/json"

	"github.com/juju/errors"
)

// assembly collects the members of a single response body other than the texts.
type assembly struct {
	firstChunk object
	usage      json.RawMessage
	choices    []assembledChoice
}

// assembledChoice holds the members of a choice other than its text.
type assembledChoice struct {
	message any // merged members of the chat message
	rest    any // other merged members of the choice
	finish  string
}

// Names of the members of a chunk and a choice that are not simply merged.
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

// collect adds the choices of a chunk that the edit keeps.
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

// Body returns the complete answer as a single response body, for a caller that did
// not ask for a stream.
//
// Errors: NotValid if the answer is incomplete or Config.Assemble is not set.
func (a *Answer) Body() ([]byte, error) {
	if !a.complete || !a.config.Assemble {
		return nil, errors.NewNotValid(nil, "Answer.Body: the answer is incomplete or Config.Assemble is not set")
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

// collectUsage records the usage of the complete answer.
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
