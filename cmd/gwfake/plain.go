package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// plainCommand runs the stand-in plain.
func plainCommand() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "run the stand-in plain",
		Action: func(context.Context, *cli.Command) error {
			return errors.NotImplementedf("plain")
		},
	}
}
