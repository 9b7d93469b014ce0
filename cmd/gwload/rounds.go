package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"gentianwell/platform"
)

const roundsHelp = `Plots measured rounds from the journal of the users' benchmark: the worth of each
standard day in each round, and the worth earned by each kind of request as the
mean of these days. Writes two SVG files for each site.

Example:
   gwload rounds --journal journal --plot docs/figures`

// singleRoundPrefix begins the names of days that are generated for one round only; they
// are not plotted.
const singleRoundPrefix = "fresh-"

func roundsCommand() *cli.Command {
	return &cli.Command{
		Name:        "rounds",
		Usage:       "plot the measured rounds in the journal",
		Description: roundsHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "directory with the journal entries"},
			&cli.StringFlag{Name: "plot", Value: "docs/figures", Usage: "write SVG files into this directory"},
		},
		Action: runRounds,
	}
}

func runRounds(_ context.Context, cmd *cli.Command) error {
	rounds, err := readRounds(cmd.String("journal"))
	if err != nil {
		return errors.Trace(err)
	}
	for site, list := range rounds {
		if err := plotRounds(cmd.String("plot"), site, list); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// readRounds returns the rounds of each site in the order of time: the names of the
// files begin with it.
func readRounds(dir string) (map[string][]platform.Round, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	slices.Sort(files)
	rounds := map[string][]platform.Round{}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Trace(err)
		}
		round, ok, err := platform.ParseRound(raw)
		if err != nil {
			return nil, errors.Annotate(err, file)
		}
		if ok && round.Site != "" {
			rounds[round.Site] = append(rounds[round.Site], round)
		}
	}
	return rounds, nil
}

// plotRounds plots the rounds of a site as two SVG files.
func plotRounds(dir, site string, rounds []platform.Round) error {
	days, kinds := map[string]plotter.XYs{}, map[string]plotter.XYs{}
	for i, round := range rounds {
		sums, counts := map[string]float64{}, map[string]float64{}
		for _, day := range round.Days {
			if strings.HasPrefix(day.Name, singleRoundPrefix) {
				continue
			}
			days[day.Name] = append(days[day.Name], plotter.XY{X: float64(i + 1), Y: day.Worth})
			for k, earned := range day.EarnedByKind {
				if earned != nil {
					name := fmt.Sprint("kind ", k+1)
					sums[name] += *earned
					counts[name]++
				}
			}
		}
		for name, sum := range sums {
			kinds[name] = append(kinds[name], plotter.XY{X: float64(i + 1), Y: sum / counts[name]})
		}
	}
	if err := plotLines(dir, site+"-days", "worth by day", days); err != nil {
		return errors.Trace(err)
	}
	return plotLines(dir, site+"-kinds", "earned by kind of request, mean of the standard days", kinds)
}

// plotLines plots one line over the rounds for each name.
func plotLines(dir, name, title string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "round"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	var lineNames []string
	for lineName := range lines {
		lineNames = append(lineNames, lineName)
	}
	slices.Sort(lineNames)
	for i, lineName := range lineNames {
		line, points, err := plotter.NewLinePoints(lines[lineName])
		if err != nil {
			return errors.Annotatef(err, "plotLines: %s", lineName)
		}
		line.Color = palette[i%len(palette)]
		points.Color = line.Color
		line.Dashes = plotDashes[i/len(palette)%len(plotDashes)]
		p.Add(line, points)
		p.Legend.Add(lineName, line, points)
	}
	return errors.Annotate(p.Save(plotWidth, plotHeight, filepath.Join(dir, name+".svg")), "plotLines")
}
