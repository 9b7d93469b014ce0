package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gentianwell/core/tree"
	"gentianwell/io/conf"
	"gentianwell/io/oper"
)

const settingsSetHelp = `Sets values or whole branches, all of them in one change: PATH VALUE, and more
pairs if wanted. A VALUE is JSON; what is no JSON is taken as a string. With
--file the tree becomes what the file says.

The change is checked as a whole with all other settings. If a value is not
allowed, or if somebody else's change comes first, nothing is stored. If no reply
comes, the message names the change id: the same command with --id settles it.

Examples:
   gentianwell settings set classes.plot.firstTokenTarget 370ms
   gentianwell settings set teams.judges '{"weight": 3}' classes.plot.tier 0
   gentianwell settings set --file tree.json --base 17 --wait 11s`

func settingsSetCommand() *cli.Command {
	return &cli.Command{
		Name: "set", Usage: "change settings", ArgsUsage: "PATH VALUE [PATH VALUE...]", Description: settingsSetHelp,
		Flags: append(changeFlags(),
			&cli.StringFlag{Name: "file", Usage: "make the whole tree as `FILE` says"},
			&cli.Int64Flag{Name: "base", Usage: "`VERSION` that you have seen; a later one is a conflict"},
			&cli.StringFlag{Name: "id", Usage: "change `ID`, to settle a change whose reply was lost"},
		),
		Action: settingsSet,
	}
}

func settingsSet(ctx context.Context, cmd *cli.Command) error {
	client, err := settingsClient(cmd)
	if err != nil {
		return err
	}
	edits, base, err := setEdits(ctx, cmd, client)
	if err != nil {
		return err
	}
	return submit(ctx, cmd, client, conf.Change{ID: cmd.String("id"), Base: base, Edits: edits})
}

// setEdits returns the edits that the arguments or the file ask for.
func setEdits(ctx context.Context, cmd *cli.Command, client *oper.Client) (tree.Edits, int64, error) {
	args, base := cmd.Args().Slice(), cmd.Int64("base")
	if path := cmd.String("file"); path != "" {
		if len(args) > 0 {
			return nil, 0, usageError("settings set takes --file or PATH VALUE, not both")
		}
		return fileEdits(ctx, cmd, client, path, base)
	}
	if len(args) == 0 || len(args)%2 != 0 {
		return nil, 0, usageError("settings set takes pairs of PATH VALUE")
	}
	var edits tree.Edits
	for i := 0; i < len(args); i += 2 {
		if _, err := tree.ParsePath(args[i]); err != nil {
			return nil, 0, usageError("%v", err)
		}
		edits = append(edits, tree.Edit{Path: args[i], Value: jsonValue(args[i+1])})
	}
	return edits, base, nil
}

// fileEdits returns the edits from the tree in force to the file's. They are
// meant for the version that they were compared with.
func fileEdits(ctx context.Context, cmd *cli.Command, client *oper.Client, path string, base int64) (tree.Edits, int64, error) {
	wanted, err := readTree(cmd, path)
	if err != nil {
		return nil, 0, err
	}
	document, err := client.Document(ctx)
	if err != nil {
		return nil, 0, settingsExit(err)
	}
	if base == 0 {
		base = document.Version
	}
	return document.Tree.Diff(wanted), base, nil
}

// jsonValue takes what is no JSON as a string.
func jsonValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	// A string always has a JSON form.
	raw, _ := json.Marshal(text)
	return raw
}

// submit makes a change and prints its answer.
func submit(ctx context.Context, cmd *cli.Command, client *oper.Client, change conf.Change) error {
	if len(change.Edits) == 0 {
		_, err := fmt.Fprintln(cmd.Root().Writer, "unchanged")
		return err
	}
	change.Author = cmd.String("author")
	if change.ID == "" {
		change.ID = conf.NewChangeID()
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout+cmd.Duration("wait"))
	defer cancel()
	answer, err := client.Change(ctx, oper.ChangeRequest{Change: change, Wait: tree.Duration(cmd.Duration("wait"))})
	if err != nil {
		return unsettledHint(settingsExit(err), err, change.ID)
	}
	return printAnswer(cmd, answer)
}

// unsettledHint tells how to settle a change that may have been accepted.
func unsettledHint(exit, err error, id string) error {
	var failure *oper.Failure
	lost := errors.As(err, &failure) && failure.Kind == oper.FailureOutcomeUnknown
	if !lost && !errors.Is(err, oper.ErrUnreachable) {
		return exit
	}
	return cli.Exit(exit.Error()+"; the same command with --id "+id+" settles it", exitUnreachable)
}
