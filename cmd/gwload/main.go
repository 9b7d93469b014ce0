// Command gwload loads gentianwell: a demonstration of the whole path on
// loopback, and experiments that drive the real decisions against a small
// model of the engines.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:     "gwload",
		Usage:    "demonstrate and measure gentianwell under load",
		Commands: []*cli.Command{demoCommand(), experimentCommand(), fleetCommand(), roundsCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gwload:", err)
		os.Exit(1)
	}
}
