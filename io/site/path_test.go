package site

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/io/fakes"
	"gentianwell/io/front"
)

// chatBody returns the body of a chat request.
func chatBody(prompt string, stream bool) string {
	text := `{"model":"drafts","max_tokens":8,"messages":[{"role":"user","content":"` + prompt + `"}]`
	if stream {
		text += `,"stream":true`
	}
	return text + "}"
}

func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(raw)
}

// Every entry VM returns a streamed and a non-streamed answer, and a payment is booked once.
func TestAnswersAndPayment(t *testing.T) {
	s := New(t, Config{Entries: 3, Engines: 3, Services: 1})
	for i := range s.Entries {
		resp := s.Post(t, i, "/v1/chat/completions", chatBody("hello", true), map[string]string{front.HeaderClass: "plot"})
		got := readBody(t, resp)
		assert.Equal(t, resp.StatusCode, http.StatusOK, got)
		assert.Assert(t, strings.HasSuffix(got, "data: [DONE]\n\n"), got)
		assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "ran")

		resp = s.Post(t, i, "/v1/chat/completions", chatBody("hello", false), nil)
		got = readBody(t, resp)
		assert.Assert(t, strings.Contains(got, fakes.AnswerText(fakes.ChatPrompt("hello"), 0, 8)), got)
	}
	resp := s.Post(t, 0, "/ledger/payments", `{"amount":1}`, map[string]string{front.HeaderIdempotencyKey: "k1"})
	assert.Equal(t, resp.StatusCode/100, 2, readBody(t, resp))
	assert.Equal(t, len(s.Ledgers[0].Bookings().Bookings), 1)
}

// An engine that is listed with a model but has not loaded it costs one more attempt, on
// another engine, and no request fails.
func TestModelNotLoaded(t *testing.T) {
	s := New(t, Config{Entries: 1, Engines: 2, Engine: func(c *fakes.EngineConfig) {
		if c.ID == "m0" {
			c.Models = []string{"other"}
		}
	}})
	address := netip.MustParseAddrPort(s.Servers[1].Listener.Addr().String())
	s.PutVM(t, member.VM{
		ID: "m0", Zone: zone(0), Role: member.RoleEngine, Address: address,
		Models: []call.Model{"drafts"}, State: member.StateLive,
	})
	time.Sleep(100 * time.Millisecond)
	for range 8 {
		resp := s.Post(t, 0, "/v1/chat/completions", chatBody("hello", false), nil)
		got := readBody(t, resp)
		assert.Equal(t, resp.StatusCode, http.StatusOK, got)
	}
}
