package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// twice returns the requests that ran more than once.
func (f *fleet) twice() []string {
	var broken []string
	for id, runs := range f.runsByID() {
		if len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("%s %s %s ran %d times, at %s and %s", id, runs[0].method, runs[0].path, len(runs), runs[0].server, runs[1].server))
		}
	}
	return broken
}

// each calls send for count requests, with a pause between them and without waiting for answers, and waits for the last one.
func each(count int, pause time.Duration, send func(i int)) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { send(i) })
		time.Sleep(pause)
	}
	group.Wait()
}

// Servers lose answers for two spells, with a pause between them.
const (
	spell = 4 * time.Second
	pause = 2 * time.Second
)

// inSpell reports whether servers lose answers at a time after the start of the requests.
func inSpell(since time.Duration) bool {
	return since < spell || since >= spell+pause && since < spell+pause+spell
}

// encodedPath sends unsafe requests whose path has an encoded slash or an empty segment, while half of the servers lose answers.
func encodedPath(f *fleet) ([]string, error) {
	f.configure(7, []string{"sheets"},
		newRoute("orders", "/orders/", "unsafe", "sheets"), newRoute("lookup", "/orders/lookup/", "safe", "sheets"))
	for i := range 4 {
		m, err := f.add(zones[i%2], "sheets")
		if err != nil {
			return nil, err
		}
		m.server.setWork(func() time.Duration { return 100 * time.Millisecond })
	}
	confirm := request{method: http.MethodPost, host: host, path: "/orders/lookup%2F17/confirm", body: "sets=40", timeout: 2 * time.Second}
	if err := f.awaitReady(confirm); err != nil {
		return nil, err
	}
	start := time.Now()
	if f.trouble {
		for _, m := range f.machines[:2] {
			f.record.printf("answer_lost: server %s loses the answers of 0.4 of the requests that it runs, for %v and, after a pause, again", m.server.id, spell)
			m.server.setChoose(func(*http.Request) action {
				if inSpell(time.Since(start)) && rand.Float64() < 0.4 {
					return actionLose
				}
				return actionAnswer
			})
		}
	}
	each(1250, 8*time.Millisecond, func(i int) {
		r := confirm
		r.path = fmt.Sprintf([]string{"/orders/lookup%%2F%d/confirm", "/orders//lookup/%d/confirm"}[i/4%2], 100+i)
		f.send(f.machines[i%4], r)
	})
	return f.twice(), nil
}

// failedWith503 sends unsafe requests while the servers fail some of them, after they have run them, with 503.
func failedWith503(f *fleet) ([]string, error) {
	f.configure(7, []string{"sheets"}, newRoute("orders", "/orders/", "unsafe", "sheets"))
	for _, zone := range zones {
		if _, err := f.add(zone, "sheets"); err != nil {
			return nil, err
		}
	}
	deposit := request{method: http.MethodPost, host: host, path: "/orders/17", body: "deposit=40", timeout: 2 * time.Second}
	if err := f.awaitReady(deposit); err != nil {
		return nil, err
	}
	if f.trouble {
		f.record.printf("srv_grey: from now on the servers fail 0.4 of the requests that they run, with 503 and no Not-Executed")
		for _, m := range f.machines {
			m.server.setChoose(func(*http.Request) action {
				if rand.Float64() < 0.4 {
					return actionFail503
				}
				return actionAnswer
			})
		}
	}
	var mu sync.Mutex
	codes := make(map[string]int)
	each(600, 10*time.Millisecond, func(i int) {
		got := f.send(f.machines[i%2], deposit)
		mu.Lock()
		defer mu.Unlock()
		codes[got.id] = got.code
	})
	var broken []string
	for id, runs := range f.runsByID() {
		if code := codes[id]; code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
			broken = append(broken, fmt.Sprintf("%s was answered %d and has run at %s", id, code, runs[0].server))
		}
	}
	return broken, nil
}

