// Command verbenareel runs a node of the load balancer and provides tools to validate its configuration, inspect running
// nodes and run tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	hangups := notifyHangup()
	// The signals are not released before the process exits: a further one must not cut short what the first one began.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand(hangups).Run(ctx, os.Args)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "verbenareel:", err)
		os.Exit(1)
	}
}

// newCommand returns the command line. hangups receives SIGHUP.
func newCommand(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "verbenareel",
		Usage: "load balancer for backend servers whose load shifts in milliseconds",
		Description: "One node runs next to each backend server instance. Callers send HTTP requests to any node.\n" +
			"Start with: verbenareel demo",
		Before: cancelOnHangup,
		Commands: []*cli.Command{
			nodeCommand(hangups),
			checkCommand(),
			keyCommand(),
			statusCommand(),
			explainCommand(),
			traceCommand(),
			demoCommand(),
			loadCommand(),
			modelCommand(),
			trialCommand(),
			soakCommand(),
			fakeCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &usageError{err: err}
		},
	}
}

// usageError reports invalid flags or arguments in one line.
type usageError struct {
	err error
}

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() + " (see --help)" }

// Unwrap returns the underlying error.
func (e *usageError) Unwrap() error { return e.err }
