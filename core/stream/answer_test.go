package stream

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianwell/core/gwtest"
)

// injectFaults truncates an answer, repeats, swaps or drops its chunks, or inserts a
// chunk of another answer. If the engine does not name the request, no foreign chunk
// is inserted first: the first chunk alone then identifies the answer.
func injectFaults(t *rapid.T, chunks []string, faults []string, namesRequest bool) []string {
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		at := rapid.IntRange(0, len(chunks)-1).Draw(t, "at")
		switch rapid.SampledFrom(faults).Draw(t, "fault") {
		case "truncate":
			chunks = chunks[:max(at, 1)]
		case "repeat":
			to := rapid.IntRange(at, len(chunks)).Draw(t, "to")
			chunks = append(chunks[:to:to], append([]string{chunks[at]}, chunks[to:]...)...)
		case "swap":
			other := rapid.IntRange(0, len(chunks)-1).Draw(t, "other")
			chunks[at], chunks[other] = chunks[other], chunks[at]
		case "drop":
			chunks = append(chunks[:at:at], chunks[at+1:]...)
		case "foreign":
			foreign := script{id: "other", kind: KindChat}.chunk(0, "alien", 0, "")
			if !namesRequest {
				at = max(at, 1)
			}
			chunks = append(chunks[:at:at], append([]string{foreign}, chunks[at:]...)...)
		}
		if len(chunks) == 0 {
			return nil
		}
	}
	return chunks
}

// Whatever faults the chunks of each attempt have, the caller gets the complete text
// once, with one id, or an error event at the end.
func TestWholeTextOrErrorEvent(t *testing.T) {
	tests := []struct {
		name   string
		engine Profile
		faults []string
	}{
		{"an engine that names the request and counts each token", Profile{CanResume: true, CountsTokens: true, TokenPerChunk: true, NamesRequest: true}, []string{"truncate", "repeat", "swap", "drop", "foreign"}},
		{"an engine that counts tokens", Profile{CanResume: true, CountsTokens: true}, []string{"truncate", "repeat", "foreign"}},
		{"an engine that repeats the partial text", Profile{CanResume: true, Echoes: true}, []string{"truncate", "foreign"}},
		{"an engine that cannot resume", Profile{CountsTokens: true}, []string{"truncate", "repeat", "foreign"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkCompleteOrError(t, tt.engine, tt.faults) }) })
	}
}

func checkCompleteOrError(t *rapid.T, engine Profile, faults []string) {
	kind := rapid.SampledFrom([]Kind{KindChat, KindCompletion}).Draw(t, "kind")
	// With equal tokens in a row, a repeated chunk looks like the next token.
	tokens := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "aa", " <&é"}), 1, 12).Draw(t, "tokens")
	want := strings.Join(tokens, "")
	a, err := New(Config{Kind: kind, Body: bodyOf(kind), Model: "m", Engine: engine, RequestID: "r", Idempotent: true})
	assert.NilError(t, err)
	got, d := run(a, func(n int, body []byte) []string {
		partial := partialOf(kind, body)
		s := script{id: fmt.Sprint("id-r-", n+1), kind: kind, counts: engine.CountsTokens}
		chunks := s.chunks(tokens[tokensIn(t, tokens, partial):])
		if engine.Echoes && partial != "" {
			chunks = append([]string{s.chunk(0, partial, 0, "")}, chunks...)
		}
		return injectFaults(t, chunks, faults, engine.NamesRequest)
	})
	assert.Equal(t, len(got.ids) <= 1, true)
	assert.Equal(t, got.usages, 0)
	assert.Equal(t, a.Stats().Attempts <= defaultMaxAttempts, true)
	if d.Action == ActionFinish {
		assert.Equal(t, got.text, want)
		assert.Equal(t, got.finish == 1 && got.done == 1 && got.errors == 0, true, "%+v", got)
		return
	}
	assert.Equal(t, d.Action, ActionFail)
	assert.Equal(t, got.errors == 1 && got.done == 0, true, "%+v", got)
	assert.Equal(t, a.Stats().Tokens, 0)
}

