package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// serve starts a server that runs jobs with the given function.
func serve(t *testing.T, run func(*runner.Job, runner.Sink) runner.Answer, change func(*Config)) *httptest.Server {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	c := Config{
		Team: func(bearer string) (call.Team, bool) { return "judges", bearer == "k" },
		Policy: func(_ call.Team, class call.Class) (Policy, error) {
			if class == "none" {
				return Policy{}, errors.NotFoundf("class none")
			}
			return Policy{Class: "plot", Tier: 0, Deadline: time.Minute}, nil
		},
		Service: func(path string) (Service, bool) {
			return Service{Name: "ledger", Prefix: "/ledger", Idempotent: []string{"GET"}}, strings.HasPrefix(path, "/ledger/")
		},
		Models: func() []call.Model { return []call.Model{"drafts"} },
		Run: func(_ context.Context, job *runner.Job, sink runner.Sink) runner.Answer {
			return run(job, sink)
		},
		Admit: func() bool { return true }, Finish: func() {}, Ready: func() bool { return true },
		Now: time.Now, NewID: func() string { return "id-1" }, Log: log, MaxBodyBytes: 1 << 10,
	}
	if change != nil {
		change(&c)
	}
	s, err := New(c)
	assert.NilError(t, err)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return srv
}

func post(t *testing.T, srv *httptest.Server, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, srv.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer k")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func text(t *testing.T, resp *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(raw)
}

func notReached(*runner.Job, runner.Sink) runner.Answer { panic("the job must not be run") }

const goodBody = `{"model":"drafts","messages":[{"role":"user","content":"hi"}]}`

func TestRefusals(t *testing.T) {
	tests := []struct {
		name, path, body string
		header           []string
		wantStatus       int
		wantBody         string
	}{
		{"no JSON", "/v1/chat/completions", "hello", nil, 400, "no JSON"},
		{"no model", "/v1/chat/completions", `{"messages":[1]}`, nil, 400, "model is missing"},
		{"no messages", "/v1/chat/completions", `{"model":"drafts"}`, nil, 400, "messages and prompt"},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, 404, "model_not_found"},
		{"no key", "/v1/chat/completions", goodBody, []string{"Authorization", ""}, 401, "invalid_api_key"},
		{"wrong key", "/ledger/payments", "", []string{"Authorization", "Bearer x"}, 401, "invalid_api_key"},
		{"unknown class", "/v1/chat/completions", goodBody, []string{HeaderClass, "none"}, 400, "unknown_class"},
		{"bad deadline", "/v1/chat/completions", goodBody, []string{HeaderDeadline, "soon"}, 400, "invalid_deadline"},
		{"unknown path", "/elsewhere", "", nil, 404, "unknown_path"},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 2<<10), nil, 413, "body_too_large"},
	}
	srv := serve(t, notReached, nil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := post(t, srv, tt.path, tt.body, tt.header...)
			got := text(t, resp)
			assert.Equal(t, resp.StatusCode, tt.wantStatus, got)
			assert.Assert(t, strings.Contains(got, tt.wantBody), got)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), "notRun")
			assert.Equal(t, resp.Header.Get(HeaderRequestID), "id-1")
		})
	}
}

// A VM that has no settings yet knows no team. It answers 503 and not 401, since the
// caller made no mistake.
func TestNoSettingsYet(t *testing.T) {
	srv := serve(t, notReached, func(c *Config) { c.HasSettings = func() bool { return false } })
	for _, path := range []string{"/v1/chat/completions", "/ledger/payments"} {
		resp := post(t, srv, path, goodBody)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get(HeaderReason), "noSettings")
		assert.Equal(t, resp.Header.Get(HeaderOutcome), "notRun")
		assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	}
}

func TestStoppingRefuses(t *testing.T) {
	srv := serve(t, notReached, func(c *Config) { c.Admit = func() bool { return false } })
	resp := post(t, srv, "/v1/chat/completions", goodBody)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "notRun")
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	assert.Assert(t, resp.Close, "the connection is not closed")
}

func TestRefusedJob(t *testing.T) {
	srv := serve(t, func(*runner.Job, runner.Sink) runner.Answer {
		return runner.Answer{Outcome: call.OutcomeNotRun, Status: 429, Reason: "queueFull", RetryAfter: 2500 * time.Millisecond}
	}, nil)
	resp := post(t, srv, "/v1/chat/completions", goodBody)
	assert.Equal(t, resp.StatusCode, 429)
	assert.Equal(t, resp.Header.Get("Retry-After"), "3")
	assert.Equal(t, resp.Header.Get("Retry-After-Ms"), "2500")
	assert.Assert(t, strings.Contains(text(t, resp), `"type":"rate_limit_error"`))
}

