package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status int
	stamp  string
	body   string
	close  bool
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, stamp %q, body %q", a.status, a.stamp, a.body)
}

// client is a connection to a VM.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialVM(v *vm) (*client, error) {
	conn, err := net.DialTimeout("tcp", v.frontend(), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// requestText returns a request with a length, whose client waits for four seconds.
func requestText(method, target, id, body string) string {
	return requestWithin(4*time.Second, method, target, id, body)
}

// requestWithin is requestText for a client that waits for some time.
func requestWithin(limit time.Duration, method, target, id, body string) string {
	return requestWithKey(apiKey, limit, method, target, id, body)
}

// requestWithKey is requestWithin with a key.
func requestWithKey(key string, limit time.Duration, method, target, id, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, target, host, id, limit.Milliseconds(), key)
	if method == http.MethodGet {
		return text + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// read reads one answer.
func (c *client) read(limit time.Duration) answer {
	if err := c.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, stamp: res.Header.Get("X-Response-Stamp"), body: string(body), close: res.Close, err: err}
}

// send writes a request and reads its answer.
func (c *client) send(text string) answer {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{err: err}
	}
	return c.read(5 * time.Second)
}

// sendOnce sends a request on a connection of its own.
func sendOnce(v *vm, text string) answer {
	c, err := dialVM(v)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.send(text)
}
