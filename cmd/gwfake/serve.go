package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
)

// readHeaderTimeout limits how long a fake waits for a request's header.
const readHeaderTimeout = 10 * time.Second

// serve serves HTTP requests until SIGINT or SIGTERM or until ctx ends. It logs one
// line when it starts listening.
func serve(ctx context.Context, listen string, h http.Handler, fields logrus.Fields) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Annotate(err, "serve")
	}
	logrus.WithFields(fields).WithField("address", l.Addr()).Info("listening")
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	var g run.Group
	g.Add(func() error { return srv.Serve(l) }, func(error) { closeServer(srv) })
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	if err := g.Run(); !errors.As(err, &run.SignalError{}) && !errors.Is(err, run.ErrSignal) {
		return errors.Trace(err)
	}
	return nil
}

func closeServer(srv *http.Server) {
	if err := srv.Close(); err != nil {
		logrus.WithError(err).Warn("failed to close the HTTP server")
	}
}
