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

// A team's limit holds over all entry VMs: within the stated bound it lets in
// limit x (T + 1 s burst) x (2 - 1/zones) and one for each VM; what is refused is
// not run and says when to come back.
func TestLimitOverVMs(t *testing.T) {
	const limit, seconds = 10.0, 3.0
	s := New(t, Config{Entries: 3, Engines: 3, Edits: tree.Edits{
		{Path: "teams.judges.teamRequestsPerSecond", Value: json.RawMessage("10")},
	}})
	var passed, refused atomic.Int64
	var callers sync.WaitGroup
	began := time.Now()
	for i := range 6 {
		callers.Go(func() {
			for time.Since(began) < seconds*time.Second {
				resp := s.Post(t, i%3, "/v1/chat/completions", body("limited", false), nil)
				text := read(t, resp)
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
	callers.Wait()
	took := time.Since(began).Seconds()
	most := limit*(took+1)*(2-1.0/3) + 3
	t.Logf("%d passed, %d refused in %.1f s, at most %.0f", passed.Load(), refused.Load(), took, most)
	assert.Assert(t, passed.Load() > 0 && float64(passed.Load()) <= most)
}
