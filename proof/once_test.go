package proof

import (
	"fmt"
	stdio "io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/load"
)

// send is one send of a request with a ticket.
type send struct{ id string }

// result is what the caller got.
type result struct {
	outcome string
	reason  string
	answer  string
}

// onceState is the state of one request: "fresh", "closed", "ran" with an answer not yet seen, or "answer:" and the answer.
type onceState = string

// onceModel is the sequential specification of at-most-once execution of one request that is sent many times: there is
// one answer at most, and after "not run" there is none.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		groups := make(map[string][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(send).id
			groups[id] = append(groups[id], o)
		}
		var parts [][]porcupine.Operation
		for _, g := range groups {
			parts = append(parts, g)
		}
		return parts
	},
	Init: func() []any { return []any{onceState("fresh")} },
	Step: func(state, _, output any) []any { return onceStep(state.(onceState), output.(result)) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%s -> %s", input.(send).id, output.(result).outcome)
	},
}

func onceStep(state onceState, output result) []any {
	switch output.outcome {
	case load.OutcomeAnswered:
		answered := "answer:" + output.answer
		if state == "fresh" || state == "ran" || state == answered {
			return []any{answered}
		}
		return nil
	case load.OutcomeNotRun:
		if state == "fresh" || state == "closed" {
			return []any{onceState("closed")}
		}
		return nil
	default:
		// The send may have had any effect or none.
		if state == "fresh" {
			return []any{state, onceState("ran"), onceState("closed")}
		}
		return []any{state}
	}
}

// historian sends requests with tickets and records what callers see.
type historian struct {
	fleet  *fleet
	client *http.Client
	start  time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	notRun  map[string]string
}

func newHistorian(f *fleet) *historian {
	return &historian{
		fleet:  f,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		start:  time.Now(),
		notRun: make(map[string]string),
	}
}

