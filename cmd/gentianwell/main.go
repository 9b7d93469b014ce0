// Command gentianwell routes language-model requests according to service levels
// and priorities. One process runs on each entry VM; see "gentianwell help serve".
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"gentianwell/core/build"
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gentianwell:", err)
		os.Exit(exitFailed)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:                  "gentianwell",
		Usage:                 "route language-model requests according to service levels and priorities",
		Version:               build.Version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{serveCommand(), entryCommand(), statusCommand(), drainCommand(), settingsCommand(), versionCommand()},
		Action:                rootAction,
	}
}

// rootAction runs if no subcommand matches. It rejects an unknown command and shows
// the help if there is none.
func rootAction(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return cli.Exit(fmt.Sprintf("gentianwell: unknown command %q; see gentianwell help", name), exitUsage)
	}
	return cli.ShowAppHelp(cmd)
}
