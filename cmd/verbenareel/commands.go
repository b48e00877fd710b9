package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdio "io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"verbenareel/config"
	"verbenareel/io"
	"verbenareel/load"
	"verbenareel/node"
	"verbenareel/platform"
	"verbenareel/schema"
	"verbenareel/trial"
)

// statusTimeout is the timeout of a request to the status address of a node.
const statusTimeout = 5 * time.Second

func nodeCommand(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  nodeCommandName,
		Usage: "run one node next to its backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Aliases: []string{"s"}, Required: true, Sources: cli.EnvVars("VERBENAREEL_CONFIG"),
				Usage: "TOML settings `FILE` of the node",
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runNode(ctx, c, hangups) },
	}
}

// runNode runs a node until ctx is cancelled and its graceful shutdown has finished. Its settings are reloaded all the while.
func runNode(ctx context.Context, c *cli.Command, hangups <-chan os.Signal) error {
	// Otherwise the first log line after the reader of standard output or standard error has gone would end the process.
	signal.Ignore(syscall.SIGPIPE)
	limitHeap()
	text, err := os.ReadFile(c.String("settings"))
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	settings, err := config.ParseSettings(text)
	if err != nil {
		return fmt.Errorf("settings %s: %w", c.String("settings"), err)
	}
	logger, err := newLogger(settings.GetLogLevel(), os.Stdout)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	options := []node.Option{node.WithLogger(logger.Logger)}
	if settings.GetAdapter() == config.AdapterStore {
		adapter, err := platform.New(settings, clockwork.NewRealClock(), logger.Logger)
		if err != nil {
			return fmt.Errorf("create platform adapter: %w", err)
		}
		options = append(options, node.WithAdapter(adapter))
	}
	n, err := node.New(settings, options...)
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	logger.registerMetrics(n.Registry())
	watcher := &settingsWatcher{path: c.String("settings"), text: text, level: logger.level, logger: logger.Logger, node: n, hangups: hangups}
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { watcher.watch(watchCtx) })
	return n.Run(ctx)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate configuration documents or settings files and list all errors",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "settings", Usage: "the files are node settings instead of documents"},
		},
		Action: runCheck,
	}
}

// invalidFilesError reports the number of invalid files. Their errors have already been printed.
type invalidFilesError struct {
	files int
}

// Error implements error.
func (e *invalidFilesError) Error() string { return fmt.Sprintf("%d files are invalid", e.files) }

func runCheck(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return &usageError{err: errors.New("check requires at least one file")}
	}
	invalid := 0
	for _, path := range c.Args().Slice() {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read file: %w", err)
		}
		var warnings []string
		if c.Bool("settings") {
			var settings *schema.Settings
			settings, err = config.ParseSettings(text)
			warnings = config.CallerWarnings(settings, io.MachineMemory(), io.Descriptors())
		} else {
			_, err = config.ParseDocument(text)
		}
		if err != nil {
			invalid++
			_, _ = fmt.Fprintf(c.Root().Writer, "%s:\n%v\n", path, err)
			continue
		}
		for _, warning := range warnings {
			_, _ = fmt.Fprintf(c.Root().Writer, "%s: warning: %s\n", path, warning)
		}
		_, _ = fmt.Fprintf(c.Root().Writer, "%s: ok\n", path)
	}
	if invalid > 0 {
		return &invalidFilesError{files: invalid}
	}
	return nil
}

// addressFlag returns the flag for the status address of a node.
func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Aliases: []string{"a"}, Required: true, Usage: "status `IP:PORT` of a node"}
}

// fetch returns the response body of a GET request to the status address of a node.
func fetch(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("invalid status address: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request to node: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := stdio.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read response of node: %w", err)
	}
	return body, nil
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the status of a node and its view of each instance",
		Flags: []cli.Flag{addressFlag(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			body, err := fetch(ctx, c.String("address"), "/status")
			if err != nil {
				return err
			}
			if c.Bool("json") {
				_, _ = fmt.Fprintln(c.Root().Writer, string(body))
				return nil
			}
			var report node.Report
			if err := json.Unmarshal(body, &report); err != nil {
				return fmt.Errorf("decode status of node: %w", err)
			}
			return writeStatus(c.Root().Writer, report)
		},
	}
}

