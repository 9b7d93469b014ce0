package stream

import (
	"encoding/json"
	"fmt"
	"strings"
)

// script generates the chunks of an engine's answer in one attempt.
type script struct {
	id     string
	kind   Kind
	counts bool
}

func (s script) chunk(choice int, text string, count int, finish string) string {
	member, reason, usage := "", "null", ""
	if s.kind == KindChat {
		member = fmt.Sprintf(`"delta":{"content":%q}`, text)
	} else {
		member = fmt.Sprintf(`"text":%q`, text)
	}
	if finish != "" {
		reason = fmt.Sprintf("%q", finish)
	}
	if s.counts {
		usage = fmt.Sprintf(`,"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":%d}`, count, count+3)
	}
	const form = `{"id":%q,"created":1,"model":"m","choices":[{"index":%d,%s,"finish_reason":%s}]%s}`
	return fmt.Sprintf(form, s.id, choice, member, reason, usage)
}

// chunks returns the complete answer with the tokens, one per chunk.
func (s script) chunks(tokens []string) []string {
	var out []string
	for i, t := range tokens {
		out = append(out, s.chunk(0, t, i+1, ""))
	}
	return append(out, s.chunk(0, "", len(tokens), "stop"), doneData)
}

// caller records what is sent to a caller.
type caller struct {
	text   string
	ids    map[string]bool
	finish int
	errors int
	done   int
	usages int
}

func (c *caller) read(out []byte) {
	for _, block := range strings.Split(string(out), "\n\n") {
		data := eventData(block)
		switch {
		case data == "":
		case data == doneData:
			c.done++
		default:
			c.readChunk(data)
		}
	}
}

// formatEvent returns the event with the data, with a prefix on each line.
func formatEvent(data string) []byte {
	return []byte("data: " + strings.ReplaceAll(data, "\n", "\ndata: ") + "\n\n")
}

// eventData returns the data of an event. Lines without the data prefix are ignored.
func eventData(block string) string {
	var lines []string
	for line := range strings.SplitSeq(block, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			lines = append(lines, data)
		}
	}
	return strings.Join(lines, "\n")
}

func (c *caller) readChunk(data string) {
	var got chunk
	if err := json.Unmarshal([]byte(data), &got); err != nil {
		panic(err)
	}
	if got.Error != nil {
		c.errors++
		return
	}
	c.ids[got.ID] = true
	if got.Usage != nil {
		c.usages++
	}
	for _, p := range got.Choices {
		c.text += p.text()
		if p.finished() {
			c.finish++
		}
	}
}

// run makes attempts until the answer ends. The function attempt returns the chunks
// of the engine's answer to a request body.
func run(a *Answer, attempt func(n int, body []byte) []string) (*caller, Decision) {
	c := &caller{ids: map[string]bool{}}
	for n := 0; ; n++ {
		body, err := a.Begin()
		if err != nil {
			panic(err)
		}
		cause := "connection was lost"
		for _, data := range attempt(n, body) {
			out, err := a.Feed(Event{Raw: formatEvent(data), Data: []byte(data)})
			if err != nil {
				cause = err.Error()
				break
			}
			c.read(out)
		}
		d := a.End(cause)
		c.read(d.Event)
		if !d.Action.Again() {
			return c, d
		}
	}
}

// partialOf returns the partial answer in the request body of a resumed attempt.
func partialOf(kind Kind, body []byte) string {
	var r struct {
		Prompt   string `json:"prompt"`
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		panic(err)
	}
	if kind == KindCompletion {
		return strings.TrimPrefix(r.Prompt, "P")
	}
	if last := r.Messages[len(r.Messages)-1]; last.Role == "assistant" {
		return last.Content
	}
	return ""
}

func bodyOf(kind Kind) []byte {
	if kind == KindCompletion {
		return []byte(`{"model":"m","stream":true,"prompt":"P"}`)
	}
	return []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"P"}]}`)
}
