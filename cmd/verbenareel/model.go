package main

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"verbenareel/model"
)

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:      "model",
		Usage:     "simulate admission policies under a load pattern in virtual time and show the service per second",
		ArgsUsage: "PATTERN",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "list", Usage: "list patterns and policies"},
			&cli.StringSliceFlag{Name: "policy", Aliases: []string{"p"}, Usage: "policy to simulate; may be repeated (default: all)"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random number generator"},
			&cli.BoolFlag{Name: "plot", Value: true, Usage: "show a bar for each second"},
		},
		Action: runModel,
	}
}

func runModel(_ context.Context, c *cli.Command) error {
	if c.Bool("list") {
		return listModel(c)
	}
	if c.NArg() != 1 {
		return &usageError{err: errors.New("model requires exactly one pattern name, or --list")}
	}
	pattern, err := model.FindPattern(c.Args().First())
	if err != nil {
		return &usageError{err: err}
	}
	policies := model.Policies()
	if names := c.StringSlice("policy"); len(names) > 0 {
		policies = nil
		for _, name := range names {
			policy, err := model.FindPolicy(name)
			if err != nil {
				return &usageError{err: err}
			}
			policies = append(policies, policy)
		}
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "%s\n\n", pattern.Description)
	for _, policy := range policies {
		if err := model.Simulate(pattern, policy, c.Uint64("seed")).Write(c.Root().Writer, c.Bool("plot")); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.Root().Writer)
	}
	return nil
}

func listModel(c *cli.Command) error {
	table := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	for _, p := range model.Patterns() {
		_, _ = fmt.Fprintf(table, "pattern\t%s\t%s\n", p.Name, p.Description)
	}
	for _, p := range model.Policies() {
		_, _ = fmt.Fprintf(table, "policy\t%s\t%s\n", p.Name, p.Description)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write list: %w", err)
	}
	return nil
}
