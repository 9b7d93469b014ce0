package fakes

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Runs is the response to GET /runs: how often each body (by its xxhash in hexadecimal)
// and each idempotency key was run.
type Runs struct {
	Bodies map[string]int `json:"bodies"`
	Keys   map[string]int `json:"keys"`
}

type runCounter struct {
	mu   sync.Mutex
	runs Runs
}

func newRunCounter() *runCounter {
	return &runCounter{runs: Runs{Bodies: map[string]int{}, Keys: map[string]int{}}}
}

// BodyKey returns the key of a body in Runs.Bodies.
func BodyKey(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func (c *runCounter) add(body []byte, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Bodies[BodyKey(body)]++
	if key != "" {
		c.runs.Keys[key]++
	}
}

func (c *runCounter) snapshot() Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Runs{Bodies: map[string]int{}, Keys: map[string]int{}}
	for k, n := range c.runs.Bodies {
		out.Bodies[k] = n
	}
	for k, n := range c.runs.Keys {
		out.Keys[k] = n
	}
	return out
}

func (c *runCounter) serve(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.snapshot()) }
