package site

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	openai "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/ssestream"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/fakes"
	"gentianwell/io/relay"
)

// silence is the progress timeout of the site's settings in these tests.
const silence = 400 * time.Millisecond

// relayed is a site whose backend servers stand behind relays.
type relayed struct {
	*Site
	relays map[call.VMID]*relay.Relay
}

func newRelayed(t *testing.T, c Config) *relayed {
	t.Helper()
	r := &relayed{relays: map[call.VMID]*relay.Relay{}}
	c.Address = func(id call.VMID, to netip.AddrPort) netip.AddrPort {
		between, err := relay.New(relay.Config{Target: to})
		assert.NilError(t, err)
		t.Cleanup(between.Close)
		r.relays[id] = between
		return between.Address()
	}
	c.Edits = append(c.Edits, tree.Edit{Path: "site.progressTimeout", Value: json.RawMessage(`"` + silence.String() + `"`)})
	r.Site = New(t, c)
	return r
}

// each does something to the relay of each engine.
func (r *relayed) each(do func(*relay.Relay)) {
	for _, between := range r.relays {
		do(between)
	}
}

// client is the official client of the API before entry VM 0.
func (s *Site) client() openai.Client {
	url := "http://" + s.Entries[0].CallerAddress.String() + "/v1"
	return openai.NewClient(option.WithBaseURL(url), option.WithAPIKey(TeamKey), option.WithMaxRetries(0))
}

func chatParams(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "drafts",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// answered is a stream as the official client saw it.
type answered struct {
	text, finish string
	chunks       int
	err          error
}

func readAll(stream *ssestream.Stream[openai.ChatCompletionChunk], onChunk func(n int)) answered {
	var acc openai.ChatCompletionAccumulator
	var a answered
	for stream.Next() {
		a.chunks++
		onChunk(a.chunks)
		acc.AddChunk(stream.Current())
	}
	a.err = stream.Err()
	if len(acc.Choices) > 0 {
		a.text, a.finish = acc.Choices[0].Message.Content, acc.Choices[0].FinishReason
	}
	return a
}

// An engine or its connection fails in mid-stream: the official client gets the
// whole answer all the same.
func TestStreamSurvives(t *testing.T) {
	const prompt = "hello [[length=200]]"
	tests := []struct {
		name  string
		fault func(*relayed)
	}{
		{"connections are cut", func(r *relayed) { r.each((*relay.Relay).Reset) }},
		{"connections go silent", func(r *relayed) { r.each((*relay.Relay).Freeze) }},
		{"engine crashes", func(r *relayed) { r.busy(t).Inject(fakes.Fault{Kind: fakes.FaultCrash}) }},
	}
	s := newRelayed(t, Config{Entries: 1, Engines: 3})
	client := s.client()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := readAll(client.Chat.Completions.NewStreaming(t.Context(), chatParams(prompt)), func(n int) {
				if n == 20 {
					tt.fault(s)
				}
			})
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fakes.AnswerText(prompt, 0, -1))
			assert.Equal(t, got.finish, "stop")
		})
	}
}

// busy returns the engine that runs the one request.
func (r *relayed) busy(t *testing.T) *fakes.Engine {
	t.Helper()
	for _, e := range r.Engines {
		if e.Running() > 0 {
			return e
		}
	}
	t.Fatal("no engine is busy")
	return nil
}

// Every engine crashes in mid-stream: the official client gets an error, not a
// short answer.
func TestStreamFailsOpenly(t *testing.T) {
	s := New(t, Config{Entries: 1, Engines: 3})
	client := s.client()
	got := readAll(client.Chat.Completions.NewStreaming(t.Context(), chatParams("hello [[length=200]]")), func(n int) {
		if n == 20 {
			for _, e := range s.Engines {
				e.Inject(fakes.Fault{Kind: fakes.FaultCrash})
			}
		}
	})
	assert.ErrorContains(t, got.err, "not whole")
	assert.Equal(t, got.finish, "")
}

// Connections that went silent while idle cost one progress timeout, and the
// answer comes over a new connection.
func TestIdleConnectionsGoSilent(t *testing.T) {
	s := newRelayed(t, Config{Entries: 1, Engines: 3})
	client := s.client()
	for range 6 {
		_, err := client.Chat.Completions.New(t.Context(), chatParams("hello"))
		assert.NilError(t, err)
	}
	s.each((*relay.Relay).Freeze)
	for range 6 {
		// Far below the time that a new connection is given for its first byte.
		ctx, cancel := context.WithTimeout(t.Context(), 20*silence)
		got, err := client.Chat.Completions.New(ctx, chatParams("again"))
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, fakes.AnswerText("again", 0, -1))
	}
}
