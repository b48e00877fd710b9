package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"verbenareel/trace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "join the log lines of several nodes about one request, and say how it ended and why",
		ArgsUsage: "ID FILE...",
		Action:    runTrace,
	}
}

func runTrace(_ context.Context, c *cli.Command) error {
	if c.NArg() < 2 {
		return &usageError{err: errors.New("trace needs the id of a request and the logs of the nodes")}
	}
	t := trace.New(c.Args().First())
	for _, path := range c.Args().Tail() {
		if err := readTrace(t, path); err != nil {
			return err
		}
	}
	return t.Write(c.Root().Writer)
}

func readTrace(t *trace.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open the log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := t.Read(file); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}
