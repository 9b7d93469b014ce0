package site

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/tree"
	"gentianwell/io/front"
)

// A team's limit applies across all entry VMs: together they let through at most
// limit x (T + 1 s burst) x (2 - 1/zones) requests, plus one for each VM. Refused requests
// are not run and have a Retry-After.
func TestLimitOverVMs(t *testing.T) {
	const limit, seconds = 10.0, 3.0
	s := New(t, Config{Entries: 3, Engines: 3, Edits: tree.Edits{
		{Path: "teams.judges.teamRequestsPerSecond", Value: json.RawMessage("10")},
	}})
	var passed, refused atomic.Int64
	var clients sync.WaitGroup
	started := time.Now()
	for i := range 6 {
		clients.Go(func() {
			for time.Since(started) < seconds*time.Second {
				resp := s.Post(t, i%3, "/v1/chat/completions", chatBody("limited", false), nil)
				text := readBody(t, resp)
				if resp.StatusCode == http.StatusOK {
					passed.Add(1)
					continue
				}
				refused.Add(1)
				assert.Check(t, resp.StatusCode == http.StatusTooManyRequests, text)
				assert.Check(t, resp.Header.Get(front.HeaderOutcome) == "notRun" && resp.Header.Get("Retry-After") != "")
			}
		})
	}
	clients.Wait()
	elapsed := time.Since(started).Seconds()
	bound := limit*(elapsed+1)*(2-1.0/3) + 3
	t.Logf("%d passed, %d refused in %.1f s, at most %.0f", passed.Load(), refused.Load(), elapsed, bound)
	assert.Assert(t, passed.Load() > 0 && float64(passed.Load()) <= bound)
}
