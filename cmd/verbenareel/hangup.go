package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// nodeCommandName is the name of the command that runs a node.
const nodeCommandName = "node"

// notifyHangup returns a channel that receives SIGHUP. The default action of SIGHUP would end the process, so the signal is
// caught from the start of main until the process has exited, and never released. In a build with cgo it is already ignored
// before that, while the packages are initialized.
func notifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// cancelOnHangup ends all commands but the node on SIGHUP, as on SIGTERM: their terminal has gone. For a node SIGHUP means
// that its settings file has changed.
func cancelOnHangup(ctx context.Context, c *cli.Command) (context.Context, error) {
	if c.Args().First() == nodeCommandName {
		return ctx, nil
	}
	ctx, _ = signal.NotifyContext(ctx, syscall.SIGHUP)
	return ctx, nil
}