// tokensIn returns the number of leading tokens that make up a partial text. The test
// fails if the text does not end at a token boundary, because the caller then has a
// wrong text.
func tokensIn(t *rapid.T, tokens []string, partial string) int {
	text := ""
	for i, token := range tokens {
		if text == partial {
			return i
		}
		text += token
	}
	assert.Equal(t, text, partial)
	return len(tokens)
}

func TestFeedFaults(t *testing.T) {
	s := script{id: "id", kind: KindChat}
	counted := script{id: "id", kind: KindChat, counts: true}
	tests := []struct {
		name   string
		chunks []string
		want   string
		action Action
	}{
		{"no finish reason", []string{s.chunk(0, "a", 0, ""), doneData}, "without a finish", ActionResume},
		{"text after the finish reason", []string{s.chunk(0, "a", 0, "stop"), s.chunk(0, "b", 0, "")}, "text after the finish", ActionFail},
		{"another id after an empty chunk", []string{s.chunk(0, "", 0, ""), script{id: "x", kind: KindChat}.chunk(0, "b", 0, "")}, "another answer", ActionRestart},
		{"another id after one chunk with text", []string{s.chunk(0, "a", 0, ""), script{id: "x", kind: KindChat}.chunk(0, "b", 0, "")}, "another answer", ActionFail},
		{"out of order", []string{counted.chunk(0, "a", 1, ""), counted.chunk(0, "c", 3, ""), counted.chunk(0, "b", 2, "")}, "out of order", ActionFail},
		{"index of another choice", []string{s.chunk(1, "a", 0, "")}, "not asked for", ActionRestart},
		{"another model", []string{strings.Replace(s.chunk(0, "a", 0, ""), `"m"`, `"x"`, 1)}, "another model", ActionRestart},
		{"invalid JSON", []string{s.chunk(0, "a", 0, ""), `{"id":`}, "no JSON", ActionResume},
		{"error from the engine", []string{s.chunk(0, "a", 0, ""), `{"error":{"message":"x"}}`}, "engine reported", ActionResume},
		{"more chunks than tokens", []string{
			s.chunk(0, "a", 0, ""), s.chunk(0, "a", 0, ""), s.chunk(0, "", 0, "stop"),
			`{"id":"id","created":1,"model":"m","choices":[],"usage":{"completion_tokens":1}}`,
		}, "more chunks than tokens", ActionFail},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, err := New(Config{Kind: KindChat, Body: bodyOf(KindChat), Model: "m", Engine: Profile{CanResume: true, CountsTokens: true}, Idempotent: true})
			assert.NilError(t, err)
			_, err = a.Begin()
			assert.NilError(t, err)
			for _, data := range tt.chunks {
				if _, err = a.Feed(Event{Data: []byte(data)}); err != nil {
					break
				}
			}
			assert.ErrorContains(t, err, tt.want)
			assert.Equal(t, a.End(err.Error()).Action, tt.action)
		})
	}
}

func TestUsageOfAResumedAnswer(t *testing.T) {
	body := []byte(`{"stream":true,"max_tokens":9,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"P"}]}`)
	a, err := New(Config{Kind: KindChat, Body: body, Engine: Profile{CanResume: true, CountsTokens: true}, Idempotent: true})
	assert.NilError(t, err)
	usage := `{"id":"id1","created":2,"model":"m","choices":[],"usage":{"prompt_tokens":5,"completion_tokens":1,"total_tokens":6}}`
	got, d := run(a, func(n int, body []byte) []string {
		s := script{id: fmt.Sprint("id", n), kind: KindChat, counts: true}
		if n == 0 {
			return s.chunks([]string{"a", "b", "c"})[:2]
		}
		assert.Assert(t, strings.Contains(string(body), `"max_tokens":7`), "%s", body)
		chunks := s.chunks([]string{"c"})
		return append(chunks[:len(chunks)-1], usage, doneData)
	})
	assert.Equal(t, d.Action, ActionFinish)
	assert.Equal(t, got.text, "abc")
	assert.Equal(t, a.Stats(), Stats{Attempts: 2, Tokens: 3})
}

