package front

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// errorWriter logs each line that it is given.
type errorWriter struct{ log logrus.FieldLogger }

// Write logs one line of an HTTP server, such as a failed TLS handshake.
func (w errorWriter) Write(line []byte) (int, error) {
	w.log.WithFields(logrus.Fields{"event": "http", "cause": string(bytes.TrimSpace(line))}).Warn("HTTP server")
	return len(line), nil
}

// ErrorLog returns the error log of an http.Server that writes to log.
func ErrorLog(to logrus.FieldLogger) *log.Logger { return log.New(errorWriter{to}, "", 0) }
