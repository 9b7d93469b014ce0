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

// exitCrash is the exit code of a crash on request.
const exitCrash = 3

// engineCommand runs the stand-in engine.
func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run the stand-in engine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` and port to listen on"},
			&cli.StringFlag{Name: "id", Value: "engine-1", Usage: "the replica's `NAME`"},
			&cli.StringFlag{Name: "models", Value: "drafts", Usage: "loaded `MODELS`, separated by commas"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests that run at once"},
			&cli.IntFlag{Name: "max-waiting", Value: 1024, Usage: "requests that may wait"},
			&cli.IntFlag{Name: "cache-blocks", Value: 1024, Usage: "blocks in the prefix cache"},
			&cli.IntFlag{Name: "event-gap", Usage: "drop each cache event whose number is a multiple of `N`"},
			&cli.DurationFlag{Name: "token-gap", Value: 5 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "prefill-gap", Usage: "time for each prompt block that is not cached"},
			&cli.DurationFlag{Name: "report-lag", Usage: "lag of the load report and the cache events"},
			&cli.DurationFlag{Name: "load-time", Usage: "how long loading a model takes"},
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse orders with an old fencing number"},
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
