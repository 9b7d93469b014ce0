package frame

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianwell/core/gwtest"
)

const smuggled = "POST /b HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\nhi"

// streams holds requests on one connection and their faults.
var streams = map[string]struct {
	stream string
	want   []Fault
}{
	"no body":         {"GET / HTTP/1.1\r\nHost: a\r\n\r\n" + smuggled, []Fault{FaultNone, FaultNone}},
	"length":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n1234\n\n" + smuggled, []Fault{FaultNone, FaultNone}},
	"equal lengths":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n1" + smuggled, []Fault{FaultNone, FaultNone}},
	"chunks":          {"POST / HTTP/1.1\r\nHost: a\r\ntransfer-encoding: chunked\r\n\r\nB;x=y\r\n12345\r\n6789\r\n2 \r\n\r\n\r\n0\r\n\r\n" + smuggled, []Fault{FaultNone, FaultNone}},
	"trailer":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\nContent-Length: 9\r\n x\r\n\r\n" + smuggled, []Fault{FaultNone, FaultNone}},
	"bare line feeds": {"POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nx" + smuggled, []Fault{FaultNone, FaultNone}},
	"folded field":    {"POST / HTTP/1.1\r\nHost: a\r\nX: y\r\n Content-Length: 9\r\n \r\nContent-Length: 1\r\n\r\nx" + smuggled, []Fault{FaultNone, FaultNone}},
	"empty lines":     {smuggled + "\r\n\r\n" + smuggled, []Fault{FaultNone, FaultNone}},
	"long lines":      {"GET /" + strings.Repeat("x", 2*maxLine) + " HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 2*maxLine) + "\r\n\r\n" + smuggled, []Fault{FaultNone, FaultNone}},
	"long extension":  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 2*maxLine) + "\r\nx\r\n0\r\n\r\n" + smuggled, []Fault{FaultNone, FaultNone}},

	"both lengths":                       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []Fault{FaultBothLengths}},
	"both lengths after a request":       {smuggled + "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled, []Fault{FaultNone, FaultBothLengths, FaultNotUnderstood}},
	"both lengths after an empty line":   {smuggled + "\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []Fault{FaultNone, FaultBothLengths}},
	"both lengths after line breaks":     {smuggled + "\n\r\n\rPOST / HTTP/1.1\nHost: a\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\r\n\r\n", []Fault{FaultNone, FaultBothLengths}},
	"both lengths after chunks":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []Fault{FaultNone, FaultBothLengths}},
	"both lengths in HTTP/1.0":           {"POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []Fault{FaultBothLengths}},
	"chunks in HTTP/1.0":                 {"POST / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []Fault{FaultOldVersion}},
	"folded length":                      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 5\r\n\r\nhello", []Fault{FaultNotUnderstood}},
	"length after very many spaces":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:" + strings.Repeat(" ", 2*maxLine) + "5\r\n\r\nhello", []Fault{FaultNotUnderstood}},
	"chunk too large for the scanner":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx", []Fault{FaultNone}},
	"request after a chunk without size": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\n" + smuggled, []Fault{FaultNone, FaultNotUnderstood}},
}

// faults returns those of the first n requests.
func faults(s *Scanner, n int) []Fault {
	var out []Fault
	for range n {
		out = append(out, s.Fault())
		s.Next()
	}
	return out
}

// Guards against a header that is not checked for two lengths because of what stands before
// it or where the reads that bring it end.
func TestFaultsOfRequests(t *testing.T) {
	for name, test := range streams {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.stream); size++ {
				var s Scanner
				for rest := []byte(test.stream); len(rest) > 0; rest = rest[min(size, len(rest)):] {
					s.Scan(rest[:min(size, len(rest))])
				}
				assert.DeepEqual(t, faults(&s, len(test.want)), test.want)
			}
		})
	}
}

// Scan returns the size of the header so far, also of one that follows a body in one read.
func TestSizeOfHeader(t *testing.T) {
	var s Scanner
	const begin = "GET / HTTP/1.1\r\nX: "
	assert.Equal(t, s.Scan([]byte(smuggled+begin)), strings.Index(smuggled, "hi"))
	assert.Equal(t, s.Scan([]byte("yy")), len(begin)+2)
	assert.Equal(t, s.Scan([]byte("\r\n\r\n")), len(begin)+6)
	assert.Equal(t, s.Scan([]byte("\r\nGET")), 5)
}

// countReader counts the bytes that were read.
type countReader struct {
	r io.Reader
	n int
}

func (c *countReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

// checkAgainstNetHTTP compares the scanner with net/http: of each request that net/http reads
// from the stream, the scanner has the faults that its header shows.
func checkAgainstNetHTTP(t assert.TestingT, stream []byte) {
	var s Scanner
	s.Scan(stream)
	counted := &countReader{r: bytes.NewReader(stream)}
	reader := bufio.NewReader(counted)
	for {
		start := counted.n - reader.Buffered()
		// As in net/http.Server, which skips line breaks after a POST.
		for peek, _ := reader.Peek(1); len(peek) > 0 && (peek[0] == '\r' || peek[0] == '\n'); peek, _ = reader.Peek(1) {
			_, _ = reader.Discard(1)
		}
		r, err := http.ReadRequest(reader)
		if err != nil || r.ProtoMajor != 1 {
			return
		}
		head := bytes.ToLower(stream[start : counted.n-reader.Buffered()])
		twoLengths := bytes.Contains(head, []byte("\ncontent-length:")) && bytes.Contains(head, []byte("\ntransfer-encoding:"))
		oldVersion := !r.ProtoAtLeast(1, 1) && bytes.Contains(head, []byte("\ntransfer-encoding:"))
		if fault := s.Fault(); fault != FaultNone {
			// The connection ends here.
			return
		}
		assert.Assert(t, !twoLengths && !oldVersion, "no fault in %q of %q", head, stream)
		s.Next()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// FuzzScanner looks for streams in which the scanner and net/http see different requests.
func FuzzScanner(f *testing.F) {
	for _, test := range streams {
		f.Add([]byte(test.stream))
	}
	f.Fuzz(func(t *testing.T, stream []byte) { checkAgainstNetHTTP(t, stream) })
}

func TestScannerAgainstNetHTTP(t *testing.T) {
	pieces := []string{
		"POST /a HTTP/1.1", "POST /a HTTP/1.0", "Host: a", "Content-Length: 5", "Content-Length:", "Transfer-Encoding: chunked", "transfer-encoding:", " chunked", " 5",
		"\r\n", "\r\n\r\n", "\n", "\r", " ", "hello", "5", "0", ";x", smuggled, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 20).Draw(t, "parts")
		checkAgainstNetHTTP(t, []byte(strings.Join(parts, "")))
	})
}
