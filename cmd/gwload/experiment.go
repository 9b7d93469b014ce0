package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// experimentCommand runs the experiment.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "run the experiment",
		Action: func(context.Context, *cli.Command) error {
			return errors.NotImplementedf("experiment")
		},
	}
}
