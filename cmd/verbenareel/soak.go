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
		Usage: "run nodes and simulated backend servers as processes, inject random faults, and check the promises",
		Flags: []cli.Flag{
			&cli.Uint64SliceFlag{Name: "seed", Usage: "seed of a run; may be repeated (default: random seeds)"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of runs with random seeds"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "maximum number of concurrent runs"},
			&cli.IntFlag{Name: "instances", Value: 9, Usage: "number of nodes per run, each with a backend server"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "time during which faults are injected"},
			&cli.BoolFlag{Name: "large", Usage: "publish documents of up to 1 MB, over links of 10 Mbit/s"},
			&cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "print the faults of each run"},
		},
		Action: runSoak,
	}
}

// failedRunsError reports how many runs broke a promise or could not be completed.
type failedRunsError struct {
	broken, runs int
}

// Error implements error.
func (e *failedRunsError) Error() string {
	return fmt.Sprintf("%d of %d runs broke a promise or could not be completed", e.broken, e.runs)
}

func runSoak(ctx context.Context, c *cli.Command) error {
	binary, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of this executable: %w", err)
	}
	seeds := c.Uint64Slice("seed")
	for len(c.Uint64Slice("seed")) == 0 && len(seeds) < c.Int("runs") {
		seeds = append(seeds, rand.Uint64N(1<<32))
	}
	var mu sync.Mutex
	failed := 0
	runs := pool.New().WithMaxGoroutines(max(1, c.Int("parallel")))
	for _, seed := range seeds {
		runs.Go(func() {
			var out bytes.Buffer
			options := soak.Options{Binary: binary, Seed: seed, FaultDuration: c.Duration("length"), Instances: c.Int("instances"), LargeDocuments: c.Bool("large")}
			faults, err := soak.Run(ctx, options, &out)
			mu.Lock()
			defer mu.Unlock()
			if len(faults) > 0 || err != nil {
				failed++
			}
			writeSoak(c, seed, out.Bytes(), faults, err)
		})
	}
	runs.Wait()
	if failed > 0 {
		return &failedRunsError{broken: failed, runs: len(seeds)}
	}
	return nil
}

// writeSoak prints the result of one run and its broken promises. The injected faults are printed if the run failed or
// --verbose is set.
func writeSoak(c *cli.Command, seed uint64, out []byte, broken []string, err error) {
	w := c.Root().Writer
	verdict := "kept"
	if len(broken) > 0 || err != nil {
		verdict = "BROKEN"
	}
	output := bytes.TrimSpace(out)
	if verdict == "kept" && !c.Bool("verbose") {
		output = output[bytes.LastIndexByte(output, '\n')+1:]
	}
	_, _ = fmt.Fprintf(w, "seed %d: %s\n%s\n", seed, verdict, output)
	for _, b := range broken {
		_, _ = fmt.Fprintf(w, "  broken: %s\n", b)
	}
	if err != nil {
		_, _ = fmt.Fprintf(w, "  not completed: %v\n", err)
	}
}
