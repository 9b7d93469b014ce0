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

const settingsSetHelp = `Sets values or whole branches, all of them in one change, as one or more pairs of
PATH VALUE. A VALUE is JSON; a text that is not valid JSON is used as a string.
With --file the tree is replaced by the one in the file.

The change is validated together with all other settings. If a value is not
allowed, or if a concurrent change comes first, nothing is stored. If the outcome
is unknown because no reply came, the message names the change ID: repeat the same
command with --id to complete the change.

Examples:
   gentianwell settings set classes.plot.firstTokenTarget 370ms
   gentianwell settings set teams.judges '{"weight": 3}' classes.plot.tier 0
   gentianwell settings set --file tree.json --base 17 --wait 11s`

func settingsSetCommand() *cli.Command {
	return &cli.Command{
		Name: "set", Usage: "change settings", ArgsUsage: "PATH VALUE [PATH VALUE...]", Description: settingsSetHelp,
		Flags: append(changeFlags(),
			&cli.StringFlag{Name: "file", Usage: "replace the whole tree by the one in `FILE`"},
			&cli.Int64Flag{Name: "base", Usage: "`VERSION` that the change is based on; a later one is a conflict"},
			&cli.StringFlag{Name: "id", Usage: "change `ID`, to repeat a change whose reply was lost"},
		),
		Action: settingsSet,
	}
}

func settingsSet(ctx context.Context, cmd *cli.Command) error {
	client, err := settingsClient(cmd)
	if err != nil {
		return err
	}
	edits, base, err := requestedEdits(ctx, cmd, client)
	if err != nil {
		return err
	}
	return submitChange(ctx, cmd, client, conf.Change{ID: cmd.String("id"), Base: base, Edits: edits})
}

// requestedEdits returns the edits from the arguments or from the file, and the version
// that they are based on.
func requestedEdits(ctx context.Context, cmd *cli.Command, client *oper.Client) (tree.Edits, int64, error) {
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

// fileEdits returns the edits that turn the tree in force into the one in the file.
// Unless base is set, they are based on the version that they were computed from.
func fileEdits(ctx context.Context, cmd *cli.Command, client *oper.Client, path string, base int64) (tree.Edits, int64, error) {
	wanted, err := readTree(cmd, path)
	if err != nil {
		return nil, 0, err
	}
	document, err := client.Document(ctx)
	if err != nil {
		return nil, 0, exitError(err)
	}
	if base == 0 {
		base = document.Version
	}
	return document.Tree.Diff(wanted), base, nil
}

// jsonValue returns text if it is valid JSON, otherwise text encoded as a JSON string.
func jsonValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	// Encoding a string cannot fail.
	raw, _ := json.Marshal(text)
	return raw
}

// submitChange sends a change to the entry VM and prints the response. Without edits
// it sends nothing.
func submitChange(ctx context.Context, cmd *cli.Command, client *oper.Client, change conf.Change) error {
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
	response, err := client.Change(ctx, oper.ChangeRequest{Change: change, Wait: tree.Duration(cmd.Duration("wait"))})
	if err != nil {
		return addRetryHint(exitError(err), err, change.ID)
	}
	return printChangeResponse(cmd, response)
}

// addRetryHint adds to exit how to complete a change that may have been accepted,
// because err means that the outcome is unknown or that no response came.
func addRetryHint(exit, err error, id string) error {
	var failure *oper.Failure
	outcomeUnknown := errors.As(err, &failure) && failure.Kind == oper.FailureOutcomeUnknown
	if !outcomeUnknown && !errors.Is(err, oper.ErrUnreachable) {
		return exit
	}
	return cli.Exit(exit.Error()+"; to complete the change, repeat the command with --id "+id, exitUnreachable)
}
