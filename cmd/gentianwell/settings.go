package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gentianwell/core/tree"
	"gentianwell/io/oper"
)

// exitConflict: another change came first; nothing was stored.
const exitConflict = 3

const settingsHelp = `The settings are a tree in the platform's service that all entry VMs follow. Its
branches are site, classes.NAME, teams.NAME, teams.NAME.classes.NAME, models.NAME
and services.NAME. A value is looked up in the team's class, the site's class, the
team and the site, in this order; docs/SETTINGS.md lists every key.

Exit codes: 0 done, 1 failed, 2 wrong arguments or a value that is not allowed
(nothing was stored), 3 another change came first (nothing was stored), 4 the
entry VM or the platform cannot be reached.

Examples:
   gentianwell settings get classes.plot
   gentianwell settings set classes.plot.firstTokenTarget 370ms --wait 11s
   gentianwell settings check tree.json`

// settingsCommand is the group of commands on the settings.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "show, check and change the settings", Description: settingsHelp,
		Commands: []*cli.Command{
			settingsGetCommand(), settingsSetCommand(), settingsUnsetCommand(), settingsHistoryCommand(),
			settingsUndoCommand(), settingsCheckCommand(), settingsDiffCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if word := cmd.Args().First(); word != "" {
				return usageError("unknown command %q; see gentianwell settings --help", word)
			}
			return cli.ShowSubcommandHelp(cmd)
		},
	}
}

func usageError(format string, args ...any) error {
	return cli.Exit("gentianwell: "+fmt.Sprintf(format, args...), exitUsage)
}

// settingsClient returns the client of the VM that the flags name.
func settingsClient(cmd *cli.Command) (*oper.Client, error) {
	address, err := netip.ParseAddrPort(cmd.String("vm"))
	if err != nil {
		return nil, usageError("--vm: %v", err)
	}
	return &oper.Client{Address: address, Key: cmd.String("key")}, nil
}

// settingsExit gives an error its exit code and one clear message.
func settingsExit(err error) error {
	var failure *oper.Failure
	var problems tree.Problems
	code := exitFailed
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure):
		code = failureCode(failure.Kind)
	case errors.As(err, &problems):
		code = exitUsage
	case errors.Is(err, oper.ErrUnreachable):
		code = exitUnreachable
	}
	return cli.Exit("gentianwell: "+err.Error(), code)
}

func failureCode(kind oper.FailureKind) int {
	switch kind {
	case oper.FailureInvalid, oper.FailureNotFound:
		return exitUsage
	case oper.FailureConflict:
		return exitConflict
	case oper.FailureUnavailable, oper.FailureOutcomeUnknown, oper.FailureBehind:
		return exitUnreachable
	default:
		return exitFailed
	}
}

// readTree reads and checks a tree file; "-" is standard input.
func readTree(cmd *cli.Command, path string) (*tree.Tree, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(cmd.Root().Reader)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, usageError("%v", err)
	}
	parsed, err := tree.Parse(raw)
	return parsed, settingsExit(err)
}

// changeFlags are the flags of commands that change the tree.
func changeFlags() []cli.Flag {
	return append(operatorFlags(),
		&cli.StringFlag{Name: "author", Usage: "`NAME` that the history keeps", Value: "operator", Sources: cli.EnvVars("GENTIANWELL_AUTHOR", "USER")},
		&cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` until the VMs that can be reached apply the change"},
	)
}

// printAnswer tells of an accepted change and, after a wait, who applies it. It
// fails where a VM that was reached does not apply it.
func printAnswer(cmd *cli.Command, answer oper.ChangeResponse) error {
	behind, unreached := answer.VMs.Missing(answer.Version)
	if cmd.Bool("json") {
		if err := printJSON(cmd, answer); err != nil {
			return err
		}
	} else {
		printAnswerText(cmd.Root().Writer, answer, behind, unreached)
	}
	if len(behind) > 0 {
		return cli.Exit(fmt.Sprintf("gentianwell: accepted, but %d VMs do not apply it yet", len(behind)), exitFailed)
	}
	return nil
}

func printAnswerText(w io.Writer, answer oper.ChangeResponse, behind, unreached oper.VMVersions) {
	state := "accepted"
	if answer.Unchanged {
		state = "unchanged"
	}
	fmt.Fprintf(w, "%s version=%d change=%s", state, answer.Version, answer.ChangeID)
	if len(answer.VMs) > 0 {
		applied := len(answer.VMs) - len(behind) - len(unreached)
		fmt.Fprintf(w, " applied=%d behind=%d unreached=%d", applied, len(behind), len(unreached))
	}
	fmt.Fprintln(w)
	for _, v := range behind {
		fmt.Fprintf(w, "behind vm=%s zone=%s version=%d\n", v.VM, v.Zone, v.Version)
	}
	for _, v := range unreached {
		fmt.Fprintf(w, "unreached vm=%s zone=%s version=%d error=%q\n", v.VM, v.Zone, v.Version, v.Error)
	}
}
