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
		Usage:     "merge the log lines of several nodes about one request and explain its outcome",
		ArgsUsage: "ID FILE...",
		Action:    runTrace,
	}
}

func runTrace(_ context.Context, c *cli.Command) error {
	if c.NArg() < 2 {
		return &usageError{err: errors.New("trace requires a request ID and at least one log file")}
	}
	t := trace.New(c.Args().First())
	for _, path := range c.Args().Tail() {
		if err := readTraceFile(t, path); err != nil {
			return err
		}
	}
	return t.Write(c.Root().Writer)
}

func readTraceFile(t *trace.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := t.Read(file); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}
