package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"verbenareel/fakes"
)

// fault is one fault injected during a run. The begin function of its kind is called at start, and the end function, which
// undoes the fault, after duration.
type fault struct {
	kind            string
	start, duration time.Duration
	target          *instance
}

// faultKinds defines the kinds of faults. Faults of the same target may overlap.
//
// generateFaults picks from the sorted names, so adding, removing or renaming a kind may change the faults of all seeds.
var faultKinds = map[string]struct {
	begin, end func(*run, *instance) error
}{
	"kill node":            {(*run).killNode, (*run).restartNode},
	"stop node":            {(*run).terminateNode, (*run).restartNode},
	"pause node":           {signalNode(syscall.SIGSTOP), signalNode(syscall.SIGCONT)},
	"pause server":         {signalServer(syscall.SIGSTOP), signalServer(syscall.SIGCONT)},
	"reload node":          {signalNode(syscall.SIGHUP), noop},
	"crash server":         {(*run).crashServer, noop},
	"server turns cold":    {(*run).makeServerCold, noop},
	"reset peers":          {onLink(peerLink, (*fakes.Forwarder).Cut), noop},
	"silence peers":        {onLink(peerLink, (*fakes.Forwarder).StallOpen), onLink(peerLink, (*fakes.Forwarder).Resume)},
	"mute peers":           {onLink(peerLink, (*fakes.Forwarder).StallAll), onLink(peerLink, (*fakes.Forwarder).Resume)},
	"cut peers one way":    {onLink(peerLink, (*fakes.Forwarder).StallResponses), onLink(peerLink, (*fakes.Forwarder).Resume)},
	"delay peers":          {onLink(peerLink, addDelay), onLink(peerLink, removeDelay)},
	"reset server":         {onLink(serverLink, (*fakes.Forwarder).Cut), noop},
	"silence server":       {onLink(serverLink, (*fakes.Forwarder).StallOpen), onLink(serverLink, (*fakes.Forwarder).Resume)},
	"delay server":         {onLink(serverLink, addDelay), onLink(serverLink, removeDelay)},
	"reset platform":       {onLink(platformLink, (*fakes.Forwarder).Cut), noop},
	"mute platform":        {onLink(platformLink, (*fakes.Forwarder).StallAll), onLink(platformLink, (*fakes.Forwarder).Resume)},
	"platform down":        {setPlatformMode(fakes.ModeDown), setPlatformMode(fakes.ModeUp)},
	"platform frozen":      {setPlatformMode(fakes.ModeFrozen), setPlatformMode(fakes.ModeUp)},
	"change configuration": {(*run).publish, noop},
	"domain out":           {(*run).takeDomainOut, (*run).returnDomain},
}

// linkDelay is the delay that a fault adds to each chunk of data on a link.
const linkDelay = 60 * time.Millisecond

func noop(*run, *instance) error { return nil }

func addDelay(f *fakes.Forwarder) { f.SetDelay(linkDelay) }

func removeDelay(f *fakes.Forwarder) { f.SetDelay(0) }

func peerLink(i *instance) *fakes.Forwarder { return i.peerLink }

func serverLink(i *instance) *fakes.Forwarder { return i.serverLink }

func platformLink(i *instance) *fakes.Forwarder { return i.platformLink }

func onLink(link func(*instance) *fakes.Forwarder, change func(*fakes.Forwarder)) func(*run, *instance) error {
	return func(_ *run, i *instance) error {
		change(link(i))
		return nil
	}
}

func signalNode(signal syscall.Signal) func(*run, *instance) error {
	return func(_ *run, i *instance) error {
		node, _ := i.processes()
		node.signal(signal)
		return nil
	}
}

func signalServer(signal syscall.Signal) func(*run, *instance) error {
	return func(_ *run, i *instance) error {
		_, server := i.processes()
		server.signal(signal)
		return nil
	}
}

func setPlatformMode(mode fakes.Mode) func(*run, *instance) error {
	return func(r *run, _ *instance) error {
		r.fleet.platform.SetMode(mode)
		return nil
	}
}

