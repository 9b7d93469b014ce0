package back

import (
	"io"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// net/http hands a connection to the next attempt as soon as a response was read to its
// end, before the attempt that read it has ended. Neither the end of that attempt nor a
// silence on another connection may close the connection under the next one.
func TestConnectionOfNextAttemptStaysOpen(t *testing.T) {
	for name, end := range map[string]error{"complete": nil, "found invalid at its end": errors.New("invalid")} {
		t.Run(name, func(t *testing.T) {
			arrived, release := make(chan string, 1), make(chan struct{})
			b := newTestClient(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				switch r.URL.Path {
				case "/slow":
					arrived <- r.RemoteAddr
					<-release
				case "/silent":
					<-r.Context().Done()
				}
				_, _ = io.WriteString(w, r.RemoteAddr)
			}))
			first, _, err := b.client.Open(t.Context(), b.target, Request{Path: "/first"})
			assert.NilError(t, err)
			usedByFirst, err := io.ReadAll(first)
			assert.NilError(t, err)

			type outcome struct {
				result Result
				err    error
			}
			slow := make(chan outcome)
			go func() {
				result, err := b.client.Do(t.Context(), b.target, Request{Path: "/slow", FirstByteTimeout: 20 * testTimeout, ProgressTimeout: 20 * testTimeout}, discard)
				slow <- outcome{result, err}
			}()
			assert.Equal(t, <-arrived, string(usedByFirst))
			first.End(end)
			silent, err := b.client.Do(t.Context(), b.target, Request{Path: "/silent"}, discard)
			assert.Equal(t, silent.Ending, EndingSilent, "%v", err)
			close(release)
			got := <-slow
			assert.NilError(t, got.err)
			assert.Equal(t, got.result.Ending, EndingComplete)
		})
	}
}
