package back

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/stream"
)

// rawServer responds to each request with the same bytes, at almost no cost.
func rawServer(b *testing.B, answer []byte) Target {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go rawServe(c, answer)
		}
	}()
	return Target{ID: "raw", Address: l.Addr().(*net.TCPAddr).AddrPort()}
}

func rawServe(c net.Conn, answer []byte) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 512)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// streamResponse returns an HTTP response that streams a number of tokens, with one
// chunk of the transfer encoding per token, as an engine writes it. If complete is
// false, the response lacks its finish reason, [DONE] and last chunk.
func streamResponse(tokens int, complete bool) []byte {
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	event := func(data string) { fmt.Fprintf(&out, "%x\r\ndata: %s\n\n\r\n", len(data)+8, data) }
	const format = `{"id":"x","object":"chat.completion.chunk","created":1,"model":"drafts","choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}}`
	for i := range tokens {
		event(fmt.Sprintf(format, " token", "null", i+1, i+10))
	}
	if complete {
		event(fmt.Sprintf(format, "", `"stop"`, tokens, tokens+9))
		event(doneData)
		out.WriteString("0\r\n\r\n")
	}
	return []byte(out.String())
}

func newAnswer(b *testing.B) *stream.Answer {
	a, err := stream.New(stream.Config{Kind: stream.KindChat, Body: chat("hello").Body, Engine: stream.Profile{CountsTokens: true}, Idempotent: true})
	assert.NilError(b, err)
	_, err = a.Begin()
	assert.NilError(b, err)
	return a
}

// BenchmarkStream measures a streamed response from the socket to the sink, with and
// without core/stream.
func BenchmarkStream(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		for _, tokens := range []int{64, 256, 1024, 4096} {
			b.Run(fmt.Sprintf("guarded=%t/tokens=%d", guarded, tokens), func(b *testing.B) {
				target := rawServer(b, streamResponse(tokens, true))
				client, err := New(Config{})
				assert.NilError(b, err)
				defer client.Close()
				b.ReportAllocs()
				for b.Loop() {
					a := newAnswer(b)
					_, err := client.Do(b.Context(), target, chat("hello"), func(e Event) error {
						if !guarded {
							return nil
						}
						_, err := a.Feed(stream.Event{Raw: e.Raw, Data: e.Data})
						return err
					})
					assert.NilError(b, err)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
			})
		}
	}
}

// BenchmarkMemory measures the memory of streams in progress, including the raw
// server's part of each connection.
func BenchmarkMemory(b *testing.B) {
	for _, streams := range []int{64, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(measureMemory(b, streams)/float64(streams), "B/stream")
			}
		})
	}
}

func measureMemory(b *testing.B, streams int) float64 {
	target := rawServer(b, streamResponse(50, false))
	client, err := New(Config{ProgressTimeout: time.Minute})
	assert.NilError(b, err)
	defer client.Close()
	before := memoryInUse()
	release, paused, ended := make(chan struct{}), make(chan struct{}, streams), make(chan struct{}, streams)
	for range streams {
		a := newAnswer(b)
		go func() {
			n := 0
			_, _ = client.Do(b.Context(), target, chat("hello"), func(e Event) error {
				if n++; n < 50 {
					_, err := a.Feed(stream.Event{Raw: e.Raw, Data: e.Data})
					return err
				}
				paused <- struct{}{}
				<-release
				return io.EOF
			})
			ended <- struct{}{}
		}()
	}
	for range streams {
		<-paused
	}
	after := memoryInUse()
	close(release)
	for range streams {
		<-ended
	}
	return after - before
}

// memoryInUse returns the bytes in use by heap and stacks after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
