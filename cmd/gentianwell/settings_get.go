package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/oper"
)

const settingsGetHelp = `Prints the branch or value that is set at PATH itself, or the whole tree without a
PATH. With --effective it prints the values that apply there after inheritance,
and with --explain also the branch that each value comes from.

Examples:
   gentianwell settings get
   gentianwell settings get classes.plot.tier
   gentianwell settings get teams.judges.classes.plot --effective --explain
   gentianwell settings get site --effective --json`

func settingsGetCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show settings", ArgsUsage: "[PATH]", Description: settingsGetHelp,
		Flags: append(operatorFlags(),
			&cli.BoolFlag{Name: "effective", Usage: "show the values that apply after inheritance"},
			&cli.BoolFlag{Name: "explain", Usage: "with --effective: show which branch sets each value"},
		),
		Action: settingsGet,
	}
}

func settingsGet(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 1 {
		return usageError("settings get takes at most one PATH")
	}
	client, err := settingsClient(cmd)
	if err != nil {
		return err
	}
	text := cmd.Args().First()
	if cmd.Bool("effective") {
		return printEffective(ctx, cmd, client, text)
	}
	document, err := client.Document(ctx)
	if err != nil {
		return exitError(err)
	}
	if text == "" {
		return printJSON(cmd, document.Tree)
	}
	path, err := tree.ParsePath(text)
	if err != nil {
		return usageError("%v", err)
	}
	value, ok := document.Tree.Value(path)
	if !ok {
		return cli.Exit(fmt.Sprintf("gentianwell: %s is not set; --effective shows the value that applies", text), exitFailed)
	}
	return printJSON(cmd, value)
}

func printEffective(ctx context.Context, cmd *cli.Command, client *oper.Client, text string) error {
	if text == "" {
		text = string(tree.KindSite)
	}
	path, err := tree.ParsePath(text)
	if err != nil {
		return usageError("%v", err)
	}
	team, class, err := teamAndClass(path.Branch)
	if err != nil {
		return usageError("%v", err)
	}
	effective, err := client.Effective(ctx, team, class)
	if err != nil {
		return exitError(err)
	}
	effective.Values = filterSources(effective.Values, path.Key, cmd.Bool("explain"))
	if cmd.Bool("json") {
		return printJSON(cmd, effective)
	}
	return printSources(cmd, effective.Values)
}

// teamAndClass returns the team and class whose effective values a branch selects.
// Either may be empty.
func teamAndClass(b tree.Branch) (call.Team, call.Class, error) {
	switch b.Kind {
	case tree.KindSite:
		return "", "", nil
	case tree.KindClass:
		return "", call.Class(b.Name), nil
	case tree.KindTeam:
		return call.Team(b.Name), "", nil
	case tree.KindTeamClass:
		return call.Team(b.Name), call.Class(b.Class), nil
	default:
		return "", "", errors.NotSupportedf("--effective for %s, which inherits nothing,", b.Path())
	}
}

// filterSources returns the values of one key, or all if key is empty. It removes the
// branch that each value comes from unless explain is set.
func filterSources(sources tree.Sources, key string, explain bool) tree.Sources {
	var filtered tree.Sources
	for _, s := range sources {
		if key != "" && s.Key != key {
			continue
		}
		if !explain {
			s.Branch = ""
		}
		filtered = append(filtered, s)
	}
	return filtered
}

func printSources(cmd *cli.Command, sources tree.Sources) error {
	for _, s := range sources {
		line := fmt.Sprintf("%s=%s", s.Key, json.RawMessage(s.Value))
		if s.Branch != "" {
			line += " from=" + s.Branch
		}
		if _, err := fmt.Fprintln(cmd.Root().Writer, line); err != nil {
			return err
		}
	}
	return nil
}
