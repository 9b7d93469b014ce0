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
		os.Exit(exitFailed)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:                  "gentianwell",
		Usage:                 "route language-model traffic with service levels and priorities",
		Version:               version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{serveCommand(), entryCommand(), statusCommand(), drainCommand(), settingsCommand(), versionCommand()},
		Action:                unknownCommand,
	}
}

// unknownCommand refuses a word that is no subcommand.
func unknownCommand(_ context.Context, cmd *cli.Command) error {
	if word := cmd.Args().First(); word != "" {
		return cli.Exit(fmt.Sprintf("gentianwell: unknown command %q; see gentianwell help", word), exitUsage)
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
