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

const roundsHelp = `Plots the worth of each standard day over the measured rounds, and what each kind
of request earned in the mean of these days, from the journal of the users' bench:
two SVG files for each site.

Example:
   gwload rounds --journal journal --plot docs/figures`

// drawnDay begins the names of days that are drawn for one round only.
const drawnDay = "fresh-"

func roundsCommand() *cli.Command {
	return &cli.Command{
		Name:        "rounds",
		Usage:       "plot the measured rounds in the journal",
		Description: roundsHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "directory with the entries"},
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

// readRounds returns the rounds of each site in the order of their files' names,
// which begin with the time.
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

func plotRounds(dir, site string, rounds []platform.Round) error {
	days, kinds := map[string]plotter.XYs{}, map[string]plotter.XYs{}
	for i, round := range rounds {
		sums, counts := map[string]float64{}, map[string]float64{}
		for _, day := range round.Days {
			if strings.HasPrefix(day.Name, drawnDay) {
				continue
			}
			days[day.Name] = append(days[day.Name], plotter.XY{X: float64(i + 1), Y: day.Worth})
			for k, part := range day.EarnedByKind {
				if part != nil {
					name := fmt.Sprint("kind ", k+1)
					sums[name] += *part
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

// plotLines writes one line for each name over the rounds.
func plotLines(dir, name, title string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "round"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = true
	var names []string
	for line := range lines {
		names = append(names, line)
	}
	slices.Sort(names)
	for i, line := range names {
		drawn, points, err := plotter.NewLinePoints(lines[line])
		if err != nil {
			return errors.Annotatef(err, "plotLines: %s", line)
		}
		drawn.Color = palette[i%len(palette)]
		points.Color = drawn.Color
		drawn.Dashes = plotDashes[i/len(palette)%len(plotDashes)]
		p.Add(drawn, points)
		p.Legend.Add(line, drawn, points)
	}
	return errors.Annotate(p.Save(plotWidth, plotHeight, filepath.Join(dir, name+".svg")), "plotLines")
}
