package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
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
			&cli.StringFlag{Name: "deployment", Value: "all", Usage: "wide, broad, narrow, lean, uneven, unevenLarge or all"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.Uint64Flag{Name: "first-seed", Value: 1, Usage: "first seed"},
			&cli.FloatFlag{Name: "load", Usage: "multiplies the load and removes bursts; zero leaves both as they are"},
			&cli.DurationFlag{Name: "length", Usage: "how long calls arrive, in place of the deployment's"},
			&cli.IntFlag{Name: "vms", Usage: "number of VMs, in place of the deployment's"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"routed"}, Usage: "routed, byLoad (without expected times), twoChoices or leastLoaded; may be repeated"},
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
	policies := cmd.StringSlice("policy")
	if cmd.Bool("plain") {
		policies = append(policies, "twoChoices")
	}
	for _, name := range names {
		d := model.Deployments[name]
		if load := cmd.Float("load"); load > 0 {
			d = d.WithSteadyLoad(load)
		}
		d.Length = cmp.Or(cmd.Duration("length"), d.Length)
		d.VMs = cmp.Or(cmd.Int("vms"), d.VMs)
		for i := range cmd.Int("seeds") {
			for _, policy := range policies {
				config, ok := fleetPolicies[policy]
				if !ok {
					return cli.Exit(fmt.Sprintf("gwload: policy is %q, must be one of %v", policy, slices.Sorted(maps.Keys(fleetPolicies))), 2)
				}
				c := model.VMConfig{Router: entry.RouteConfig()}
				config(&c)
				seed := cmd.Uint64("first-seed") + uint64(i)
				totals, err := model.SimulateDeployment(d, c, seed)
				if err != nil {
					return errors.Trace(err)
				}
				if _, err := fmt.Fprintf(cmd.Root().Writer, "%s, seed %d, %s: %s", name, seed, policy, totals); err != nil {
					return errors.Trace(err)
				}
			}
		}
	}
	return nil
}

// fleetPolicies are the ways of choosing a replica that fleet compares.
var fleetPolicies = map[string]func(*model.VMConfig){
	"routed":      func(*model.VMConfig) {},
	"byLoad":      func(c *model.VMConfig) { c.Router.IgnoreSpeeds = true },
	"twoChoices":  func(c *model.VMConfig) { c.Plain = true },
	"leastLoaded": func(c *model.VMConfig) { c.Plain, c.Router.Choices = true, math.MaxInt },
}