func TestJob(t *testing.T) {
	var got *runner.Job
	srv := serve(t, func(job *runner.Job, sink runner.Sink) runner.Answer {
		got = job
		assert.NilError(t, sink.Start(http.StatusCreated, http.Header{"Content-Type": {"application/json"}, "X-Booking": {"b-1"}}))
		assert.NilError(t, sink.Write([]byte("{}")))
		return runner.Answer{Started: true, Outcome: call.OutcomeRan}
	}, nil)
	resp := post(t, srv, "/ledger/payments%2F7?x=1", `{"amount":1}`, HeaderIdempotencyKey, "k-1", HeaderDeadline, "2s", "X-Member", "m-7")
	assert.Equal(t, resp.StatusCode, 201)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "ran")
	assert.Equal(t, text(t, resp), "{}")
	assert.Equal(t, got.Path, "/payments%2F7?x=1")
	assert.Equal(t, got.Header.Get("X-Member"), "m-7")
	assert.Equal(t, got.Header.Get("Authorization"), "")
	assert.Equal(t, resp.Header.Get("X-Booking"), "b-1")
	assert.Equal(t, got.Call.Key, "k-1")
	assert.Equal(t, got.AtMostOnce, true)
	assert.Equal(t, got.Call.Deadline.Sub(got.Call.Arrived), 2*time.Second)
}

// An incomplete answer never looks complete: a stream ends with an error event instead
// of its final [DONE] event, any other answer with a closed connection.
func TestFailedAnswers(t *testing.T) {
	srv := serve(t, func(_ *runner.Job, sink runner.Sink) runner.Answer {
		assert.NilError(t, sink.Start(http.StatusOK, http.Header{}))
		assert.NilError(t, sink.Write([]byte("data: {}\n\n")))
		return runner.Answer{Started: true, Failed: true, Outcome: call.OutcomeUnknown, Reason: runner.ReasonIncomplete}
	}, nil)
	resp := post(t, srv, "/v1/chat/completions", strings.Replace(goodBody, "{", `{"stream":true,`, 1))
	got := text(t, resp)
	assert.Assert(t, strings.Contains(got, `data: {"error":`), got)
	assert.Assert(t, !strings.Contains(got, "[DONE]"), got)

	resp = post(t, srv, "/v1/chat/completions", goodBody)
	_, err := io.ReadAll(resp.Body)
	assert.ErrorContains(t, err, "unexpected EOF")
}

// Guards against text in the body of a request that runs as a request of its own.
func TestBodyRunsNoRequestOfItsOwn(t *testing.T) {
	const inner = "POST /ledger/inner HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\nContent-Length: 1\r\n\r\nx"
	for name, head := range map[string]string{
		"both lengths":       fmt.Sprintf("POST /ledger/a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(inner)+5),
		"chunks in HTTP/1.0": "POST /ledger/a HTTP/1.0\r\nConnection: keep-alive\r\nAuthorization: Bearer k\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			srv := serve(t, func(*runner.Job, runner.Sink) runner.Answer {
				runs.Add(1)
				return runner.Answer{Outcome: call.OutcomeRan, Status: http.StatusOK}
			}, nil)
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { assert.Check(t, conn.Close()) })
			_, err = io.WriteString(conn, head+inner)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err = io.Copy(io.Discard, conn)
			assert.Check(t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
			assert.Equal(t, runs.Load(), int64(1))
		})
	}
}

func TestModels(t *testing.T) {
	srv := serve(t, notReached, nil)
	req, err := http.NewRequest(http.MethodGet, srv.URL+"/v1/models", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, text(t, resp), `{"object":"list","data":[{"id":"drafts","object":"model","created":0,"owned_by":"gentianwell"}]}`+"\n")
}

func FuzzParsePrompt(f *testing.F) {
	for _, seed := range []string{goodBody, `{"model":"m","prompt":["a"],"max_tokens":-1}`, `[]`, `{"model":1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := parsePrompt(body)
		if err != nil {
			return
		}
		if p.Model == "" || p.maxTokens() < 0 || len(p.prefixes()) > maxBlocks {
			t.Errorf("accepted %+v", p)
		}
	})
}
