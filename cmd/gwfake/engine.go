package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// engineCommand runs the stand-in engine.
func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run the stand-in engine",
		Action: func(context.Context, *cli.Command) error {
			return errors.NotImplementedf("engine")
		},
	}
}
