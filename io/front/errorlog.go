package front

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// errorWriter is an io.Writer that logs each write as one line.
type errorWriter struct{ log logrus.FieldLogger }

// Write logs one error of an HTTP server, such as a failed TLS handshake.
func (w errorWriter) Write(line []byte) (int, error) {
	w.log.WithFields(logrus.Fields{"event": "http", "cause": string(bytes.TrimSpace(line))}).Warn("HTTP server reported an error")
	return len(line), nil
}

// ErrorLog returns a logger for http.Server.ErrorLog that writes to the given log.
func ErrorLog(to logrus.FieldLogger) *log.Logger { return log.New(errorWriter{to}, "", 0) }
