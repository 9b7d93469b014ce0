package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"gentianwell/io/fakekv"
)

// platformCommand returns the command that runs a fake platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a fake platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:2379", Usage: "`ADDRESS` to listen on, as IP:PORT"},
			&cli.StringFlag{Name: "load", Usage: "JSON `FILE` of initial keys and values"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runPlatform(ctx, cmd.String("listen"), cmd.String("load"))
		},
	}
}

func runPlatform(ctx context.Context, address, file string) error {
	fake := fakekv.New(fakekv.Config{})
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Trace(err)
		}
		if err := fake.Load(data); err != nil {
			return errors.Annotate(err, file)
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	logrus.WithField("address", listener.Addr().String()).Info("platform ready")
	server := &http.Server{Handler: fake.Handler()}
	var group run.Group
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, os.Interrupt))
	group.Add(
		func() error { return server.Serve(listener) },
		func(error) { _ = server.Close() },
	)
	signals := &run.SignalError{}
	if err := group.Run(); err != nil && !errors.As(err, signals) {
		return errors.Trace(err)
	}
	return nil
}
