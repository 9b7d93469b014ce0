package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

const settingsDiffHelp = `Compares a file with a complete settings tree to the tree in force and prints, for
each branch, what "settings set --file" would change. The exit code is 0 whether
or not they differ.

Examples:
   gentianwell settings diff tree.json
   gentianwell settings diff tree.json --json`

func settingsDiffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare a file with the tree in force", ArgsUsage: "FILE", Description: settingsDiffHelp,
		Flags: operatorFlags(), Action: settingsDiff,
	}
}

func settingsDiff(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usageError("settings diff takes one FILE")
	}
	client, err := settingsClient(cmd)
	if err != nil {
		return err
	}
	wanted, err := readTree(cmd, cmd.Args().First())
	if err != nil {
		return err
	}
	document, err := client.Document(ctx)
	if err != nil {
		return exitError(err)
	}
	edits := document.Tree.Diff(wanted)
	if cmd.Bool("json") {
		return printJSON(cmd, edits)
	}
	for _, e := range edits {
		if _, err := fmt.Fprintln(cmd.Root().Writer, e); err != nil {
			return err
		}
	}
	return nil
}
