package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEngine starts an engine with the model drafts.
func startEngine(t *testing.T, c EngineConfig) (*Engine, *httptest.Server) {
	t.Helper()
	c.ID = "engine-1"
	c.Models = []string{"drafts"}
	e, err := NewEngine(c)
	assert.NilError(t, err)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	return e, srv
}

func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	res, err := http.Post(url, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(data)
}

func TestEngineResumesPartialAnswer(t *testing.T) {
	_, srv := startEngine(t, EngineConfig{})
	want := AnswerText("hello", 0, -1)
	tests := []struct{ name, path, body, want string }{
		{"chat", "/v1/chat/completions", `{"model":"drafts","messages":[{"role":"user","content":"hello"}]}`, want},
		{"completion", "/v1/completions", `{"model":"drafts","prompt":"hello"}`, want},
		{
			"resumed chat", "/v1/chat/completions", `{"model":"drafts","continue_final_message":true,"messages":[` +
				`{"role":"user","content":"hello"},{"role":"assistant","content":"` + want[:10] + `"}]}`, want[10:],
		},
		{"resumed completion", "/v1/completions", `{"model":"drafts","prompt":"hello` + want[:10] + `"}`, want[10:]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, body := post(t, srv.URL+tt.path, tt.body)
			assert.Equal(t, status, http.StatusOK)
			var got wireAnswer
			assert.NilError(t, json.Unmarshal([]byte(body), &got))
			text := got.Choices[0].Text
			if text == nil {
				text = &got.Choices[0].Message.Content
			}
			assert.Equal(t, *text, tt.want)
		})
	}
}

func TestEngineOrders(t *testing.T) {
	tests := []struct {
		name  string
		check bool
		want  int
	}{
		{"checks the fencing token", true, http.StatusConflict},
		{"ignores the fencing token", false, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, srv := startEngine(t, EngineConfig{CheckFencing: tt.check})
			status, _ := post(t, srv.URL+"/orders", `{"fencing":7,"model":"x","action":"load"}`)
			assert.Equal(t, status, http.StatusOK)
			status, _ = post(t, srv.URL+"/orders", `{"fencing":6,"model":"x","action":"unload"}`)
			assert.Equal(t, status, tt.want)
		})
	}
}

func TestEngineCrashMarkerAndRevive(t *testing.T) {
	e, srv := startEngine(t, EngineConfig{})
	body := `{"model":"drafts","prompt":"` + CrashMarker + `"}`
	_, err := http.Post(srv.URL+"/v1/completions", "application/json", strings.NewReader(body))
	assert.Assert(t, err != nil)
	_, err = http.Get(srv.URL + "/v1/models")
	assert.Assert(t, err != nil)
	e.Inject(Fault{Kind: FaultRevive})
	status, _ := post(t, srv.URL+"/v1/completions", `{"model":"drafts","prompt":"a"}`)
	assert.Equal(t, status, http.StatusOK)
}

func TestSlotsAdmitByPriority(t *testing.T) {
	s := newSlots(1, 8, 0)
	assert.NilError(t, s.acquire(t.Context(), 0))
	var waiting []*waiter
	for _, priority := range []int{3, 1, 2} {
		w := &waiter{priority: priority, ready: make(chan struct{})}
		assert.NilError(t, s.enqueue(w))
		waiting = append(waiting, w)
	}
	s.release()
	select {
	case <-waiting[1].ready:
	default:
		t.Fatal("priority 1 was not admitted first")
	}
	assert.Equal(t, s.report().waiting, 2)
}

func TestCacheEventsDelayedAndDropped(t *testing.T) {
	p := newPrefixCache(EngineConfig{CacheBlocks: 2, DropEventEvery: 3, ReportLag: time.Hour})
	assert.Equal(t, p.use(strings.Repeat("x", 3*BlockBytes)), 3)
	assert.Equal(t, len(p.eventsAfter(0).Events), 0)
	p.lag = 0
	var got []int64
	for _, e := range p.eventsAfter(0).Events {
		got = append(got, e.Seq)
	}
	assert.DeepEqual(t, got, []int64{1, 2, 4})
}
