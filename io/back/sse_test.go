package back

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// FuzzEvents reads arbitrary input in one piece and byte by byte: both give the same
// raw events, which are a prefix of the input.
func FuzzEvents(f *testing.F) {
	f.Add("data: {}\n\n: ping\n\ndata: [DONE]\r\n\r\n")
	f.Add("data:a\ndata: b\nid: 1\n\ndata: cut off")
	f.Fuzz(func(t *testing.T, in string) {
		var whole, bytewise []string
		for s := newEventScanner(strings.NewReader(in), 1<<20); s.Scan(); {
			e := parseEvent(bytes.Clone(s.Bytes()))
			assert.Assert(t, len(e.Data) < len(e.Raw))
			whole = append(whole, string(e.Raw))
		}
		for s := newEventScanner(iotest.OneByteReader(strings.NewReader(in)), 1<<20); s.Scan(); {
			bytewise = append(bytewise, s.Text())
		}
		assert.DeepEqual(t, whole, bytewise)
		assert.Assert(t, strings.HasPrefix(in, strings.Join(whole, "")))
	})
}
