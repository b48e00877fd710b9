package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/urfave/cli/v3"

	"verbenareel/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run nodes and stand-ins as processes, break them at random, and check the promises",
		Flags: []cli.Flag{
			&cli.Uint64SliceFlag{Name: "seed", Usage: "seed of a run; repeat for more (default: fresh ones)"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of runs with fresh seeds"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "runs at the same time"},
			&cli.IntFlag{Name: "instances", Value: 9, Usage: "nodes of a run, each with a server"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "time in which faults begin"},
			&cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "print the faults of each run"},
		},
		Action: runSoak,
	}
}

// brokenRunsError tells how many runs broke a promise.
type brokenRunsError struct {
	broken, runs int
}

// Error implements error.
func (e *brokenRunsError) Error() string {
	return fmt.Sprintf("%d of %d runs broke a promise or could not be made", e.broken, e.runs)
}

func runSoak(ctx context.Context, c *cli.Command) error {
	binary, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of this program: %w", err)
	}
	seeds := c.Uint64Slice("seed")
	for len(c.Uint64Slice("seed")) == 0 && len(seeds) < c.Int("runs") {
		seeds = append(seeds, rand.Uint64N(1<<32))
	}
	var mu sync.Mutex
	broken := 0
	runs := pool.New().WithMaxGoroutines(max(1, c.Int("parallel")))
	for _, seed := range seeds {
		runs.Go(func() {
			var out bytes.Buffer
			options := soak.Options{Binary: binary, Seed: seed, Length: c.Duration("length"), Instances: c.Int("instances")}
			faults, err := soak.Run(ctx, options, &out)
			mu.Lock()
			defer mu.Unlock()
			if len(faults) > 0 || err != nil {
				broken++
			}
			writeSoak(c, seed, out.Bytes(), faults, err)
		})
	}
	runs.Wait()
	if broken > 0 {
		return &brokenRunsError{broken: broken, runs: len(seeds)}
	}
	return nil
}

// writeSoak prints one run: the faults if it failed or if all are asked for, and the broken promises.
func writeSoak(c *cli.Command, seed uint64, out []byte, broken []string, err error) {
	w := c.Root().Writer
	verdict := "kept"
	if len(broken) > 0 || err != nil {
		verdict = "BROKEN"
	}
	last := bytes.TrimSpace(out)
	if verdict == "kept" && !c.Bool("verbose") {
		last = last[bytes.LastIndexByte(last, '\n')+1:]
	}
	_, _ = fmt.Fprintf(w, "seed %d: %s\n%s\n", seed, verdict, last)
	for _, b := range broken {
		_, _ = fmt.Fprintf(w, "  broken: %s\n", b)
	}
	if err != nil {
		_, _ = fmt.Fprintf(w, "  not made: %v\n", err)
	}
}
