package frame

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	// sent stands for a request between two responses.
	sent     = "\x00sent\x00"
	ok       = "HTTP/1.1 200 OK\r\n"
	complete = ok + "Content-Length: 2\r\n\r\nok"
)

// responses holds responses on one connection to requests with a method, and the fault of the last.
var responses = []struct {
	stream, method string
	want           Fault
}{
	{stream: complete + sent + complete},
	{stream: ok + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + sent + complete},
	{stream: ok + "Transfer-Encoding: Chunked\r\n\r\nB;x=y\r\n12345\r\n6789\r\n2 \r\n\r\n\r\n0\r\nX: y\r\n\r\n" + sent + complete},
	{stream: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + complete},
	{stream: "HTTP/1.1 204 No Content\r\n\r\n" + sent + "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n" + sent + complete},
	{stream: ok + "Content-Length: 5\r\n\r\n" + sent + ok + "Transfer-Encoding: chunked\r\n\r\n", method: http.MethodHead},
	{stream: "HTTP/1.0 404 Not Found\n" + "X-A:\nX-B: \t\x80\xff \n!#$%&'*+-.^_`|~09azAZ: x\r\n\r\nany\x00bytes\r\n"},
	{stream: "HTTP/1.1 101 Switching Protocols\r\n\r\nany\x00bytes"},
	{stream: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok" + sent + "HTTP/1.1 599 \r\nContent-Length: 0\r\n\r\n" + sent + complete},
	{stream: ok + strings.Repeat("x", 2*maxLine) + ": " + strings.Repeat("y", 2*maxLine) + "\r\n\r\n"},

	{stream: "\r\n" + complete, want: FaultStatusLine},
	{stream: complete + sent + "x", want: FaultStatusLine},
	{stream: complete + "x", want: FaultUnexpected},
	{stream: complete + complete, want: FaultUnexpected},
	{stream: "HTTP/1.1 204 No Content\r\n\r\n" + complete, want: FaultUnexpected},
	{stream: ok + "Content-Length: 0\r\n\r\n" + complete, want: FaultUnexpected},
	{stream: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + complete, want: FaultUnexpected},
	{stream: "HTTP/2.0 200 OK\r\n", want: FaultStatusLine},
	{stream: "HTTP/1.1  200 OK\r\n", want: FaultStatusLine},
	{stream: "HTTP/1.1 2000 OK\r\n", want: FaultStatusLine},
	{stream: "HTTP/1.1 +20 OK\r\n", want: FaultStatusLine},
	{stream: "HTTP/1.1 20\r\n", want: FaultStatusLine},
	{stream: "HTTP/1.1 200 O\x01K\r\n", want: FaultStatusLine},
	{stream: "HTTP/1.1 000 None\r\n", want: FaultStatus},
	{stream: "HTTP/1.1 099 Odd\r\n", want: FaultStatus},
	{stream: "HTTP/1.1 600 Odd\r\n", want: FaultStatus},
	{stream: "HTTP/1.1 999 Odd\r\n", want: FaultStatus},

	{stream: ok + "Content-Length : 2\r\n", want: FaultFieldName},
	{stream: ok + ": 2\r\n", want: FaultFieldName},
	{stream: "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n", want: FaultFieldName},
	{stream: ok + "X\r\n", want: FaultFieldName},
	{stream: ok + "X\r: y\r\n", want: FaultFieldName},
	{stream: ok + "X: y\rz\r\n", want: FaultFieldValue},
	{stream: ok + "X: y\x00\r\n", want: FaultFieldValue},
	{stream: ok + "X: y\x7f\r\n", want: FaultFieldValue},
	{stream: ok + " Content-Length: 2\r\n", want: FaultFolded},
	{stream: ok + "X: y\r\n\tz\r\n", want: FaultFolded},
	{stream: ok + "X: y\r\n \r\n", want: FaultFolded},
	{stream: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX : y\r\n", want: FaultFieldName},
	{stream: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n z\r\n", want: FaultFolded},

	{stream: ok + "Content-Length: 2\r\nContent-Length: 3\r\n", want: FaultBothLengths},
	{stream: ok + "Content-Length: +2\r\n", want: FaultNotUnderstood},
	{stream: ok + "Content-Length: 2, 2\r\n", want: FaultNotUnderstood},
	{stream: ok + "Content-Length:" + strings.Repeat(" ", 2*maxLine) + "5\r\n", want: FaultNotUnderstood},
	{stream: ok + "Transfer-Encoding: gzip, chunked\r\n", want: FaultNotUnderstood},
	{stream: ok + "Transfer-Encoding: chunked\r\n\r\nx\r\n", want: FaultNotUnderstood},
	{stream: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", want: FaultOldVersion},
}

// Guards against a fault that is not found, or a valid response that is refused, because of where
// the reads that bring it end. No byte after a fault is valid.
func TestFaultsOfResponses(t *testing.T) {
	for _, test := range responses {
		for size := 1; size <= len(test.stream); size++ {
			var s ResponseScanner
			s.SetMethod(test.method)
			fault, last := FaultNone, 0
			for part := range strings.SplitSeq(test.stream, sent) {
				assert.Equal(t, fault, FaultNone, "%q", test.stream)
				s.Sent()
				last = len(part)
				for rest := []byte(part); len(rest) > 0 && fault == FaultNone; rest = rest[min(size, len(rest)):] {
					var n int
					n, fault = s.Scan(rest[:min(size, len(rest))])
					last -= n
				}
			}
			assert.Equal(t, fault, test.want, "%q", test.stream)
			assert.Equal(t, last > 0, fault != FaultNone, "%q", test.stream)
			if fault != FaultNone {
				s.Sent()
				n, again := s.Scan([]byte(complete))
				assert.Assert(t, n == 0 && again == fault)
			}
		}
	}
}

// No other byte may be part of a name, at any place.
func TestBytesOfNames(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		for _, format := range []string{"%sX: y\r\n", "X%sX: y\r\n", "X%s: y\r\n"} {
			line := fmt.Sprintf(format, string([]byte{byte(b)}))
			var s ResponseScanner
			_, fault := s.Scan([]byte(ok + line))
			// A colon ends the name, a line feed at the beginning the header.
			valid := strings.IndexByte(token, byte(b)) >= 0 || b == ':' && line[0] != ':' || line[0] == '\n'
			assert.Equal(t, fault == FaultNone, valid, "%q", line)
		}
	}
}

// checkResponsesAgainstNetHTTP compares the scanner with net/http: of a response that net/http reads whole, the
// scanner finds the same end, or a fault.
func checkResponsesAgainstNetHTTP(t assert.TestingT, stream []byte, method string) {
	counted := &countReader{r: bytes.NewReader(stream)}
	reader := bufio.NewReader(counted)
	var s ResponseScanner
	s.SetMethod(method)
	for start := 0; ; {
		res, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil || res.StatusCode == http.StatusSwitchingProtocols {
			return
		}
		_, err = io.Copy(io.Discard, res.Body)
		end := counted.n - reader.Buffered()
		s.Sent()
		if _, fault := s.Scan(stream[start:end]); err != nil || fault != FaultNone {
			return
		}
		assert.Assert(t, s.state == stateStart && s.lineBytes == 0 || s.state == stateUnbounded && end == len(stream), "%q ends in %q", stream[start:end], s.state)
		start = end
	}
}

// FuzzResponseScanner looks for streams in which the scanner and net/http see different responses.
func FuzzResponseScanner(f *testing.F) {
	for _, test := range responses {
		f.Add([]byte(test.stream), test.method == http.MethodHead)
	}
	f.Fuzz(func(t *testing.T, stream []byte, head bool) {
		checkResponsesAgainstNetHTTP(t, stream, map[bool]string{true: http.MethodHead, false: http.MethodGet}[head])
	})
}

func TestResponseScannerAgainstNetHTTP(t *testing.T) {
	pieces := []string{
		ok, "HTTP/1.0 200 OK\r\n", "HTTP/1.1 204 None\r\n", "HTTP/1.1 100 Continue\r\n", "Content-Length: 5\r\n", "Content-Length:", "Transfer-Encoding: chunked\r\n", "transfer-encoding:",
		" chunked\r\n", " 5\r\n", "\r\n", "\r\n\r\n", "\n", "\r", " ", "hello", "5\r\n", "0\r\n", ";x", "X: y\r\n", complete, ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 20).Draw(t, "parts")
		checkResponsesAgainstNetHTTP(t, []byte(strings.Join(parts, "")), rapid.SampledFrom([]string{http.MethodGet, http.MethodHead}).Draw(t, "method"))
	})
}
