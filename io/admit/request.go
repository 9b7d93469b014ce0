package admit

import (
	"io"
	"net/http"
	"time"

	"gentianwell/core/guard"
)

// Hold counts bytes that a request holds beside its head, until Release or the end of the request. It
// returns false if they do not fit. Connections that no Listener has admitted hold what they want.
func Hold(r *http.Request, n int64) bool {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	return !ok || c.hold(n)
}

// Release gives back what Hold has counted.
func Release(r *http.Request, n int64) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.release(n)
	}
}

func (c *Conn) hold(n int64) bool {
	if c == nil {
		return true
	}
	c.l.mu.Lock()
	closed, ok := c.l.guard.Hold(time.Now(), c.id, n)
	victims := c.l.take(closed)
	if !ok {
		c.l.refused++
	}
	c.l.mu.Unlock()
	c.l.end(victims, closed)
	if !ok {
		c.l.warn("refused", guard.StateBody)
	}
	return ok
}

func (c *Conn) release(n int64) {
	if c == nil {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.guard.Release(c.id, n)
}

// serveCounted serves a request whose head could not be counted as it arrived, because it came
// encrypted or in HTTP/2. One that does not fit gets 503 and is not run.
func serveCounted(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	cost := guard.FieldsCost(r.Header)
	if !Hold(r, cost) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "memoryFull\n")
		return
	}
	defer Release(r, cost)
	handler.ServeHTTP(w, r)
}
