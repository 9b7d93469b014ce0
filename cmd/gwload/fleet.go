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

const fleetHelp = `Plays a heavy day of a deployment in simulated time, without network: entry VMs
that know each other by gossip, engines that read prompts in chunks between the
tokens of a batch, callers who come back once after a refusal. The figures are for
comparing decisions with each other, not for predicting a site.

Example:
   gwload fleet --deployment wide --seeds 3 --plain`

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:        "fleet",
		Usage:       "play heavy days of whole deployments against plain routing",
		Description: fleetHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "all", Usage: "wide, broad, narrow, lean or all"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.Uint64Flag{Name: "first-seed", Value: 1, Usage: "first seed"},
			&cli.BoolFlag{Name: "plain", Usage: "play the less loaded of two replicas as well"},
		},
		Action: runFleet,
	}
}

func runFleet(_ context.Context, cmd *cli.Command) error {
	names := slices.Sorted(maps.Keys(model.Deployments))
	if name := cmd.String("deployment"); name != "all" {
		if _, ok := model.Deployments[name]; !ok {
			return cli.Exit(fmt.Sprintf("gwload: no deployment %q, there are %v", name, names), 2)
		}
		names = []string{name}
	}
	policies := []bool{false}
	if cmd.Bool("plain") {
		policies = append(policies, true)
	}
	for _, name := range names {
		for i := range cmd.Int("seeds") {
			for _, plain := range policies {
				seed := cmd.Uint64("first-seed") + uint64(i)
				totals, err := model.Play(model.Deployments[name], model.Passing{Plain: plain, Router: entry.RouteConfig()}, seed)
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
