package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// demoCommand runs the demo.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the demo",
		Action: func(context.Context, *cli.Command) error {
			return errors.NotImplementedf("demo")
		},
	}
}