func TestUnresumable(t *testing.T) {
	plain := `{"stream":true,"messages":[{"role":"user","content":"P"}]`
	tool := `{"id":"id","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}`
	tests := []struct {
		name, body, chunk, want string
	}{
		{"tool call", plain + `}`, tool, "more than text"},
		{"tools", plain + `,"tools":[{"type":"function"}]}`, "", `"tools"`},
		{"several choices", plain + `,"n":2}`, "", "several choices"},
		{"token limit reached", plain + `,"max_tokens":1}`, "", "token limit"},
		{"last message with content parts", `{"stream":true,"continue_final_message":true,"messages":[{"role":"assistant","content":[]}]}`, "", "prompt"},
		{"no messages", `{"stream":true,"messages":[]}`, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, err := New(Config{Kind: KindChat, Body: []byte(tt.body), Engine: Profile{CanResume: true}, Idempotent: true})
			assert.NilError(t, err)
			_, err = a.Begin()
			assert.NilError(t, err)
			data := tt.chunk
			if data == "" {
				data = script{id: "id", kind: KindChat}.chunk(0, "a", 0, "")
			}
			_, err = a.Feed(Event{Data: []byte(data)})
			assert.NilError(t, err)
			d := a.End("lost")
			assert.Equal(t, d.Action == ActionFail, tt.want != "", "%+v", d)
			assert.Assert(t, strings.Contains(d.Reason, tt.want), d.Reason)
		})
	}
}

func TestNotIdempotentIsNeverRunAgain(t *testing.T) {
	a, err := New(Config{Kind: KindChat, Body: bodyOf(KindChat), Engine: Profile{CanResume: true}})
	assert.NilError(t, err)
	got, d := run(a, func(int, []byte) []string { return nil })
	assert.Equal(t, d.Action, ActionFail)
	assert.Equal(t, got.errors, 1)
	assert.Equal(t, a.Stats().Attempts, 1)
}

func TestCheckBody(t *testing.T) {
	const form = `{"id":"x","model":"m","choices":[%s],"usage":{"completion_tokens":4}}`
	finished := `{"index":0,"finish_reason":"stop"}`
	tests := []struct {
		name, body, want string
	}{
		{"complete", fmt.Sprintf(form, finished), ""},
		{"no choices", fmt.Sprintf(form, ""), "without a finish"},
		{"no finish reason", fmt.Sprintf(form, `{"index":0,"finish_reason":null}`), "without a finish"},
		{"duplicate choice", fmt.Sprintf(form, finished+","+finished), "not asked for"},
		{"truncated", fmt.Sprintf(form, finished)[:30], "no JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u, err := CheckBody(Config{Body: bodyOf(KindChat), Model: "m"}, []byte(tt.body))
			if tt.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, u.CompletionTokens, 4)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func FuzzFeed(f *testing.F) {
	s := script{id: "id", kind: KindChat, counts: true}
	f.Add(s.chunk(0, "a", 1, ""), s.chunk(0, "b", 2, "stop"))
	f.Add(`{"id":"x","choices":[{"delta":null}]}`, `{"error":{}}`)
	f.Add("{\"id\":\"id\",\n\n\"choices\":[{\"delta\":{\"content\":\"a\"}}],\"usage\":{\"completion_tokens\":1}}", "{}")
	f.Fuzz(func(t *testing.T, first, second string) {
		a, err := New(Config{Kind: KindChat, Body: bodyOf(KindChat), Engine: Profile{CanResume: true, CountsTokens: true}, Idempotent: true})
		assert.NilError(t, err)
		got, d := run(a, func(int, []byte) []string { return []string{first, second, doneData} })
		assert.Equal(t, d.Action == ActionFinish, got.done == 1 && got.errors == 0)
	})
}
