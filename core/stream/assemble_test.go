package stream

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

func newAssembled(kind Kind, body string) (*Answer, error) {
	return New(Config{
		Kind: kind, Body: []byte(body), Assemble: true, Idempotent: true,
		Engine: Profile{CanResume: true, CountsTokens: true},
	})
}

// A body assembled from several attempts has the text and the token count of a single
// attempt.
func TestBodyOfResumedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{KindChat, KindCompletion}).Draw(t, "kind")
		tokens := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", " <&é"}), 1, 12).Draw(t, "tokens")
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(tokens)), 0, 2).Draw(t, "cuts")
		a, err := newAssembled(kind, strings.Replace(string(bodyOf(kind)), "true", "false", 1))
		assert.NilError(t, err)
		_, d := run(a, func(n int, body []byte) []string {
			assert.Assert(t, is.Contains(string(body), `"stream":true`))
			s := script{id: fmt.Sprint("id", n), kind: kind, counts: true}
			chunks := s.chunks(tokens[tokensIn(t, tokens, partialOf(kind, body)):])
			usage := fmt.Sprintf(`{"id":"id%d","created":1,"model":"m","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":%d}}`, n, len(chunks)-2)
			chunks = append(chunks[:len(chunks)-1], usage, doneData)
			if n < len(cuts) {
				return chunks[:min(cuts[n], len(chunks)-3)]
			}
			return chunks
		})
		assert.Equal(t, d.Action, ActionFinish, d.Reason)
		body, err := a.Body()
		assert.NilError(t, err)
		usage, err := CheckBody(Config{Kind: kind, Body: bodyOf(kind)}, body)
		assert.NilError(t, err, "%s", body)
		assert.Equal(t, usage.CompletionTokens, len(tokens))
		data, err := encode(strings.Join(tokens, ""))
		assert.NilError(t, err)
		assert.Assert(t, is.Contains(string(body), string(data)))
	})
}

// Tool calls, log probabilities and unknown members are merged as the API's client
// libraries do.
func TestBodyOfToolCalls(t *testing.T) {
	a, err := newAssembled(KindChat, `{"messages":[{"role":"user","content":"P"}]}`)
	assert.NilError(t, err)
	const form = `{"id":"x","created":1,"model":"m","system_fingerprint":"f","choices":[{"index":0,"delta":%s,"logprobs":{"content":[{"token":"%d"}]},"finish_reason":%s}],"usage":{"completion_tokens":%d}}`
	deltas := []string{
		`{"role":"assistant","content":null,"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"plot","arguments":""}}]}`,
		`{"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"arguments":"{\"a\":"}}]}`,
		`{"tool_calls":[{"index":1,"id":"c2","type":"function","function":{"name":"ink","arguments":"{}"}}]}`,
		`{"tool_calls":[{"index":0,"function":{"arguments":"1}"}}]}`,
	}
	_, err = a.Begin()
	assert.NilError(t, err)
	// An attempt without content leaves no trace in the body.
	_, err = a.Feed(Event{Data: fmt.Appendf(nil, form, `{"role":"assistant"}`, 9, "null", 0)})
	assert.NilError(t, err)
	assert.Equal(t, a.End("lost").Action, ActionRestart)
	_, err = a.Begin()
	assert.NilError(t, err)
	for i, d := range append(deltas, `{}`) {
		finish := "null"
		if i == len(deltas) {
			finish = `"tool_calls"`
		}
		// Feed each chunk twice: the repeat must be dropped.
		for range 2 {
			_, err := a.Feed(Event{Data: fmt.Appendf(nil, form, d, i, finish, i+1)})
			assert.NilError(t, err)
		}
	}
	_, err = a.Body()
	assert.ErrorContains(t, err, "the answer is incomplete")
	_, err = a.Feed(Event{Data: []byte(doneData)})
	assert.NilError(t, err)
	body, err := a.Body()
	assert.NilError(t, err)
	for _, want := range []string{
		`"object":"chat.completion"`, `"system_fingerprint":"f"`, `"finish_reason":"tool_calls"`, `"content":null`,
		`{"function":{"arguments":"{\"a\":1}","name":"plot"},"id":"c1","index":0,"type":"function"}`,
		`"name":"ink"`, `"logprobs":{"content":[{"token":"0"},{"token":"1"},{"token":"2"},{"token":"3"},{"token":"4"}]}`,
	} {
		assert.Assert(t, is.Contains(string(body), want))
	}
}

func TestChoicesOfPromptLists(t *testing.T) {
	tests := []struct {
		body string
		want int
	}{
		{`{"prompt":"P"}`, 1},
		{`{"prompt":[1,2,3]}`, 1},
		{`{"prompt":["P","Q"],"n":2}`, 4},
		{`{"prompt":[[1],[2],[3]]}`, 3},
	}
	for _, tt := range tests {
		r, err := parseRequest(Config{Kind: KindCompletion, Body: []byte(tt.body)})
		assert.NilError(t, err)
		assert.Equal(t, r.choiceCount(), tt.want, tt.body)
	}
	assert.Assert(t, Streamable([]byte(`{"n":2,"best_of":1}`)))
	assert.Assert(t, !Streamable([]byte(`{"best_of":3}`)))
}
