package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"gentianwell/io/node"
)

const statusHelp = `Prints the state of one entry VM: its zone, the settings version in force, whether
it is ready, the phase of a shutdown, and the numbers of requests in progress, peers,
replicas and ejected replicas. With --json it also names the ejected replicas.

Examples:
   gentianwell status --vm 10.0.0.5:8082 --key "$KEY"
   gentianwell status --json`

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show an entry VM's state", Description: statusHelp,
		Flags: operatorFlags(), Action: status,
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	var s node.Status
	if err := callOperator(ctx, cmd, http.MethodGet, "/status", &s); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, s)
	}
	_, err := fmt.Fprintf(cmd.Root().Writer,
		"vm=%s zone=%s ready=%t settingsVersion=%d phase=%s inFlight=%d peers=%d replicas=%d ejected=%d\n",
		s.VM, s.Zone, s.Ready, s.SettingsVersion, s.Stop.Phase, s.Stop.InFlight, s.Peers, s.Replicas, len(s.Ejected))
	return err
}
