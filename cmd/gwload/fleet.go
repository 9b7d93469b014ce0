package main

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gentianwell/io/entry"
	"gentianwell/io/model"
)

const fleetHelp = `Simulates a deployment under heavy load, in simulated time and without using the
network: entry VMs that exchange gossip, engines with chunked prefill, callers that
retry once after a refusal. Use the figures to compare decisions with each other; they do not predict
how a real site performs.

Example:
   gwload fleet --deployment wide --seeds 3 --plain`

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:        "fleet",
		Usage:       "simulate whole deployments under heavy load",
		Description: fleetHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "all", Usage: "wide, broad, narrow, lean or all"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.Uint64Flag{Name: "first-seed", Value: 1, Usage: "first seed"},
			&cli.BoolFlag{Name: "plain", Usage: "also simulate plain routing to the less loaded of two replicas, to compare with"},
		},
		Action: runFleet,
	}
}

func runFleet(_ context.Context, cmd *cli.Command) error {
	names := slices.Sorted(maps.Keys(model.Deployments))
	if name := cmd.String("deployment"); name != "all" {
		if _, ok := model.Deployments[name]; !ok {
			return cli.Exit(fmt.Sprintf("gwload: deployment is %q, must be all or one of %v", name, names), 2)
		}
		names = []string{name}
	}
	plainRouting := []bool{false}
	if cmd.Bool("plain") {
		plainRouting = append(plainRouting, true)
	}
	for _, name := range names {
		for i := range cmd.Int("seeds") {
			for _, plain := range plainRouting {
				seed := cmd.Uint64("first-seed") + uint64(i)
				totals, err := model.SimulateDeployment(model.Deployments[name], model.VMConfig{Plain: plain, Router: entry.RouteConfig()}, seed)
				if err != nil {
					return errors.Trace(err)
				}
				policy := "routed"
				if plain {
					policy = "plain"
				}
				if _, err := fmt.Fprintf(cmd.Root().Writer, "%s, seed %d, %s: %s", name, seed, policy, totals); err != nil {
					return errors.Trace(err)
				}
			}
		}
	}
	return nil
}
