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

// rawServer answers each request with the same bytes and costs next to nothing.
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

// streamOf returns an HTTP answer with a stream of so many tokens, one chunk of
// the transfer encoding for each, as an engine writes it.
func streamOf(tokens int, whole bool) []byte {
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	event := func(data string) { fmt.Fprintf(&out, "%x\r\ndata: %s\n\n\r\n", len(data)+8, data) }
	const form = `{"id":"x","object":"chat.completion.chunk","created":1,"model":"drafts","choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}}`
	for i := range tokens {
		event(fmt.Sprintf(form, " token", "null", i+1, i+10))
	}
	if whole {
		event(fmt.Sprintf(form, "", `"stop"`, tokens, tokens+9))
		event(doneData)
		out.WriteString("0\r\n\r\n")
	}
	return []byte(out.String())
}

func benchAnswer(b *testing.B) *stream.Answer {
	a, err := stream.New(stream.Config{Kind: stream.KindChat, Body: chat("hello").Body, Engine: stream.Profile{CountsTokens: true}, Idempotent: true})
	assert.NilError(b, err)
	_, err = a.Begin()
	assert.NilError(b, err)
	return a
}

// BenchmarkStream measures a streamed answer from the socket to the sink, with
// core/stream between and without.
func BenchmarkStream(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		for _, tokens := range []int{64, 256, 1024, 4096} {
			b.Run(fmt.Sprintf("guarded=%t/tokens=%d", guarded, tokens), func(b *testing.B) {
				target := rawServer(b, streamOf(tokens, true))
				client, err := New(Config{})
				assert.NilError(b, err)
				defer client.Close()
				b.ReportAllocs()
				for b.Loop() {
					a := benchAnswer(b)
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

// BenchmarkMemory measures the memory of streams in progress, the raw server's
// part of a connection included.
func BenchmarkMemory(b *testing.B) {
	for _, streams := range []int{64, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(memoryOf(b, streams)/float64(streams), "B/stream")
			}
		})
	}
}

func memoryOf(b *testing.B, streams int) float64 {
	target := rawServer(b, streamOf(50, false))
	client, err := New(Config{ProgressTimeout: time.Minute})
	assert.NilError(b, err)
	defer client.Close()
	before := inUse()
	hold, held, ended := make(chan struct{}), make(chan struct{}, streams), make(chan struct{}, streams)
	for range streams {
		a := benchAnswer(b)
		go func() {
			n := 0
			_, _ = client.Do(b.Context(), target, chat("hello"), func(e Event) error {
				if n++; n < 50 {
					_, err := a.Feed(stream.Event{Raw: e.Raw, Data: e.Data})
					return err
				}
				held <- struct{}{}
				<-hold
				return io.EOF
			})
			ended <- struct{}{}
		}()
	}
	for range streams {
		<-held
	}
	after := inUse()
	close(hold)
	for range streams {
		<-ended
	}
	return after - before
}

// inUse returns the bytes in use by heap and stacks after a collection.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
