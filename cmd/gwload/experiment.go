package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gentianwell/core/estim"
	"gentianwell/io/model"
)

// experimentCommand compares the policies on simulated engines.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the queueing and routing decisions against plain policies",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "all", Usage: "name of a workload, or all"},
			&cli.StringFlag{Name: "site", Value: "all", Usage: "lindqvist, association or all"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds"},
			&cli.Uint64Flag{Name: "first-seed", Value: 1, Usage: "first seed"},
			&cli.Float64Flag{Name: "extra", Value: model.DefaultExtraFraction, Usage: "requests of tier 0 beyond a full batch, as a fraction of the slots"},
			&cli.BoolFlag{Name: "preempt", Value: true, Usage: "engines preempt requests of lower tiers for tier 0"},
			&cli.Float64Flag{Name: "kept", Value: estim.WindowDefaults().ReservedFraction, Usage: "fraction of a batch that is reserved for tier 0"},
			&cli.DurationFlag{Name: "token-gap", Usage: "target for the time between tokens to which the batch is adapted (default: the target of urgent requests)"},
			&cli.StringFlag{Name: "plot", Usage: "write SVG files into this directory"},
			&cli.BoolFlag{Name: "json", Usage: "print every run as one line of JSON"},
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, cmd *cli.Command) error {
	workloads, err := chosenWorkloads(cmd.String("workload"))
	if err != nil {
		return errors.Trace(err)
	}
	sites, err := chosenSites(cmd.String("site"))
	if err != nil {
		return errors.Trace(err)
	}
	out := cmd.Root().Writer
	if !cmd.Bool("json") {
		fmt.Fprint(out, model.Targets)
	}
	for _, site := range sites {
		var results []workloadResult
		for _, w := range workloads {
			summaries, err := measure(out, cmd, site, w)
			if err != nil {
				return errors.Trace(err)
			}
			results = append(results, workloadResult{workload: w.Name, summaries: summaries})
		}
		if dir := cmd.String("plot"); dir != "" {
			if err := plotResults(dir, site, results); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// measure runs one workload with all policies and seeds and prints the results.
func measure(out io.Writer, cmd *cli.Command, site model.Site, w model.Workload) (model.Summaries, error) {
	var summaries model.Summaries
	for _, p := range model.AllPolicies() {
		var runs []*model.Figures
		for i := range cmd.Int("seeds") {
			seed := cmd.Uint64("first-seed") + uint64(i)
			f, err := model.Run(model.RunConfig{
				Workload: w, Site: site, Policy: p, Seed: seed, ExtraFraction: cmd.Float64("extra"), Preempts: cmd.Bool("preempt"), TokenGap: cmd.Duration("token-gap"), ReservedFraction: cmd.Float64("kept"),
			})
			if err != nil {
				return nil, errors.Trace(err)
			}
			runs = append(runs, f)
			if cmd.Bool("json") {
				if err := json.NewEncoder(out).Encode(f); err != nil {
					return nil, errors.Trace(err)
				}
			}
		}
		summaries = append(summaries, model.Summarize(runs))
	}
	if !cmd.Bool("json") {
		fmt.Fprintf(out, "\n%s, %s\n%s", site.Name, w.Name, summaries.Table())
	}
	return summaries, nil
}

func chosenWorkloads(name string) (model.Workloads, error) {
	if name == "all" {
		return model.AllWorkloads(), nil
	}
	w, err := model.WorkloadByName(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return model.Workloads{w}, nil
}

func chosenSites(name string) (model.Sites, error) {
	all := model.Sites{model.Lindqvist, model.Association}
	if name == "all" {
		return all, nil
	}
	for _, s := range all {
		if strings.EqualFold(s.Name, name) {
			return model.Sites{s}, nil
		}
	}
	return nil, errors.NotFoundf("site %q", name)
}