func (r *run) killNode(i *instance) error {
	node, _ := i.processes()
	node.stop()
	return nil
}

// terminateNode starts a graceful shutdown of the node. restartNode waits until the node has exited.
func (r *run) terminateNode(i *instance) error {
	node, _ := i.processes()
	node.signal(syscall.SIGTERM)
	return nil
}

// restartNode starts the node again after it has exited. If the process is still running one second after drainTimeout, it
// has to answer status requests: another fault has already restarted it.
func (r *run) restartNode(i *instance) error {
	node, _ := i.processes()
	node.signal(syscall.SIGCONT)
	select {
	case <-node.exited:
	case <-time.After(drainTimeout + time.Second):
		select {
		case <-node.exited:
		default:
			if r.fleet.waitFor(requestTimeout, "answer", func() bool { return r.respondsToStatus(i) }) == nil {
				return nil
			}
			return fmt.Errorf("node %s neither answers status requests nor has exited %v after SIGTERM", i.entry.Instance, drainTimeout+time.Second)
		}
	}
	return r.fleet.startNode(i, node)
}

// respondsToStatus reports whether the node answers a request at its status address.
func (r *run) respondsToStatus(i *instance) bool {
	var report any
	return r.fleet.fetch(i.status, "/status", &report) == nil
}

func (r *run) crashServer(i *instance) error { return r.post(i, "/fake/crash") }

func (r *run) makeServerCold(i *instance) error { return r.post(i, "/fake/cold") }

// post sends a control request to the fake backend server. Failures are ignored: the server may be paused by another fault.
func (r *run) post(i *instance, path string) error {
	response, err := r.fleet.client.Post("http://"+i.backend+path, "", http.NoBody)
	if err == nil {
		_ = response.Body.Close()
	}
	return nil
}

func (r *run) publish(*instance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.platform.Publish(r.fleet.document(r.outOfService...))
	return nil
}

func (r *run) takeDomainOut(i *instance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outOfService = append(r.outOfService, i.entry.Domain)
	r.fleet.platform.Publish(r.fleet.document(r.outOfService...))
	return nil
}

func (r *run) returnDomain(i *instance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := slices.Index(r.outOfService, i.entry.Domain); at >= 0 {
		r.outOfService = slices.Delete(r.outOfService, at, at+1)
	}
	r.fleet.platform.Publish(r.fleet.document(r.outOfService...))
	return nil
}

// generateFaults returns the faults of a run in order of their start. Depending on the random gaps and durations, faults
// occur alone, in sequence or overlapping. The same seed gives the same faults.
func generateFaults(random *rand.Rand, instances []*instance, length time.Duration) []fault {
	const meanGap = 400 * time.Millisecond
	names := make([]string, 0, len(faultKinds))
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var faults []fault
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		f := fault{
			kind: names[random.IntN(len(names))], start: at, target: instances[random.IntN(len(instances))],
			duration: 100*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
		}
		faults = append(faults, f)
		// In one of three cases a second fault hits the same target before the first has ended.
		if random.IntN(3) == 0 {
			f.start += time.Duration(random.Int64N(int64(f.duration)))
			f.kind = names[random.IntN(len(names))]
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.start - b.start) })
	return faults
}

// String formats the fault as a line of the report.
func (f fault) String() string {
	return fmt.Sprintf("%8v for %6v  %-22s %s", f.start.Round(time.Millisecond), f.duration.Round(time.Millisecond), f.kind, f.target.entry.Instance)
}

// injectFaults injects the faults at their times and returns when all have ended.
func (r *run) injectFaults(faults []fault) error {
	start := time.Now()
	var failures []error
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.start)))
		r.events.Go(func() {
			err := faultKinds[f.kind].begin(r, f.target)
			time.Sleep(time.Until(start.Add(f.start + f.duration)))
			if err = errors.Join(err, faultKinds[f.kind].end(r, f.target)); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				failures = append(failures, fmt.Errorf("%s: %w", f.kind, err))
			}
		})
	}
	r.events.Wait()
	return errors.Join(failures...)
}
