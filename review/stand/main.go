// Command stand plays the cases of the review: each starts nodes as processes with the command of the deploy file, and
// stand-ins for the platform's store, the servers and the clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"hup":   hupInDrain,
	"late":  lateRequests,
	"lying": lyingHealth,
	"cut":   leavingBehindCut,
	"cold":  coldKilled,
	"mixed": brokenOffAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitCouldNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case. The record is written to the folder of the case.
func play(name, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.say("case %s, trouble %v", name, trouble)
	f, err := newFleet(log, "hk-a", "hk-b", "hk-c")
	if err != nil {
		log.say("could not run: %v", err)
		return exitCouldNotRun
	}
	defer f.close()
	ended := make(chan int, 1)
	go func() {
		broken, err := cases[name](f, trouble)
		switch {
		case err != nil:
			log.say("could not run: %v", err)
			ended <- exitCouldNotRun
		case broken:
			log.say("the rule is broken")
			ended <- exitBroken
		default:
			log.say("the rule held")
			ended <- exitHeld
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		return code
	case <-stopped:
	case <-time.After(110 * time.Second):
		log.say("could not run: too slow")
	}
	return exitCouldNotRun
}

func fixed(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

// startAll adds one machine for each zone given, starts the nodes and waits until they serve.
func startAll(f *fleet, service string, work func(*http.Request) time.Duration, zones ...string) error {
	for _, zone := range zones {
		if _, err := f.add(service, zone, work); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// watchReadiness asks a node for readiness once a second. The result tells whether its clients get new work: not after two
// misses in a row.
func watchReadiness(m *machine) *atomic.Bool {
	in := &atomic.Bool{}
	in.Store(true)
	go func() {
		misses := 0
		for {
			time.Sleep(time.Second)
			if m.ready() {
				misses = 0
			} else if misses++; misses >= 2 && in.Swap(false) {
				m.fleet.record.say("clients of %s get no more work", m.name)
			}
			in.Store(misses < 2)
		}
	}()
	return in
}

// hupInDrain stops a node by SIGTERM, and tells it a second later by SIGHUP that its settings file has changed.
// Rule LOST: around planned work, a request that a process has read, and that a server runs, gets a complete answer.
func hupInDrain(f *fleet, trouble bool) (bool, error) {
	f.publish(7, []route{{"orders", "/orders/", "unsafe", "1500ms", "cutting"}}, "cutting")
	if err := startAll(f, "cutting", fixed(400*time.Millisecond), "hk-a", "hk-a", "hk-b", "hk-c"); err != nil {
		return false, err
	}
	m := f.machines[0]
	in := watchReadiness(m)
	l := &load{}
	end := time.Now().Add(7 * time.Second)
	l.run(25*time.Millisecond, func() bool { return time.Now().After(end) || !in.Load() }, func(n int) *attempt {
		return do(f.record, m, "PUT", "/orders/x", fmt.Sprintf("order %d", n), 2*time.Second)
	})
	time.Sleep(2 * time.Second)
	termAt := time.Now()
	m.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if trouble {
		f.grace = "7s"
		if err := m.writeSettings(); err != nil {
			return false, err
		}
		m.signal(syscall.SIGHUP)
	}
	attempts := l.wait()
	time.Sleep(time.Second)
	lost := 0
	for _, a := range attempts {
		if a.unsent || a.code != 0 || a.sent.Before(termAt.Add(-2*time.Second)) {
			continue
		}
		for _, x := range f.machines {
			for _, r := range x.server.runsOf(a.id) {
				lost++
				f.record.say("LOST: %s, sent %.3f s after SIGTERM, run by %s (%s), ended after %.3f s: %s", a.id,
					a.sent.Sub(termAt).Seconds(), r.server, r.ended, a.ended.Sub(a.sent).Seconds(), a.err)
			}
		}
	}
	f.record.say("%d requests, %d passed on to a server and cut without an answer", len(l.attempts), lost)
	return lost > 0, nil
}

// lyingHealth lets one server leave: its entry says draining, and its health check says falsely that it is well. Without the
// disruption the health check tells the truth.
// Rule DRAIN: no request reaches a server later than drain (2 s) after the store has acknowledged that it is draining.
func lyingHealth(f *fleet, trouble bool) (bool, error) {
	const drain = 2 * time.Second
	f.publish(7, []route{{"orders", "/orders/", "unsafe", "1500ms", "cutting"}}, "cutting")
	if err := startAll(f, "cutting", fixed(200*time.Millisecond),
		"hk-a", "hk-b", "hk-c", "hk-a", "hk-b", "hk-c", "hk-a", "hk-b", "hk-c", "hk-a"); err != nil {
		return false, err
	}
	leaving := f.machines[0].server
	l := &load{}
	end := time.Now().Add(8 * time.Second)
	l.run(8*time.Millisecond, func() bool { return time.Now().After(end) }, func(n int) *attempt {
		return do(f.record, f.machines[1+n%9], "PUT", "/orders/x", fmt.Sprintf("order %d", n), 2*time.Second)
	})
	time.Sleep(2 * time.Second)
	leaving.sayWell.Store(trouble)
	leaving.leaving.Store(true)
	f.store.put("servers/"+leaving.id, leaving.entry("hk-a", "draining", 2))
	acknowledged := time.Now()
	f.record.say("the store has acknowledged that %s is draining; its health check says well: %v", leaving.id, trouble)
	// The server serves for drain after that, and a little longer.
	time.Sleep(drain + 1500*time.Millisecond)
	f.record.say("server %s exits", leaving.id)
	_ = leaving.server.Close()
	f.store.remove("servers/" + leaving.id)
	attempts := l.wait()
	late, lost := 0, 0
	leaving.mutex.Lock()
	defer leaving.mutex.Unlock()
	for _, a := range attempts {
		at, reached := leaving.arrivals[a.id]
		if !reached || at.Sub(acknowledged) <= drain || a.sent.Before(acknowledged) {
			continue
		}
		late++
		f.record.event("DRAIN: %s reaches %s %.3f s after the acknowledgement", a.id, leaving.id, at.Sub(acknowledged).Seconds())
		if a.code != http.StatusOK {
			lost++
			f.record.say("order %s reached the leaving server %.3f s after the acknowledgement and ended with %d %s", a.id,
				at.Sub(acknowledged).Seconds(), a.code, a.err)
		}
	}
	f.record.say("%d orders; %d reached the server later than %v after the acknowledgement; %d of these were lost", len(attempts), late, drain, lost)
	return late > 0, nil
}

// lateRequests stops the only node of a zone by SIGTERM while servers are at work on long requests.
// Rule LOST: after a SIGTERM no request at which its server is at work is broken off, unless the server was still at work in
// the last sixth of grace on a request that was sent no later than 3 s after the SIGTERM, or its time was up.
func lateRequests(f *fleet, trouble bool) (bool, error) {
	const timeout = 2 * time.Second
	// One request in three takes 1.8 s, the others 0.3 s.
	work := func(r *http.Request) time.Duration {
		if r.URL.Path[len(r.URL.Path)-1] == '0' {
			return 1800 * time.Millisecond
		}
		return 300 * time.Millisecond
	}
	f.publish(7, []route{{"orders", "/orders/", "unsafe", "2000ms", "cutting"}, {"deposits", "/deposits/", "unsafe", "2000ms", "sheets"}}, "cutting", "sheets")
	if _, err := f.add("sheets", "hk-b", work); err != nil {
		return false, err
	}
	if err := startAll(f, "cutting", work, "hk-a", "hk-c"); err != nil {
		return false, err
	}
	m := f.machines[1]
	l := &load{}
	end := time.Now().Add(9 * time.Second)
	past := func() bool { return time.Now().After(end) }
	l.run(40*time.Millisecond, past, func(n int) *attempt {
		return do(f.record, f.machines[0], "PUT", fmt.Sprintf("/orders/%d", n%3), fmt.Sprintf("order %d", n), 3*time.Second)
	})
	l.run(70*time.Millisecond, past, func(n int) *attempt {
		return do(f.record, m, "PUT", fmt.Sprintf("/deposits/%d", n%3), fmt.Sprintf("deposit %d", n), 3*time.Second)
	})
	time.Sleep(2 * time.Second)
	termAt := time.Now()
	if trouble {
		m.signal(syscall.SIGTERM)
	}
	attempts := l.wait()
	time.Sleep(time.Second)
	lost := 0
	for _, a := range attempts {
		if a.to != m || a.unsent || a.signed != "" || a.sent.Sub(termAt) <= 3*time.Second || a.ended.Sub(a.sent) >= timeout {
			continue
		}
		for _, x := range f.machines {
			for _, r := range x.server.runsOf(a.id) {
				if r.end.IsZero() || r.end.After(a.ended) {
					lost++
					f.record.say("LOST: %s, sent %.3f s after SIGTERM, run by %s (%s, %.3f s), broken off after %.3f s: %d %s", a.id,
						a.sent.Sub(termAt).Seconds(), r.server, r.ended, r.end.Sub(r.start).Seconds(), a.ended.Sub(a.sent).Seconds(), a.code, a.err)
				}
			}
		}
	}
	f.record.say("%d requests, %d broken off while their server was at work", len(attempts), lost)
	return lost > 0, nil
}

// leavingBehindCut lets servers leave one after the other, each while its machine is cut off from the store. The server's entry
// is removed once the cut has mended; without the disruption, at once. Its health check tells the truth all the while.
// Rule DRAIN: no request reaches a server later than drain (2 s) after the store has acknowledged that it is gone, from
// machines in touch: none that was cut off in the last 3 s.
func leavingBehindCut(f *fleet, trouble bool) (bool, error) {
	const (
		drain  = 2 * time.Second
		window = 3 * time.Second
		cut    = 3 * time.Second
		// before is how long before the end of the cut the server begins to leave, and after how long after it the store
		// hears of that.
		before = 500 * time.Millisecond
		after  = time.Second
		// longer is how much longer than drain the server serves.
		longer = 500 * time.Millisecond
	)
	f.publish(7, []route{{"orders", "/orders/", "unsafe", "1500ms", "cutting"}}, "cutting")
	var proxies []*proxy
	for _, zone := range []string{"hk-a", "hk-b", "hk-c", "hk-a", "hk-b", "hk-c", "hk-a", "hk-b", "hk-c", "hk-a", "hk-b"} {
		m, err := f.add("cutting", zone, fixed(250*time.Millisecond))
		if err != nil {
			return false, err
		}
		p, err := newProxy(f.endpoint.address)
		if err != nil {
			return false, err
		}
		defer p.close()
		m.storeAddress = p.address()
		proxies = append(proxies, p)
	}
	if err := startAll(f, "cutting", nil); err != nil {
		return false, err
	}
	l := &load{}
	var stop atomic.Bool
	l.run(10*time.Millisecond, stop.Load, func(n int) *attempt {
		return do(f.record, f.machines[9+n%2], "PUT", "/orders/x", fmt.Sprintf("order %d", n), 2*time.Second)
	})
	type leave struct {
		server             *appServer
		mended, acked, end time.Time
	}
	var leaves []*leave
	for i := range 9 {
		time.Sleep(500 * time.Millisecond)
		s := f.machines[i].server
		x := &leave{server: s}
		if trouble {
			f.record.say("machine %s is cut off from the store", f.machines[i].name)
			proxies[i].setCut(true)
		}
		time.Sleep(cut - before)
		s.leaving.Store(true)
		f.record.say("server %s leaves, and its health check says so", s.id)
		if trouble {
			time.Sleep(before)
			proxies[i].setCut(false)
			x.mended = time.Now()
			f.record.say("the cut has mended")
			time.Sleep(after)
		}
		f.store.remove("servers/" + s.id)
		x.acked = time.Now()
		f.record.say("the entry of %s is removed", s.id)
		time.Sleep(drain + longer)
		x.end = time.Now()
		f.record.say("server %s exits", s.id)
		_ = s.server.Close()
		leaves = append(leaves, x)
	}
	stop.Store(true)
	attempts := l.wait()
	late, lost := 0, 0
	for _, x := range leaves {
		count := 0
		x.server.mutex.Lock()
		for _, a := range attempts {
			at, reached := x.server.arrivals[a.id]
			if !reached || at.Sub(x.acked) <= drain || a.sent.Sub(x.mended) <= window || at.After(x.end) {
				continue
			}
			count++
			f.record.event("DRAIN: %s reaches %s %.3f s after the removal", a.id, x.server.id, at.Sub(x.acked).Seconds())
			if a.code != http.StatusOK {
				lost++
				f.record.say("order %s reached %s %.3f s after its removal and ended with %d %s", a.id, x.server.id, at.Sub(x.acked).Seconds(), a.code, a.err)
			}
		}
		x.server.mutex.Unlock()
		f.record.say("%d orders reached %s later than %v after its removal", count, x.server.id, drain)
		late += count
	}
	f.record.say("%d orders; %d reached a server later than %v after its removal; %d of these were lost", len(attempts), late, drain, lost)
	return late > 0, nil
}

// coldKilled lets a server turn cold, and kills the node beside it a moment later. The node is started again after a short delay.
// The server crashes beyond the bound of the rule.
// Rule FAILBACK: a cold server gets at most warmup_per_s (17) x warmup_factor (1.5) + warmup_slack (5) requests in one second.
func coldKilled(f *fleet, trouble bool) (bool, error) {
	const (
		bound      = 30
		coldTime   = 3 * time.Second
		killAfter  = 120 * time.Millisecond
		startAfter = 50 * time.Millisecond
	)
	f.publish(7, []route{{"orders", "/orders/", "unsafe", "1500ms", "cutting"}}, "cutting", "sheets")
	if _, err := f.add("cutting", "hk-a", fixed(40*time.Millisecond)); err != nil {
		return false, err
	}
	if err := startAll(f, "sheets", fixed(40*time.Millisecond), "hk-b", "hk-c"); err != nil {
		return false, err
	}
	m := f.machines[0]
	l := &load{}
	end := time.Now().Add(6 * time.Second)
	l.run(3*time.Millisecond, func() bool { return time.Now().After(end) }, func(n int) *attempt {
		return do(f.record, f.machines[1+n%2], "PUT", "/orders/x", fmt.Sprintf("order %d", n), 1500*time.Millisecond)
	})
	time.Sleep(2 * time.Second)
	m.server.mutex.Lock()
	clear(m.server.arrivals)
	coldAt := time.Now()
	m.server.coldUntil, m.server.coldBound = coldAt.Add(coldTime), bound
	m.server.mutex.Unlock()
	f.record.say("server %s is cold for %v", m.server.id, coldTime)
	if trouble {
		time.Sleep(killAfter)
		m.signal(syscall.SIGKILL)
		<-m.exited
		time.Sleep(startAfter)
		if err := m.start(); err != nil {
			return false, err
		}
		f.record.say("node %s is started again", m.name)
	}
	attempts := l.wait()
	lost := 0
	for _, a := range attempts {
		if a.code != http.StatusOK && a.sent.After(coldAt.Add(killAfter+startAfter)) && len(m.server.runsOf(a.id)) > 0 {
			lost++
		}
	}
	most := mostWithin(m.server, coldAt, time.Second)
	f.record.say("%d orders; the cold server got up to %d in one second, the bound is %d; %d orders were lost with the server", len(attempts), most, bound, lost)
	return most > bound, nil
}

// mostWithin returns the highest number of requests that reached a cold server within a span.
func mostWithin(a *appServer, from time.Time, span time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	most := 0
	for _, first := range a.arrivals {
		count := 0
		for _, at := range a.arrivals {
			if since := at.Sub(first); since >= 0 && since < span && at.After(from) && at.Before(a.coldUntil) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// brokenOffAnswers lets some answers have no length and end with their connection, while the pace of the servers changes as it
// always does. Without the disruption the same answers have a length.
// Rule MIXED: no client gets a success whose body is not the server's whole body.
func brokenOffAnswers(f *fleet, trouble bool) (bool, error) {
	const (
		// Twelve servers, of which six give such answers to one request in twenty, for 5 s at a time.
		servers, touched = 12, 6
		share            = 0.05
		length, pause    = 5 * time.Second, 300 * time.Millisecond
		windows          = 18
		// In each period a server is slow by a chance of about one in three.
		period, slowShare, slowPace = 100 * time.Millisecond, 0.35, 500
		work                        = 220 * time.Millisecond
	)
	f.publish(7, []route{{"sheets", "/sheets/", "safe", "1200ms", "sheets"}}, "sheets")
	started := time.Now()
	var on atomic.Bool
	for i := range servers {
		m, err := f.add("sheets", f.zones[i%len(f.zones)], nil)
		if err != nil {
			return false, err
		}
		m.server.framed = !trouble
		m.server.pace = func() int {
			now := uint64(time.Since(started) / period)
			if rand.New(rand.NewPCG(uint64(i), now)).Float64() < slowShare {
				return slowPace
			}
			return 100
		}
		m.server.work = func(*http.Request) time.Duration { return work * time.Duration(m.server.pace()) / 100 }
		m.server.streams = func(*http.Request) bool { return i < touched && on.Load() && rand.Float64() < share }
	}
	if err := startAll(f, "sheets", nil); err != nil {
		return false, err
	}
	l := &load{}
	var stop atomic.Bool
	l.run(6*time.Millisecond, stop.Load, func(n int) *attempt {
		return do(f.record, f.machines[n%servers], "GET", fmt.Sprintf("/sheets/%d", n), "", 2500*time.Millisecond)
	})
	for range windows {
		time.Sleep(pause)
		on.Store(true)
		time.Sleep(length)
		on.Store(false)
	}
	stop.Store(true)
	attempts := l.wait()
	wrong, streamed := 0, 0
	for _, a := range attempts {
		for _, m := range f.machines {
			if a.code != http.StatusOK || a.signed != "sig-"+m.server.id+"-"+a.id {
				continue
			}
			switch a.body {
			case fmt.Sprintf("answer to %s from %s\n", a.id, m.server.id):
			case wholeBody(a.id):
				streamed++
			default:
				wrong++
				f.record.say("MIXED: %s gets 200 with the signature %s and %d of %d bytes of the body: %q", a.id, a.signed, len(a.body), len(wholeBody(a.id)), a.body)
			}
		}
	}
	f.record.say("%d requests, %d whole answers that were sent as they were made, %d parts of such answers given as whole ones", len(attempts), streamed, wrong)
	return wrong > 0, nil
}
