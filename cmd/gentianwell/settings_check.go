package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

const settingsCheckHelp = `Validates a file with a complete settings tree, without a VM or a platform, and
reports each invalid setting with its path, its value and what is allowed.

Examples:
   gentianwell settings check docs/examples/lindqvist.json
   gentianwell settings get | gentianwell settings check -`

func settingsCheckCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate a file with a settings tree", ArgsUsage: "FILE", Description: settingsCheckHelp,
		Action: settingsCheck,
	}
}

func settingsCheck(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usageError("settings check takes one FILE")
	}
	t, err := readTree(cmd, cmd.Args().First())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "ok classes=%d teams=%d models=%d services=%d\n",
		len(t.Classes), len(t.Teams), len(t.Models), len(t.Services))
	return err
}
