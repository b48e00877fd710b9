package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"verbenareel/trial"
)

func trialCommand() *cli.Command {
	return &cli.Command{
		Name:      "trial",
		Usage:     "measure the scenarios of docs/RESULTS.md and their baselines",
		ArgsUsage: "[SCENARIO...]",
		Description: "Scenarios: " + strings.Join(scenarioNames(), ", ") +
			".\nWithout arguments all scenarios run one after the other.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "debug, info, warn or error"},
		},
		Action: runTrial,
	}
}

func scenarioNames() []string {
	var names []string
	for _, s := range trial.Scenarios() {
		names = append(names, s.Name())
	}
	return names
}

func runTrial(ctx context.Context, c *cli.Command) error {
	selected := c.Args().Slice()
	for _, name := range selected {
		if !slices.Contains(scenarioNames(), name) {
			return &usageError{err: errors.New("unknown scenario " + name)}
		}
	}
	logger, err := newLogger(c.String("log-level"), os.Stdout)
	if err != nil {
		return err
	}
	var rows []trial.Row
	for _, s := range trial.Scenarios() {
		if len(selected) > 0 && !slices.Contains(selected, s.Name()) {
			continue
		}
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "%s: %s\n", s.Name(), s.Description())
		measured, err := s.Run(ctx, logger.Logger)
		rows = append(rows, measured...)
		if err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return trial.WriteJSON(c.Root().Writer, rows)
	}
	return trial.WriteRows(c.Root().Writer, rows)
}
