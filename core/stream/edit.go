package stream

import (
	"bytes"
	"encoding/json"
)

// edit holds the changes to the choices of a chunk, by position in the list.
type edit struct {
	drop  map[int]bool
	texts map[int]string
}

func (d *edit) dropChoice(i int) {
	if d.drop == nil {
		d.drop = map[int]bool{}
	}
	d.drop[i] = true
}

func (d *edit) setText(i int, text string) {
	if d.texts == nil {
		d.texts = map[int]string{}
	}
	d.texts[i] = text
}

func (d *edit) dropped() int { return len(d.drop) }

func (d *edit) empty() bool { return len(d.drop) == 0 && len(d.texts) == 0 }

// outputChunk returns the chunk as sent to the caller: unchanged if possible, else
// rewritten.
func (a *Answer) outputChunk(e Event, c chunk, d edit) ([]byte, error) {
	sameAnswer := c.ID == a.id && c.Model == a.model && c.Created == a.created
	if sameAnswer && d.empty() && a.keepsUsage(c) && !a.resumed {
		return e.Raw, nil
	}
	if sameAnswer && d.empty() && !a.resumed {
		if out, ok := a.withoutUsage(e.Data, c.Usage); ok {
			return out, nil
		}
	}
	var o object
	if err := json.Unmarshal(e.Data, &o); err != nil {
		return nil, a.recordFault(FaultParse)
	}
	if err := a.rewrite(o, c, d); err != nil {
		return nil, a.recordFault(FaultParse)
	}
	data, err := encode(o)
	if err != nil {
		return nil, a.recordFault(FaultParse)
	}
	return dataEvent(data), nil
}

// memberUsage is the quoted name of the usage member in the JSON of a chunk.
const memberUsage = `"usage"`

// withoutUsage returns the event of a chunk without its usage member and with every
// other byte unchanged. It reports false if the chunk must be decoded instead: it
// has no usage, spans several lines, or contains the quoted name more than once. The
// name cannot match within a text, where quotes are escaped.
func (a *Answer) withoutUsage(data []byte, u *rawUsage) ([]byte, bool) {
	// Data of several lines would need a "data: " prefix on each.
	if u == nil || bytes.ContainsAny(data, "\r\n") || bytes.Count(data, []byte(memberUsage)) != 1 {
		return nil, false
	}
	start := bytes.Index(data, []byte(memberUsage))
	value := bytes.Index(data[start:], u.raw)
	if value < 0 {
		return nil, false
	}
	before := bytes.TrimRight(data[:start], " \t\r\n")
	after := bytes.TrimLeft(data[start+value+len(u.raw):], " \t\r\n")
	if trimmed, ok := bytes.CutSuffix(before, []byte(",")); ok {
		before = trimmed
	} else {
		after = bytes.TrimPrefix(after, []byte(","))
	}
	a.buf = append(a.buf[:0], "data: "...)
	a.buf = append(a.buf, before...)
	a.buf = append(a.buf, after...)
	a.buf = append(a.buf, "\n\n"...)
	return a.buf, true
}

// keepsUsage reports whether the usage of the chunk, if any, is sent to the caller.
func (a *Answer) keepsUsage(c chunk) bool {
	if c.Usage == nil || !a.request.counts {
		return true
	}
	return a.request.wantsUsage && len(c.Choices) == 0 || a.request.wantsCounts
}

func (a *Answer) rewrite(o object, c chunk, d edit) error {
	if err := setMember(o, "id", a.id); err != nil {
		return err
	}
	if err := setMember(o, "model", a.model); err != nil {
		return err
	}
	if err := setMember(o, "created", a.created); err != nil {
		return err
	}
	if err := a.rewriteUsage(o, c); err != nil {
		return err
	}
	if d.empty() {
		return nil
	}
	return rewriteChoices(o, d)
}

func (a *Answer) rewriteUsage(o object, c chunk) error {
	if c.Usage == nil {
		return nil
	}
	if !a.keepsUsage(c) {
		delete(o, "usage")
		return nil
	}
	if !a.resumed {
		return nil
	}
	return a.rewriteUsageOf(o, c.Usage)
}

// rewriteUsageOf sets the usage to the total over all attempts. If the prompt tokens
// of the first attempt are unknown, they are derived from the last usage, whose
// prompt includes the partial answer.
func (a *Answer) rewriteUsageOf(o object, last *rawUsage) error {
	u := Usage{PromptTokens: a.promptTokens, CompletionTokens: a.stats.Tokens}
	if a.promptTokens == 0 {
		u.PromptTokens = max(last.PromptTokens+last.CompletionTokens-a.stats.Tokens, 0)
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return setMember(o, "usage", u)
}

func rewriteChoices(o object, d edit) error {
	var parts []object
	if err := json.Unmarshal(o["choices"], &parts); err != nil {
		return err
	}
	var kept []object
	for i, p := range parts {
		if d.drop[i] {
			continue
		}
		if text, ok := d.texts[i]; ok {
			if err := rewriteText(p, text); err != nil {
				return err
			}
		}
		kept = append(kept, p)
	}
	return setMember(o, "choices", kept)
}

func rewriteText(p object, text string) error {
	if _, ok := p["text"]; ok {
		return setMember(p, "text", text)
	}
	var members object
	if err := json.Unmarshal(p["delta"], &members); err != nil {
		return err
	}
	if err := setMember(members, memberContent, text); err != nil {
		return err
	}
	return setMember(p, "delta", members)
}

func setMember(o object, name string, value any) error {
	data, err := encode(value)
	if err != nil {
		return err
	}
	o[name] = data
	return nil
}
