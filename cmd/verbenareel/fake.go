package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"verbenareel/fakes"
)

func fakeCommand() *cli.Command {
	return &cli.Command{
		Name:     "fake",
		Usage:    "run a simulated backend server or platform for tests",
		Commands: []*cli.Command{fakeBackendCommand(), fakePlatformCommand()},
	}
}

func fakeBackendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a simulated backend server; POST JSON to /fake/control to configure it, GET /fake/stats for counters",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Value: "backend", Usage: "server name in answers"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "listen `IP:PORT`"},
			&cli.StringFlag{Name: "node", Usage: "HTTP `IP:PORT` of the server's node, for nested calls"},
			&cli.IntFlag{Name: "slots", Value: 18, Usage: "concurrency of the warm server"},
			&cli.IntFlag{Name: "cold", Value: 2, Usage: "concurrency of the server at a cold start"},
			&cli.DurationFlag{Name: "warm-time", Value: 4 * time.Second, Usage: "time from a cold start to full concurrency"},
			&cli.Float64Flag{Name: "service-time", Value: 5, Usage: "mean service time in milliseconds"},
			&cli.StringFlag{Name: "crash-on", Usage: "`TEXT` that crashes the server if a request body contains it"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			backend, err := fakes.NewBackend(c.String("name"), c.String("address"),
				fakes.WithSlots(c.Int("slots"), c.Int("cold"), c.Duration("warm-time")),
				fakes.WithControl(fakes.Control{ServiceTime: c.Float64("service-time"), Factor: 1, CrashOn: c.String("crash-on")}),
				fakes.WithNode(c.String("node")))
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "backend server %s listens on %s\n", c.String("name"), backend.Address())
			return backend.Serve(ctx)
		},
	}
}

func fakePlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a simulated platform; POST to /fake/document, /fake/instances or /fake/mode/MODE to change its state",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7000", Usage: "listen `IP:PORT`"},
			&cli.StringFlag{Name: "document", Usage: "TOML document `FILE` to publish"},
			&cli.StringFlag{Name: "instances", Usage: "JSON `FILE` with the instance list"},
			&cli.DurationFlag{Name: "lag", Value: 500 * time.Millisecond, Usage: "delay after which changes of the instance list become visible"},
		},
		Action: runFakePlatform,
	}
}

func runFakePlatform(ctx context.Context, c *cli.Command) error {
	platform, err := fakes.NewPlatform(c.String("address"), c.Duration("lag"))
	if err != nil {
		return err
	}
	if path := c.String("document"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read document: %w", err)
		}
		platform.Publish(text)
	}
	if path := c.String("instances"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read instance list: %w", err)
		}
		var entries []fakes.Entry
		if err := json.Unmarshal(text, &entries); err != nil {
			return fmt.Errorf("decode instance list %s: %w", path, err)
		}
		platform.List(entries)
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "platform listens on %s\n", platform.URL())
	return platform.Serve(ctx)
}
