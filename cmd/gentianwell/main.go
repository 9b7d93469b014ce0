// Command gentianwell routes language-model traffic with service levels and
// priorities. One process runs on each entry VM; see "gentianwell help serve".
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the program's version.
const version = "0.1.0"

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gentianwell:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:                  "gentianwell",
		Usage:                 "route language-model traffic with service levels and priorities",
		Version:               version,
		EnableShellCompletion: true,
	}
}
