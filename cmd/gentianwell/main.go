// Command gentianwell routes language-model requests according to service levels
// and priorities. One process runs on each entry VM; see "gentianwell help serve".
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

const version = "0.1.0"

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
		Version:               version,
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

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, "gentianwell", version)
			return err
		},
	}
}
