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

// exitConflict is the exit code if a concurrent change came first; nothing was
// stored.
const exitConflict = 3

const settingsHelp = `The settings are a tree in the platform's key-value service, which all entry VMs
apply. Its branches are site, classes.NAME, teams.NAME, teams.NAME.classes.NAME,
models.NAME and services.NAME. A value is looked up in the team's class, the
site's class, the team and the site, in this order; docs/SETTINGS.md lists every
key.

Exit codes: 0 success, 1 failure, 2 invalid arguments or a value that is not
allowed (nothing was stored), 3 a concurrent change came first (nothing was
stored), 4 the entry VM or the platform cannot be reached, the platform lacks
changes that are in force, or the outcome is unknown.

Examples:
   gentianwell settings get classes.plot
   gentianwell settings set classes.plot.firstTokenTarget 370ms --wait 11s
   gentianwell settings check tree.json`

// settingsCommand returns the group of commands for the settings tree.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "show, check and change the settings", Description: settingsHelp,
		Commands: []*cli.Command{
			settingsGetCommand(), settingsSetCommand(), settingsUnsetCommand(), settingsHistoryCommand(),
			settingsUndoCommand(), settingsCheckCommand(), settingsDiffCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return usageError("unknown command %q; see gentianwell settings --help", name)
			}
			return cli.ShowSubcommandHelp(cmd)
		},
	}
}

func usageError(format string, args ...any) error {
	return cli.Exit("gentianwell: "+fmt.Sprintf(format, args...), exitUsage)
}

// settingsClient returns a client for the VM in the --vm flag.
func settingsClient(cmd *cli.Command) (*oper.Client, error) {
	address, err := netip.ParseAddrPort(cmd.String("vm"))
	if err != nil {
		return nil, usageError("--vm: %q is not an address of the form IP:PORT: %v", cmd.String("vm"), err)
	}
	return &oper.Client{Address: address, Key: cmd.String("key")}, nil
}

// exitError returns an error that makes the command print err and exit with the code
// for its kind, or nil for nil.
func exitError(err error) error {
	var failure *oper.Failure
	var problems tree.Problems
	code := exitFailed
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure):
		code = failureExitCode(failure.Kind)
	case errors.As(err, &problems):
		code = exitUsage
	case errors.Is(err, oper.ErrUnreachable):
		code = exitUnreachable
	}
	return cli.Exit("gentianwell: "+err.Error(), code)
}

func failureExitCode(kind oper.FailureKind) int {
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

// readTree reads and validates a file with a settings tree; "-" is standard input.
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
	return parsed, exitError(err)
}

// changeFlags returns the flags of the commands that change the settings tree.
func changeFlags() []cli.Flag {
	return append(operatorFlags(),
		&cli.StringFlag{Name: "author", Usage: "`NAME` that is recorded in the history", Value: "operator", Sources: cli.EnvVars("GENTIANWELL_AUTHOR", "USER")},
		&cli.DurationFlag{Name: "wait", Usage: "wait up to `TIME` for the reachable VMs to apply the change"},
	)
}

// printChangeResponse prints the version of an accepted change and, if the command
// has waited, which VMs apply it. It returns an error if a VM that was reached does
// not apply it yet.
func printChangeResponse(cmd *cli.Command, response oper.ChangeResponse) error {
	behind, unreached := response.VMs.Missing(response.Version)
	if cmd.Bool("json") {
		if err := printJSON(cmd, response); err != nil {
			return err
		}
	} else {
		printChangeText(cmd.Root().Writer, response, behind, unreached)
	}
	if len(behind) > 0 {
		return cli.Exit(fmt.Sprintf("gentianwell: accepted, but %d VMs do not apply it yet", len(behind)), exitFailed)
	}
	return nil
}

func printChangeText(w io.Writer, response oper.ChangeResponse, behind, unreached oper.VMVersions) {
	state := "accepted"
	if response.Unchanged {
		state = "unchanged"
	}
	fmt.Fprintf(w, "%s version=%d change=%s", state, response.Version, response.ChangeID)
	if len(response.VMs) > 0 {
		applied := len(response.VMs) - len(behind) - len(unreached)
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
