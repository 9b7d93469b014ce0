package back

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Bytes after a response belong to no request: the connection is not used again, and the next
// request does not fail, also if net/http has handed the connection to it already.
func TestBytesAfterResponse(t *testing.T) {
	b := newTestClient(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, conn)
	}))
	for range 2000 {
		res, err := b.do(t, Request{Method: http.MethodPost, Path: "/", Body: []byte("x")}, nil)
		assert.NilError(t, err)
		assert.Equal(t, string(res.Body), "ok")
	}
}
