package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"gentianwell/core/drain"
)

const drainHelp = `Shuts down one entry VM gracefully, as SIGTERM does. The VM accepts no new requests
after its notice time and exits when all requests in progress have been answered.
"gentianwell status" shows how many are left.

Example:
   gentianwell drain --vm 10.0.0.5:8082 --key "$KEY"`

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "shut down an entry VM gracefully", Description: drainHelp,
		Flags: operatorFlags(), Action: startDrain,
	}
}

func startDrain(ctx context.Context, cmd *cli.Command) error {
	var s drain.Status
	if err := callOperator(ctx, cmd, http.MethodPost, "/drain", &s); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, s)
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "phase=%s inFlight=%d\n", s.Phase, s.InFlight)
	return err
}
