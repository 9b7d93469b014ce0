package main

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"gentianwell/core/tree"
	"gentianwell/io/conf"
	"gentianwell/io/oper"
)

const settingsUndoHelp = `Undoes one change of the history by a new change that restores the previous state
of its branches. If a later change has modified one of them, nothing is stored.

Example:
   gentianwell settings undo 17 --wait 11s`

func settingsUndoCommand() *cli.Command {
	return &cli.Command{
		Name: "undo", Usage: "undo a change", ArgsUsage: "VERSION", Description: settingsUndoHelp,
		Flags: append(changeFlags(),
			&cli.StringFlag{Name: "id", Usage: "change `ID`, to repeat an undo whose reply was lost"},
		),
		Action: settingsUndo,
	}
}

func settingsUndo(ctx context.Context, cmd *cli.Command) error {
	version, err := strconv.ParseInt(cmd.Args().First(), 10, 64)
	if err != nil || cmd.Args().Len() != 1 {
		return usageError("settings undo takes one VERSION; see gentianwell settings history")
	}
	client, err := settingsClient(cmd)
	if err != nil {
		return err
	}
	id := cmd.String("id")
	if id == "" {
		id = conf.NewChangeID()
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout+cmd.Duration("wait"))
	defer cancel()
	response, err := client.Undo(ctx, oper.UndoRequest{
		ID: id, Version: version, Author: cmd.String("author"), Wait: tree.Duration(cmd.Duration("wait")),
	})
	if err != nil {
		return addRetryHint(exitError(err), err, id)
	}
	return printChangeResponse(cmd, response)
}
