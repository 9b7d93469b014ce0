package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"gentianwell/io/fakes"
)

// plainCommand returns the command that runs a fake plain service.
func plainCommand() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "run a fake plain service, a ledger",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on, as IP:PORT"},
			&cli.StringFlag{Name: "id", Value: "ledger-1", Usage: "the replica's `NAME`"},
			&cli.IntFlag{Name: "slots", Value: 64, Usage: "maximum number of requests that run at once"},
			&cli.DurationFlag{Name: "run-time", Value: 5 * time.Millisecond, Usage: "time that a booking takes"},
			&cli.DurationFlag{Name: "report-lag", Usage: "delay of the load report"},
			&cli.BoolFlag{Name: "removes-duplicates", Usage: "book each idempotency key only once"},
		},
		Action: runPlain,
	}
}

func runPlain(ctx context.Context, cmd *cli.Command) error {
	p, err := fakes.NewLedger(fakes.LedgerConfig{
		ID:                cmd.String("id"),
		Slots:             cmd.Int("slots"),
		RunTime:           cmd.Duration("run-time"),
		ReportLag:         cmd.Duration("report-lag"),
		RemovesDuplicates: cmd.Bool("removes-duplicates"),
		Crash:             func() { os.Exit(exitCrash) },
	})
	if err != nil {
		return errors.Trace(err)
	}
	fields := logrus.Fields{"role": "plain", "id": cmd.String("id")}
	return serve(ctx, cmd.String("listen"), p.Handler(), fields)
}
