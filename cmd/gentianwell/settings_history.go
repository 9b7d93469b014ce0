package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"gentianwell/core/tree"
)

const settingsHistoryHelp = `Prints the accepted changes that the history in the platform's key-value service
holds, oldest first, with author, time and edits.

Examples:
   gentianwell settings history
   gentianwell settings history --json`

func settingsHistoryCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "show the last changes", Description: settingsHistoryHelp,
		Flags: operatorFlags(), Action: settingsHistory,
	}
}

func settingsHistory(ctx context.Context, cmd *cli.Command) error {
	client, err := settingsClient(cmd)
	if err != nil {
		return err
	}
	history, err := client.History(ctx)
	if err != nil {
		return exitError(err)
	}
	if cmd.Bool("json") {
		return printJSON(cmd, history)
	}
	for _, r := range history.Records {
		if err := printRecord(cmd, r); err != nil {
			return err
		}
	}
	return nil
}

func printRecord(cmd *cli.Command, r tree.Record) error {
	w := cmd.Root().Writer
	_, err := fmt.Fprintf(w, "version=%d change=%s author=%q time=%s brings=%d dropped=%d\n",
		r.Version, r.ChangeID, r.Author, r.Time.UTC().Format(time.RFC3339), max(1, len(r.Covers)), len(r.Dropped))
	for _, e := range r.Edits {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "   %s\n", e)
	}
	return err
}
