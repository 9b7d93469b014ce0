package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// platformCommand runs the stand-in platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the stand-in platform",
		Action: func(context.Context, *cli.Command) error {
			return errors.NotImplementedf("platform")
		},
	}
}
