package site

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/poison"
	"gentianwell/io/fakes"
)

// A request crashes every engine that runs it, and its caller repeats it through one entry
// VM after the other. It crashes no more engines than the cap and gets a final response
// from every VM. The streams that the crashes interrupt are completed on other engines.
func TestRequestThatCrashesEngines(t *testing.T) {
	var crashes atomic.Int32
	s := New(t, Config{Entries: 3, Engines: 6, Engine: func(c *fakes.EngineConfig) {
		c.Crash = func() { crashes.Add(1) }
	}})
	var others sync.WaitGroup
	for i := range 12 {
		others.Go(func() {
			prompt := fmt.Sprintf("bystander %d", i)
			resp := s.Post(t, i%3, "/v1/chat/completions", chatBody(prompt, true), nil)
			assert.Check(t, resp.StatusCode == http.StatusOK, readBody(t, resp))
		})
	}
	for i := range 9 {
		resp := s.Post(t, i%3, "/v1/chat/completions", chatBody(fakes.CrashMarker, false), nil)
		text := readBody(t, resp)
		assert.Assert(t, resp.StatusCode >= http.StatusBadRequest, text)
		if wait, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			// Retry-After is long enough for all VMs to learn of the crash.
			time.Sleep(time.Duration(wait) * time.Second)
		}
		if i > 0 {
			assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity, text)
			assert.Equal(t, resp.Header.Get("Gentianwell-Outcome"), "notRun")
		}
	}
	others.Wait()
	limit := poison.Config{}.Defaults().Cap(1)
	assert.Assert(t, int(crashes.Load()) <= limit, "%d engines crashed, cap %d", crashes.Load(), limit)
	assert.Assert(t, crashes.Load() > 0)
}