// reusedAddress ends a server whose address then goes to a server of another service, while its node is still there.
func reusedAddress(f *fleet) ([]string, error) {
	f.configure(7, []string{"sheets", "cutting"}, newRoute("sheets", "/sheets/", "safe", "sheets"), newRoute("cutting", "/cutting/", "unsafe", "cutting"))
	for _, m := range []struct{ zone, service string }{{"hk-b", "cutting"}, {"hk-a", "sheets"}, {"hk-a", "cutting"}} {
		if _, err := f.add(m.zone, m.service); err != nil {
			return nil, err
		}
	}
	view := request{method: http.MethodGet, host: host, path: "/sheets/1", timeout: 2 * time.Second}
	order := request{method: http.MethodPut, host: host, path: "/cutting/1", timeout: 2 * time.Second}
	if err := f.awaitReady(view, order); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	group.Go(func() {
		each(350, 20*time.Millisecond, func(i int) {
			to := f.machines[[]int{0, 2}[i%2]]
			if i%4 < 3 {
				f.send(to, view)
				return
			}
			f.send(to, order)
		})
	})
	if f.trouble {
		time.Sleep(time.Second)
		f.replace(f.machines[1])
	}
	group.Wait()
	var broken []string
	for id, runs := range f.runsByID() {
		for _, r := range runs {
			if wanted := map[string]string{"/sheets/1": "sheets", "/cutting/1": "cutting"}[r.path]; r.service != wanted {
				broken = append(broken, fmt.Sprintf("%s %s was run by %s of service %s", id, r.path, r.server, r.service))
			}
		}
	}
	return broken, nil
}

// replace ends the server of a machine for good. Its address goes to a server of another service after reuse_after.
func (f *fleet) replace(m *machine) {
	old := m.server
	f.record.printf("server %s of %s ends for good", old.id, old.service)
	old.end()
	time.Sleep(2 * time.Second)
	m.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	if err := m.startServer("i-cutting-new", "cutting"); err != nil {
		f.record.printf("replacement: %v", err)
		return
	}
	m.register("ready")
	time.Sleep(2300 * time.Millisecond)
	f.record.printf("entry servers/%s lapses after three heartbeat intervals", old.id)
	f.store.remove("servers/" + old.id)
}

const (
	// downTime is how long a crashed server is down, and coldTime how long it is cold then.
	downTime = 2 * time.Second
	coldTime = 3 * time.Second
	// stabilityWindow is the bound stability_window of the deployment.
	stabilityWindow = 3 * time.Second
	// crashingPath is the path of the request that crashes servers, and maxLateRetries how many of its arrivals the rule allows
	// later than stabilityWindow after the third crash.
	crashingPath   = "/sheets/crashing"
	maxLateRetries = 3
)

// crashing sends a request that crashes each server that runs it, after the server has begun its answer, again and again beside
// other requests.
func crashing(f *fleet) ([]string, error) {
	f.configure(7, []string{"sheets"}, newRoute("sheets", "/sheets/", "safe", "sheets"))
	for i := range 4 {
		if _, err := f.add(zones[i%2], "sheets"); err != nil {
			return nil, err
		}
	}
	view := request{method: http.MethodGet, host: host, path: "/sheets/1", timeout: 2 * time.Second}
	if err := f.awaitReady(view); err != nil {
		return nil, err
	}
	if f.trouble {
		for _, m := range f.machines {
			f.crashOn(m)
		}
	}
	bad := request{method: http.MethodGet, host: host, path: crashingPath, timeout: 2 * time.Second}
	var group sync.WaitGroup
	group.Go(func() {
		each(1500, 20*time.Millisecond, func(i int) {
			r := view
			r.path = fmt.Sprintf("/sheets/%d", i)
			f.send(f.machines[i%4], r)
		})
	})
	each(38, 800*time.Millisecond, func(int) { f.send(f.machines[rand.IntN(4)], bad) })
	group.Wait()
	return f.lateRetries(), nil
}

