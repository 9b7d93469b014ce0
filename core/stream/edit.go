package stream

import (
	"bytes"
	"encoding/json"
)

// edit is what has to be changed in a chunk's list of choices.
type edit struct {
	drop  map[int]bool
	texts map[int]string
}

func (d *edit) dropPart(i int) {
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

func (d *edit) none() bool { return len(d.drop) == 0 && len(d.texts) == 0 }

// output returns the chunk as the caller is to see it: as it came where nothing
// has to be changed.
func (a *Answer) output(e Event, c chunk, d edit) ([]byte, error) {
	sameAnswer := c.ID == a.id && c.Model == a.model && c.Created == a.created
	if sameAnswer && d.none() && a.keepsUsage(c) && !a.resumed {
		return e.Raw, nil
	}
	if sameAnswer && d.none() && !a.resumed {
		if out, ok := a.withoutUsage(e.Data, c.Usage); ok {
			return out, nil
		}
	}
	var o object
	if err := json.Unmarshal(e.Data, &o); err != nil {
		return nil, a.fault(FaultParse)
	}
	if err := a.rewrite(o, c, d); err != nil {
		return nil, a.fault(FaultParse)
	}
	data, err := encode(o)
	if err != nil {
		return nil, a.fault(FaultParse)
	}
	return dataEvent(data), nil
}

// memberUsage is the name of a chunk's usage as it stands in its JSON.
const memberUsage = `"usage"`

// withoutUsage cuts the usage out of a chunk and leaves every other byte as it is.
// It reports false where the name stands more than once, so that the JSON has to
// be taken apart to tell which is meant. Within a text the quotes are escaped.
func (a *Answer) withoutUsage(data []byte, u *rawUsage) ([]byte, bool) {
	// Several lines of data would need a prefix each.
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
	a.out = append(a.out[:0], "data: "...)
	a.out = append(a.out, before...)
	a.out = append(a.out, after...)
	a.out = append(a.out, "\n\n"...)
	return a.out, true
}

// keepsUsage reports whether the chunk's usage is the caller's to see as it is.
func (a *Answer) keepsUsage(c chunk) bool {
	if c.Usage == nil || !a.request.counts {
		return true
	}
	return a.request.wantsUsage && len(c.Choices) == 0 || a.request.wantsCounts
}

func (a *Answer) rewrite(o object, c chunk, d edit) error {
	if err := set(o, "id", a.id); err != nil {
		return err
	}
	if err := set(o, "model", a.model); err != nil {
		return err
	}
	if err := set(o, "created", a.created); err != nil {
		return err
	}
	if err := a.rewriteUsage(o, c); err != nil {
		return err
	}
	if d.none() {
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

// rewriteUsageOf sets the usage of all attempts together.
func (a *Answer) rewriteUsageOf(o object, last *rawUsage) error {
	u := Usage{PromptTokens: a.prompt, CompletionTokens: a.stats.Tokens}
	if a.prompt == 0 {
		u.PromptTokens = max(last.PromptTokens+last.CompletionTokens-a.stats.Tokens, 0)
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return set(o, "usage", u)
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
	return set(o, "choices", kept)
}

func rewriteText(p object, text string) error {
	if _, ok := p["text"]; ok {
		return set(p, "text", text)
	}
	var members object
	if err := json.Unmarshal(p["delta"], &members); err != nil {
		return err
	}
	if err := set(members, memberContent, text); err != nil {
		return err
	}
	return set(p, "delta", members)
}

func set(o object, name string, value any) error {
	data, err := encode(value)
	if err != nil {
		return err
	}
	o[name] = data
	return nil
}
