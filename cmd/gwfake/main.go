// Command gwfake runs small fakes of the services that gentianwell depends on: the
// platform's key-value service, a model engine and a plain service. Each runs as a
// process of its own, for tests, the demo and experiments.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:     "gwfake",
		Usage:    "run a fake platform or a fake backend server",
		Commands: []*cli.Command{platformCommand(), engineCommand(), plainCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gwfake:", err)
		os.Exit(1)
	}
}
