package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"gentianwell/core/tree"
	"gentianwell/io/conf"
)

const settingsUnsetHelp = `Removes values or whole branches, all of them in one change. A removed value is
inherited again. The whole tree is validated as with "settings set".

Examples:
   gentianwell settings unset teams.judges.classes.plot.deadline
   gentianwell settings unset teams.judges teams.farmers --wait 11s`

func settingsUnsetCommand() *cli.Command {
	return &cli.Command{
		Name: "unset", Usage: "remove settings", ArgsUsage: "PATH [PATH...]", Description: settingsUnsetHelp,
		Flags: append(changeFlags(),
			&cli.Int64Flag{Name: "base", Usage: "`VERSION` that the change is based on; a later one is a conflict"},
			&cli.StringFlag{Name: "id", Usage: "change `ID`, to repeat a change whose reply was lost"},
		),
		Action: settingsUnset,
	}
}

func settingsUnset(ctx context.Context, cmd *cli.Command) error {
	client, err := settingsClient(cmd)
	if err != nil {
		return err
	}
	var edits tree.Edits
	for _, text := range cmd.Args().Slice() {
		if _, err := tree.ParsePath(text); err != nil {
			return usageError("%v", err)
		}
		edits = append(edits, tree.Edit{Path: text})
	}
	if len(edits) == 0 {
		return usageError("settings unset needs at least one PATH")
	}
	return submitChange(ctx, cmd, client, conf.Change{ID: cmd.String("id"), Base: cmd.Int64("base"), Edits: edits})
}