func writeStatus(w stdio.Writer, r node.Report) error {
	_, _ = fmt.Fprintf(w, "instance %s  service %s  failure domain %s\nrevision %d  state %s  in flight %d  queued %d  limit %d\n",
		r.Instance, r.Service, r.Domain, r.Revision, r.State, r.InFlight, r.Queued, r.Limit)
	_, _ = fmt.Fprintf(w, "document confirmed %s, list read %s\n", formatAge(r.ConfirmedAge), formatAge(r.ListAge))
	if r.Lost != "" {
		_, _ = fmt.Fprintf(w, "platform cannot be read: %s\n", r.Lost)
	}
	if r.Quota != "" {
		_, _ = fmt.Fprintf(w, "quotas: %s\n", r.Quota)
	}
	if r.Rejected != "" {
		_, _ = fmt.Fprintf(w, "rejected document: %s\n", r.Rejected)
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "instance\tservice\tfailure domain\tstate\twhy")
	for _, i := range r.Instances {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", i.Instance, i.Service, i.Domain, i.State, i.Why)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write status: %w", err)
	}
	return writeCustomers(w, r.Customers)
}

// formatAge formats an age in seconds for display. A negative age means never.
func formatAge(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return time.Duration(seconds*float64(time.Second)).Round(time.Millisecond).String() + " ago"
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain why an instance receives calls from a node, or why it receives none",
		ArgsUsage: "INSTANCE",
		Flags:     []cli.Flag{addressFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return &usageError{err: errors.New("explain requires exactly one instance name")}
			}
			body, err := fetch(ctx, c.String("address"), "/explain/"+c.Args().First())
			if err != nil {
				return err
			}
			_, _ = fmt.Fprint(c.Root().Writer, string(body))
			return nil
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run 14 nodes with simulated backend servers in this process, inject faults, and check the promises",
		Flags: []cli.Flag{&cli.StringFlag{Name: "log-level", Value: "error", Usage: "debug, info, warn or error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			logger, err := newLogger(c.String("log-level"), os.Stdout)
			if err != nil {
				return err
			}
			return trial.Demo(ctx, c.Root().Writer, logger.Logger)
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "generate open-loop load on nodes and print outcomes and latency percentiles",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Aliases: []string{"t"}, Required: true, Usage: "HTTP `IP:PORT` of a node; may be repeated"},
			&cli.StringSliceFlag{Name: "get", Usage: "path of repeatable calls; may be repeated"},
			&cli.StringSliceFlag{Name: "post", Usage: "path of calls that must run at most once; may be repeated"},
			&cli.Float64Flag{Name: "rate", Value: 100, Usage: "calls per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time during which calls are started"},
			&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "timeout of an attempt"},
			&cli.IntFlag{Name: "resends", Value: 3, Usage: "maximum resends of a call with an unknown outcome"},
			&cli.IntFlag{Name: "body", Usage: "body size of each call in bytes"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	plan := load.Plan{
		Targets:  c.StringSlice("target"),
		Rate:     c.Float64("rate"),
		Duration: c.Duration("duration"),
		Timeout:  c.Duration("timeout"),
		Resends:  c.Int("resends"),
	}
	for _, path := range c.StringSlice("get") {
		plan.Classes = append(plan.Classes, newClass("GET", path, true, c.Int("body")))
	}
	for _, path := range c.StringSlice("post") {
		plan.Classes = append(plan.Classes, newClass("POST", path, false, c.Int("body")))
	}
	summary, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	if !c.Bool("json") {
		return summary.WriteTable(c.Root().Writer)
	}
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(summary.Records()); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

func newClass(method, path string, repeatable bool, body int) load.Class {
	name := method + " " + strings.TrimSuffix(path, "/")
	return load.Class{Name: name, Method: method, Path: path, Weight: 1, Repeatable: repeatable, BodySize: body}
}
