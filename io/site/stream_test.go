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

// progressTimeout is the setting site.progressTimeout of these tests.
const progressTimeout = 400 * time.Millisecond

// relayedSite is a site whose entry VMs reach the backend servers through relays.
type relayedSite struct {
	*Site
	relays map[call.VMID]*relay.Relay
}

func newRelayedSite(t *testing.T, c Config) *relayedSite {
	t.Helper()
	r := &relayedSite{relays: map[call.VMID]*relay.Relay{}}
	c.Address = func(id call.VMID, to netip.AddrPort) netip.AddrPort {
		rel, err := relay.New(relay.Config{Target: to})
		assert.NilError(t, err)
		t.Cleanup(rel.Close)
		r.relays[id] = rel
		return rel.Address()
	}
	c.Edits = append(c.Edits, tree.Edit{Path: "site.progressTimeout", Value: json.RawMessage(`"` + progressTimeout.String() + `"`)})
	r.Site = New(t, c)
	return r
}

// eachRelay calls do with the relay of each backend server.
func (r *relayedSite) eachRelay(do func(*relay.Relay)) {
	for _, rel := range r.relays {
		do(rel)
	}
}

// client returns an official OpenAI client for entry VM 0.
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

// streamResult is what the official client received of a stream.
type streamResult struct {
	text, finish string
	chunks       int
	err          error
}

func readAll(stream *ssestream.Stream[openai.ChatCompletionChunk], onChunk func(n int)) streamResult {
	var acc openai.ChatCompletionAccumulator
	var result streamResult
	for stream.Next() {
		result.chunks++
		onChunk(result.chunks)
		acc.AddChunk(stream.Current())
	}
	result.err = stream.Err()
	if len(acc.Choices) > 0 {
		result.text, result.finish = acc.Choices[0].Message.Content, acc.Choices[0].FinishReason
	}
	return result
}

// An engine or its connection fails in the middle of a stream. The official client still
// gets the complete answer.
func TestStreamSurvivesFaults(t *testing.T) {
	const prompt = "hello [[length=200]]"
	tests := []struct {
		name  string
		fault func(*relayedSite)
	}{
		{"connections are cut", func(r *relayedSite) { r.eachRelay((*relay.Relay).Reset) }},
		{"connections go silent", func(r *relayedSite) { r.eachRelay((*relay.Relay).Freeze) }},
		{"engine crashes", func(r *relayedSite) { r.busyEngine(t).Inject(fakes.Fault{Kind: fakes.FaultCrash}) }},
	}
	s := newRelayedSite(t, Config{Entries: 1, Engines: 3})
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

// busyEngine returns the first engine that runs a request.
func (r *relayedSite) busyEngine(t *testing.T) *fakes.Engine {
	t.Helper()
	for _, e := range r.Engines {
		if e.Running() > 0 {
			return e
		}
	}
	t.Fatal("no engine runs a request")
	return nil
}

// All engines crash in the middle of a stream. The official client gets an error, not a
// truncated answer that looks complete.
func TestStreamFailsWithError(t *testing.T) {
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

// Idle connections stop carrying data. A request on one of them costs one progress timeout
// and is then answered on a new connection.
func TestFrozenIdleConnections(t *testing.T) {
	s := newRelayedSite(t, Config{Entries: 1, Engines: 3})
	client := s.client()
	for range 6 {
		_, err := client.Chat.Completions.New(t.Context(), chatParams("hello"))
		assert.NilError(t, err)
	}
	s.eachRelay((*relay.Relay).Freeze)
	for range 6 {
		// This is far below the time that a new connection has for its first byte.
		ctx, cancel := context.WithTimeout(t.Context(), 20*progressTimeout)
		got, err := client.Chat.Completions.New(ctx, chatParams("again"))
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, fakes.AnswerText("again", 0, -1))
	}
}
