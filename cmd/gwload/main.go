// Command gwload puts load on gentianwell: it sends a few requests through running entry
// VMs, measures the queueing and routing decisions in simulations of the engines, and
// plots measured results.
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
