package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"gentianwell/io/fakes"
)

// exitCrash is the exit code after a requested crash.
const exitCrash = 3

// engineCommand returns the command that runs a fake model engine.
func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a fake model engine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on, as IP:PORT"},
			&cli.StringFlag{Name: "id", Value: "engine-1", Usage: "the replica's `NAME`"},
			&cli.StringFlag{Name: "models", Value: "drafts", Usage: "comma-separated names of the loaded `MODELS`"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum number of requests that run at once"},
			&cli.IntFlag{Name: "max-waiting", Value: 1024, Usage: "maximum number of requests that wait"},
			&cli.IntFlag{Name: "cache-blocks", Value: 1024, Usage: "maximum number of blocks in the prefix cache"},
			&cli.IntFlag{Name: "event-gap", Usage: "drop each cache event whose number is a multiple of `N`; 0 drops none"},
			&cli.DurationFlag{Name: "token-gap", Value: 5 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "prefill-gap", Usage: "time for each prompt block that is not in the prefix cache"},
			&cli.DurationFlag{Name: "report-lag", Usage: "delay of the load report and the cache events"},
			&cli.DurationFlag{Name: "load-time", Usage: "time that loading a model takes"},
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse orders with an outdated fencing number"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	e, err := fakes.NewEngine(engineConfig(cmd))
	if err != nil {
		return errors.Trace(err)
	}
	fields := logrus.Fields{"role": "engine", "id": cmd.String("id"), "models": cmd.String("models")}
	return serve(ctx, cmd.String("listen"), e.Handler(), fields)
}

func engineConfig(cmd *cli.Command) fakes.EngineConfig {
	return fakes.EngineConfig{
		ID:             cmd.String("id"),
		Models:         strings.Split(cmd.String("models"), ","),
		Slots:          cmd.Int("slots"),
		MaxWaiting:     cmd.Int("max-waiting"),
		CacheBlocks:    cmd.Int("cache-blocks"),
		DropEventEvery: cmd.Int("event-gap"),
		TokenGap:       cmd.Duration("token-gap"),
		PrefillTime:    cmd.Duration("prefill-gap"),
		ReportLag:      cmd.Duration("report-lag"),
		LoadTime:       cmd.Duration("load-time"),
		CheckFencing:   cmd.Bool("check-fencing"),
		Crash:          func() { os.Exit(exitCrash) },
	}
}
