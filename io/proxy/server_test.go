package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/table"
	"gentianwell/io/back"
)

// testServer returns a server without a table and without replicas.
func testServer(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	router, err := route.New(route.Config{Self: "vm-1", Zone: "sala", Rand: rand.New(rand.NewPCG(1, 1))})
	assert.NilError(t, err)
	policy, err := retry.New(retry.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	assert.NilError(t, err)
	c := Config{
		Headers: HeaderCodec{
			ReadRequest:   func(http.Header) (RequestInfo, error) { return RequestInfo{ID: "1"}, nil },
			WriteRequest:  func(http.Header, AttemptInfo) {},
			ReadResponse:  func(int, http.Header, time.Time) ResponseInfo { return ResponseInfo{} },
			CleanResponse: func(http.Header) {},
		},
		Table: func() *table.Table { return nil }, Router: router, Retry: policy,
		Open: func(context.Context, back.Target, back.Request) (*back.Exchange, back.Result, error) {
			panic("not called")
		},
		Admit: func() bool { return true }, Stopping: func() bool { return false }, Finish: func() {},
		Random: rand.Float64, Now: time.Now, Log: log,
	}
	change(&c)
	s, err := New(c)
	assert.NilError(t, err)
	return s
}

// A request counts as in progress until its response was sent: a process that stops ends
// when none is left, and closes its connections then.
func TestRequestFinishesAfterItsResponseWasSent(t *testing.T) {
	for name, closes := range map[string]bool{"kept connection": false, "closed connection": true} {
		t.Run(name, func(t *testing.T) {
			finished, release := make(chan struct{}, 1), make(chan struct{})
			s := testServer(t, func(c *Config) {
				c.Stopping = func() bool { return closes }
				c.Finish = func() {
					finished <- struct{}{}
					<-release
				}
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := s.HTTP()
			go func() { _ = server.Serve(s.WrapListener(l)) }()
			t.Cleanup(func() { _ = server.Close() })
			client := http.Client{Timeout: 2 * time.Second}
			res, err := client.Get("http://" + l.Addr().String() + "/")
			close(release)
			assert.NilError(t, err)
			_, err = io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.NilError(t, res.Body.Close())
			select {
			case <-finished:
			case <-time.After(2 * time.Second):
				t.Fatal("the request has not finished")
			}
		})
	}
}