// post sends one request and returns what came of it, and the ticket of the response.
func (h *historian) post(caller int, id, path, ticket string) (result, string) {
	call := time.Since(h.start).Nanoseconds()
	out, next := h.exchange(id, path, ticket)
	if ticket == "" {
		return out, next
	}
	returned := time.Since(h.start).Nanoseconds()
	if out.outcome == load.OutcomeUnknown {
		// A send without a definite outcome may take effect at any later time.
		returned = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if out.outcome == load.OutcomeNotRun {
		h.notRun[id] = out.reason
	}
	h.history = append(h.history, porcupine.Operation{ClientId: caller, Input: send{id}, Call: call, Output: out, Return: returned})
	return out, next
}

func (h *historian) exchange(id, path, ticket string) (result, string) {
	targets := h.fleet.targets()
	request, err := http.NewRequest(http.MethodPost, "http://"+targets[rand.IntN(len(targets))]+path, strings.NewReader(id))
	qt.Assert(h.fleet.t, err, qt.IsNil)
	request.Header.Set("Request-Id", id)
	request.Header.Set(core.HeaderTimeout, "1500")
	if ticket != "" {
		request.Header.Set(core.HeaderTicket, ticket)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return result{outcome: load.OutcomeUnknown}, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := stdio.ReadAll(response.Body)
	if err != nil {
		return result{outcome: load.OutcomeUnknown}, ""
	}
	next := response.Header.Get(core.HeaderNextTicket)
	outcome, reason, _ := strings.Cut(response.Header.Get(core.HeaderOutcome), "; reason=")
	if outcome == "" {
		return result{outcome: load.OutcomeAnswered, answer: string(body)}, next
	}
	return result{outcome: outcome, reason: reason}, next
}

// caller sends orders one after the other until the end, each twice at once and again while its outcome is unknown.
func (h *historian) caller(number int, end time.Time) {
	for serial := 0; time.Now().Before(end); serial++ {
		id := fmt.Sprintf("order-%d-%d", number, serial)
		_, ticket := h.post(number, id, "/orders/1", "")
		if ticket == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var group conc.WaitGroup
		group.Go(func() { h.resend(number*2, id, ticket) })
		group.Go(func() { h.resend(number*2+1, id, ticket) })
		group.Wait()
	}
}

// resend sends a request with the same ticket until its outcome is known, at most 4 times.
func (h *historian) resend(caller int, id, ticket string) {
	for range 4 {
		if out, _ := h.post(caller, id, "/orders/1", ticket); out.outcome != load.OutcomeUnknown {
			return
		}
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
}

// check compares the history with the model and with the runs that the backend servers counted.
func (h *historian) check(t *testing.T) {
	t.Helper()
	counts := make(map[string]int)
	for _, o := range h.history {
		out := o.Output.(result)
		counts[strings.TrimSuffix(out.outcome+"/"+out.reason, "/")]++
	}
	t.Logf("sends: %v", counts)
	qt.Check(t, counts[load.OutcomeAnswered] > 0, qt.IsTrue)
	qt.Check(t, porcupine.CheckOperations(onceModel.ToModel(), h.history), qt.IsTrue)
	for id, runs := range h.fleet.ledger() {
		qt.Check(t, runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs))
		if reason, ok := h.notRun[id]; ok {
			t.Errorf("%s ran after it was refused as not run: %s", id, reason)
		}
	}
}

// onceFaults are injected into one instance each; they return when the instance works again.
var onceFaults = map[string]func(*fleet, *instance){
	"kill": func(f *fleet, i *instance) {
		i.node.signal(syscall.SIGKILL)
		<-i.node.exited
		f.startNode(i)
		time.Sleep(700 * time.Millisecond)
	},
	"freeze": func(_ *fleet, i *instance) {
		i.node.signal(syscall.SIGSTOP)
		time.Sleep(1800 * time.Millisecond)
		i.node.signal(syscall.SIGCONT)
		time.Sleep(300 * time.Millisecond)
	},
	"crash": func(_ *fleet, i *instance) {
		i.crash()
		time.Sleep(700 * time.Millisecond)
	},
	"domains leave and return": func(f *fleet, i *instance) {
		f.platform.Publish(f.shape.Document(i.domain))
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		if rand.IntN(2) == 0 {
			f.platform.Publish(f.shape.Document())
		}
	},
	"cut links": func(_ *fleet, i *instance) {
		i.link.Cut()
		time.Sleep(300 * time.Millisecond)
	},
	"late messages": func(_ *fleet, i *instance) {
		i.link.Mute()
		time.Sleep(1300 * time.Millisecond)
		i.link.Resume()
		time.Sleep(300 * time.Millisecond)
	},
}

// TestAtMostOnceUnderFaults guards against a second run of an order, against an order that runs after its caller was told
// that it did not, and against two answers to one order, while nodes are killed and frozen, backend servers crash, and
// operators move failure domains, and connections between nodes are cut, or go silent and deliver what they held back after
// the calls' timeouts.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for name, fault := range onceFaults {
		t.Run(name, func(t *testing.T) { runOnce(t, fault) })
	}
	t.Run("two at once", func(t *testing.T) {
		kinds := slices.Sorted(maps.Keys(onceFaults))
		runOnce(t, func(f *fleet, i *instance) {
			var group conc.WaitGroup
			group.Go(func() { onceFaults[kinds[rand.IntN(len(kinds))]](f, i) })
			// The other instance is never the same, since a process that is being replaced can't be frozen too.
			k := slices.Index(f.instances, i)
			other := f.instances[(k+1+rand.IntN(len(f.instances)-1))%len(f.instances)]
			group.Go(func() { onceFaults[kinds[rand.IntN(len(kinds))]](f, other) })
			group.Wait()
		})
	})
}

// runOnce injects the fault into one random instance after the other while callers send orders, and checks their history.
func runOnce(t *testing.T, fault func(*fleet, *instance)) {
	f := startFleet(t, small(3), withLinks)
	h := newHistorian(f)
	end := time.Now().Add(7 * time.Second)
	var group conc.WaitGroup
	for caller := range 8 {
		group.Go(func() { h.caller(caller, end) })
	}
	for time.Now().Before(end) {
		fault(f, f.instances[rand.IntN(len(f.instances))])
	}
	group.Wait()
	h.check(t)
}
