// Command gwfake runs small stand-ins for what surrounds gentianwell: the
// platform's key-value service, a model engine and a plain service. They serve
// tests, the demo and experiments, each as a process of its own.
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
		Usage:    "run a stand-in for the platform or a backend server",
		Commands: []*cli.Command{platformCommand(), engineCommand(), plainCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gwfake:", err)
		os.Exit(1)
	}
}
