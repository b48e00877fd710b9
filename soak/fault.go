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

// fault is one disturbance of a run. begin and end run at its times; end leaves nothing behind.
type fault struct {
	kind       string
	at, length time.Duration
	target     *instance
}

// kinds holds what each kind of fault does. Those of one target may overlap.
var kinds = map[string]struct {
	begin, end func(*run, *instance) error
}{
	"kill node":            {(*run).killNode, (*run).ensureNode},
	"stop node":            {(*run).termNode, (*run).ensureNode},
	"pause node":           {signalNode(syscall.SIGSTOP), signalNode(syscall.SIGCONT)},
	"pause server":         {signalServer(syscall.SIGSTOP), signalServer(syscall.SIGCONT)},
	"reload node":          {signalNode(syscall.SIGHUP), nothing},
	"crash server":         {(*run).crashServer, nothing},
	"server turns cold":    {(*run).coolServer, nothing},
	"reset peers":          {onLink(peerLink, (*fakes.Forwarder).Cut), nothing},
	"silence peers":        {onLink(peerLink, (*fakes.Forwarder).Silence), onLink(peerLink, (*fakes.Forwarder).Resume)},
	"mute peers":           {onLink(peerLink, (*fakes.Forwarder).Mute), onLink(peerLink, (*fakes.Forwarder).Resume)},
	"cut peers one way":    {onLink(peerLink, (*fakes.Forwarder).Deafen), onLink(peerLink, (*fakes.Forwarder).Resume)},
	"delay peers":          {onLink(peerLink, slowly), onLink(peerLink, promptly)},
	"reset server":         {onLink(serverLink, (*fakes.Forwarder).Cut), nothing},
	"silence server":       {onLink(serverLink, (*fakes.Forwarder).Silence), onLink(serverLink, (*fakes.Forwarder).Resume)},
	"delay server":         {onLink(serverLink, slowly), onLink(serverLink, promptly)},
	"reset platform":       {onLink(platformLink, (*fakes.Forwarder).Cut), nothing},
	"mute platform":        {onLink(platformLink, (*fakes.Forwarder).Mute), onLink(platformLink, (*fakes.Forwarder).Resume)},
	"platform down":        {platformMode(fakes.ModeDown), platformMode(fakes.ModeUp)},
	"platform frozen":      {platformMode(fakes.ModeFrozen), platformMode(fakes.ModeUp)},
	"change configuration": {(*run).publish, nothing},
	"domain out":           {(*run).domainOut, (*run).domainBack},
}

// delayTime is the delay of each chunk on a link that a fault delays.
const delayTime = 60 * time.Millisecond

func nothing(*run, *instance) error { return nil }

func slowly(f *fakes.Forwarder) { f.SetDelay(delayTime) }

func promptly(f *fakes.Forwarder) { f.SetDelay(0) }

func peerLink(i *instance) *fakes.Forwarder { return i.link }

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

func platformMode(mode fakes.Mode) func(*run, *instance) error {
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

// termNode asks the node to stop. ensureNode waits for its end.
func (r *run) termNode(i *instance) error {
	node, _ := i.processes()
	node.signal(syscall.SIGTERM)
	return nil
}

// ensureNode starts a node again that has stopped. One that still runs drainTimeout and a second later has to answer: it was
// started again by another fault.
func (r *run) ensureNode(i *instance) error {
	node, _ := i.processes()
	node.signal(syscall.SIGCONT)
	select {
	case <-node.exited:
	case <-time.After(drainTimeout + time.Second):
		select {
		case <-node.exited:
		default:
			if r.fleet.await(askTimeout, "answer", func() bool { return r.answers(i) }) == nil {
				return nil
			}
			return fmt.Errorf("node %s neither serves nor exits %v after SIGTERM", i.entry.Instance, drainTimeout+time.Second)
		}
	}
	return r.fleet.startNode(i, node)
}

// answers reports whether the node answers on its status address.
func (r *run) answers(i *instance) bool {
	var report any
	return r.fleet.fetch(i.status, "/status", &report) == nil
}

func (r *run) crashServer(i *instance) error { return r.ask(i, "/fake/crash") }

func (r *run) coolServer(i *instance) error { return r.ask(i, "/fake/cold") }

// ask makes a stand-in change its behaviour. A server that is paused does not answer, which is no fault of the run.
func (r *run) ask(i *instance, path string) error {
	response, err := r.fleet.client.Post("http://"+i.backend+path, "", http.NoBody)
	if err == nil {
		_ = response.Body.Close()
	}
	return nil
}

func (r *run) publish(*instance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.platform.Publish(r.fleet.shape.Document(r.out...))
	return nil
}

func (r *run) domainOut(i *instance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out = append(r.out, i.entry.Domain)
	r.fleet.platform.Publish(r.fleet.shape.Document(r.out...))
	return nil
}

func (r *run) domainBack(i *instance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := slices.Index(r.out, i.entry.Domain); at >= 0 {
		r.out = slices.Delete(r.out, at, at+1)
	}
	r.fleet.platform.Publish(r.fleet.shape.Document(r.out...))
	return nil
}

// draw returns the faults of a seed, in order of time. They come one by one, in series and overlapping.
func draw(random *rand.Rand, instances []*instance, length time.Duration) []fault {
	const meanGap = 400 * time.Millisecond
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var faults []fault
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		f := fault{
			kind: names[random.IntN(len(names))], at: at, target: instances[random.IntN(len(instances))],
			length: 100*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second))),
		}
		faults = append(faults, f)
		// Some faults hit the same target again while they last.
		if random.IntN(3) == 0 {
			f.at += time.Duration(random.Int64N(int64(f.length)))
			f.kind = names[random.IntN(len(names))]
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// String returns the fault as a line of the report.
func (f fault) String() string {
	return fmt.Sprintf("%8v for %6v  %-22s %s", f.at.Round(time.Millisecond), f.length.Round(time.Millisecond), f.kind, f.target.entry.Instance)
}

// inflict carries out the faults and returns once all have ended.
func (r *run) inflict(faults []fault) error {
	began := time.Now()
	var failures []error
	for _, f := range faults {
		time.Sleep(time.Until(began.Add(f.at)))
		r.events.Go(func() {
			err := kinds[f.kind].begin(r, f.target)
			time.Sleep(time.Until(began.Add(f.at + f.length)))
			if err = errors.Join(err, kinds[f.kind].end(r, f.target)); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				failures = append(failures, fmt.Errorf("%s: %w", f.kind, err))
			}
		})
	}
	r.events.Wait()
	return errors.Join(failures...)
}
