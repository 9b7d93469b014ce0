package back

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseKeepAlive(t *testing.T) {
	for _, test := range []struct {
		values []string
		want   time.Duration
		ok     bool
	}{
		{values: nil},
		{values: []string{"timeout=5"}, want: 5 * time.Second, ok: true},
		{values: []string{"max=100, Timeout=0"}, ok: true},
		{values: []string{"max=100", "timeout=1"}, want: time.Second, ok: true},
		{values: []string{"timeout"}},
		{values: []string{"timeout=-1"}},
		{values: []string{"timeout=1.5"}},
		{values: []string{"timeout=99999999999"}},
	} {
		got, ok := keepAliveTimeout(http.Header{"Keep-Alive": test.values})
		assert.Equal(t, got, test.want, "%q", test.values)
		assert.Equal(t, ok, test.ok, "%q", test.values)
	}
}
