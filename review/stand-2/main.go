// Command stand-2 plays the script cases of the second review: it starts nodes as processes, with stand-ins for the platform's
// store, the application servers and the clients, and exits with 1 if a rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	// timeLimit is the longest time that a case may take.
	timeLimit = 110 * time.Second
)

// cases are the cases by name. Each returns what breaks the rule; none means that the rule held.
var cases = map[string]func(f *fleet) ([]string, error){
	"encoded-path":    encodedPath,
	"reused-address":  reusedAddress,
	"crash-midway":    crashing,
	"failed-with-503": failedWith503,
	"cold-restart":    coldRestart,
	"pipelined":       pipelined,
	"large-drain":     leavingInLargeFleet,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return exitCannotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		record.printf("cannot run: %v", err)
		return exitCannotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	f.group.Go(func() {
		broken, err := cases[os.Args[1]](f)
		done <- result{broken, err}
	})
	select {
	case <-interrupted:
		record.printf("interrupted")
		return exitCannotRun
	case <-time.After(timeLimit):
		record.printf("cannot run: not ended in %v", timeLimit)
		return exitCannotRun
	case r := <-done:
		return report(record, r.broken, r.err)
	}
}

func report(record *recorder, broken []string, err error) int {
	if err != nil {
		record.printf("cannot run: %v", err)
		_, _ = fmt.Println("cannot run:", err)
		return exitCannotRun
	}
	for _, line := range broken {
		record.printf("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		_, _ = fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	record.printf("held")
	_, _ = fmt.Println("held")
	return exitHeld
}