// crashOn lets the server of a machine crash when it runs the crashing request. It comes back under another name, cold.
func (f *fleet) crashOn(m *machine) {
	m.server.setChoose(func(r *http.Request) action {
		if r.URL.Path == crashingPath {
			return actionCrashMidway
		}
		return actionAnswer
	})
	m.server.onCrash = func() {
		old := m.server.id
		time.AfterFunc(downTime, func() {
			f.store.remove("servers/" + old)
			if err := m.startServer(old+"x", m.server.service); err != nil {
				f.record.printf("server does not come back: %v", err)
				return
			}
			m.server.turnCold()
			f.crashOn(m)
			m.register("ready")
		})
	}
}

// lateRetries returns the runs of the crashing request later than stabilityWindow after its third crash, if the rule does not
// allow as many.
func (f *fleet) lateRetries() []string {
	var runs []run
	for _, list := range f.runsByID() {
		for _, r := range list {
			if r.path == crashingPath {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	if !f.trouble || len(runs) <= 3 {
		return nil
	}
	var late []string
	for _, r := range runs[3:] {
		if r.at.Sub(runs[2].at) > stabilityWindow {
			late = append(late, fmt.Sprintf("%s reached %s %.1f s after the third crash", r.id, r.server, r.at.Sub(runs[2].at).Seconds()))
		}
	}
	if len(late) <= maxLateRetries {
		return nil
	}
	return late
}

// pipelined sends safe requests behind others on kept connections, while the node that takes them is stopped as planned. The
// clients respect a "Connection: close": they read nothing after that answer and close the connection.
func pipelined(f *fleet) ([]string, error) {
	f.configure(7, []string{"sheets"}, newRoute("sheets", "/sheets/", "safe", "sheets"))
	for _, zone := range zones {
		m, err := f.add(zone, "sheets")
		if err != nil {
			return nil, err
		}
		m.server.setWork(func() time.Duration { return 20*time.Millisecond + rand.N(100*time.Millisecond) })
	}
	if err := f.awaitReady(request{method: http.MethodGet, host: host, path: "/sheets/1", timeout: 2 * time.Second}); err != nil {
		return nil, err
	}
	stopped := f.machines[0]
	const connections, perWrite = 8, 3
	stop := time.Now().Add(8 * time.Second)
	var mu sync.Mutex
	var unanswered []string
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			for time.Now().Before(stop) && !stopped.hasExited() {
				lost := f.pipeline(stopped, perWrite, stop)
				mu.Lock()
				unanswered = append(unanswered, lost...)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if f.trouble {
		stopped.signal(syscall.SIGTERM)
	}
	group.Wait()
	runs := f.runsByID()
	var broken []string
	for _, id := range unanswered {
		if len(runs[id]) > 0 {
			broken = append(broken, fmt.Sprintf("%s was passed on to %s, and its connection ended without its answer", id, runs[id][0].server))
		}
	}
	return broken, nil
}

const (
	// killDelay is the time from the moment at which a server turns cold to the kill of its node, and restartDelay the time from
	// the end of the node to the start of its successor.
	killDelay    = 60 * time.Millisecond
	restartDelay = 100 * time.Millisecond
	// coldBound is the number of requests that a cold server may get in one second: warmup_per_s x warmup_factor + warmup_slack.
	coldBound = 17.0*1.5 + 5
)

// coldRestart turns servers cold, one after the other, and with the disruption kills the node beside each right after that.
func coldRestart(f *fleet) ([]string, error) {
	f.configure(7, []string{"sheets"}, newRoute("orders", "/orders/", "unsafe", "sheets"))
	for _, zone := range zones {
		m, err := f.add(zone, "sheets")
		if err != nil {
			return nil, err
		}
		m.server.setWork(func() time.Duration { return 15 * time.Millisecond })
	}
	order := request{method: http.MethodPost, host: host, path: "/orders/17", body: "sets=40", timeout: 2 * time.Second}
	if err := f.awaitReady(order); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	group.Go(func() {
		each(5500, 2*time.Millisecond, func(i int) {
			r := order
			r.path = fmt.Sprintf("/orders/%d", i)
			f.send(f.machines[i%2], r)
		})
	})
	var broken []string
	for i := range 2 {
		time.Sleep(2 * time.Second)
		m := f.machines[i]
		cold := time.Now()
		m.server.turnCold()
		if f.trouble {
			if err := m.restartNode(killDelay, restartDelay); err != nil {
				return nil, err
			}
		}
		time.Sleep(coldTime + 500*time.Millisecond)
		if busiest := m.server.busiestSecond(cold, cold.Add(coldTime)); float64(busiest) > coldBound {
			broken = append(broken, fmt.Sprintf("%s got %d requests in one second while it was cold, bound %.1f", m.server.id, busiest, coldBound))
		} else {
			f.record.printf("%s got at most %d requests in one second while it was cold, bound %.1f", m.server.id, busiest, coldBound)
		}
	}
	group.Wait()
	return broken, nil
}

// restartNode kills the node after a time and starts its successor after another.
func (m *machine) restartNode(killAfter, startAfter time.Duration) error {
	time.Sleep(killAfter)
	m.signal(syscall.SIGKILL)
	<-m.exited
	time.Sleep(startAfter)
	m.fleet.record.printf("node of %s starts again", m.name)
	return m.startNode()
}

const (
	// drainTime is the bound drain of the deployment, and leavingTime how long a leaving server serves.
	drainTime   = 2 * time.Second
	leavingTime = 3500 * time.Millisecond
	// idleServers is the number of servers in the store that get no work and have no node.
	idleServers = 100
)

// leavingInLargeFleet lets a server leave while its health check says well, in a fleet of more than 100 servers.
func leavingInLargeFleet(f *fleet) ([]string, error) {
	f.configure(7, []string{"sheets", "archive"}, newRoute("orders", "/orders/", "unsafe", "sheets"))
	for i := range idleServers {
		f.store.put(fmt.Sprintf("servers/i-archive-%d", i), map[string]any{
			"address": fmt.Sprintf("%s.%d:%d", f.block, 100+i, f.base+portApp),
			"info":    map[string]any{"service": "archive", "version": "v1", "zone": zones[i%2], "slots": serverSlots},
			"status":  map[string]any{"state": "ready", "sequence": 4, "warmup_left": "0ms"},
			"born":    time.Now().UnixMilli(),
		})
	}
	for i := range 4 {
		if _, err := f.add(zones[i%2], "sheets"); err != nil {
			return nil, err
		}
	}
	order := request{method: http.MethodPost, host: host, path: "/orders/17", body: "sets=40", timeout: 2 * time.Second}
	if err := f.awaitReady(order); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	group.Go(func() {
		each(800, 10*time.Millisecond, func(i int) {
			r := order
			r.path = fmt.Sprintf("/orders/%d", i)
			f.send(f.machines[1+i%3], r)
		})
	})
	time.Sleep(2 * time.Second)
	leaving := f.machines[0]
	leaving.server.mu.Lock()
	leaving.server.draining = !f.trouble
	leaving.server.mu.Unlock()
	leaving.register("draining")
	acknowledged := time.Now()
	time.Sleep(leavingTime)
	leaving.server.end()
	f.record.printf("server %s ends", leaving.server.id)
	group.Wait()
	var broken []string
	for _, r := range leaving.server.runList() {
		if late := r.at.Sub(acknowledged); late > drainTime {
			broken = append(broken, fmt.Sprintf("%s reached %s %.2f s after the store had acknowledged that it drains", r.id, r.server, late.Seconds()))
		}
	}
	return broken, nil
}
