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

// sendInput is the input of an operation in the history: one attempt to send a request with a ticket.
type sendInput struct{ id string }

// sendResult is the output of an operation in the history: what the caller received.
type sendResult struct {
	outcome string
	reason  string
	answer  string
}

// requestState is the state of one request in the model: "fresh", "closed" (it will never run), "ran" (its answer is not yet
// known), or "answer:" followed by the answer.
type requestState = string

// atMostOnceModel is the sequential specification of at-most-once execution of a request that is sent several times: all
// answers are the same, and a request that was answered is never reported as not run, or the reverse.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		groups := make(map[string][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(sendInput).id
			groups[id] = append(groups[id], o)
		}
		var parts [][]porcupine.Operation
		for _, g := range groups {
			parts = append(parts, g)
		}
		return parts
	},
	Init: func() []any { return []any{requestState("fresh")} },
	Step: func(state, _, output any) []any { return atMostOnceStep(state.(requestState), output.(sendResult)) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%s -> %s", input.(sendInput).id, output.(sendResult).outcome)
	},
}

func atMostOnceStep(state requestState, output sendResult) []any {
	switch output.outcome {
	case load.OutcomeAnswered:
		answered := "answer:" + output.answer
		if state == "fresh" || state == "ran" || state == answered {
			return []any{answered}
		}
		return nil
	case load.OutcomeNotRun:
		if state == "fresh" || state == "closed" {
			return []any{requestState("closed")}
		}
		return nil
	default:
		// The outcome is unknown: the request may have run, may have been closed, or nothing may have happened.
		if state == "fresh" {
			return []any{state, requestState("ran"), requestState("closed")}
		}
		return []any{state}
	}
}

// orderClient sends requests with tickets and records the results as a history for the linearizability check.
type orderClient struct {
	fleet  *fleet
	client *http.Client
	start  time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	notRun  map[string]string
}

func newOrderClient(f *fleet) *orderClient {
	return &orderClient{
		fleet:  f,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		start:  time.Now(),
		notRun: make(map[string]string),
	}
}

// send sends a request once and returns its result, and the next ticket from the response. Requests with a ticket are
// recorded in the history.
func (c *orderClient) send(caller int, id, path, ticket string) (sendResult, string) {
	call := time.Since(c.start).Nanoseconds()
	out, next := c.exchange(id, path, ticket)
	if ticket == "" {
		return out, next
	}
	returned := time.Since(c.start).Nanoseconds()
	if out.outcome == load.OutcomeUnknown {
		// A request with an unknown outcome may take effect at any later time.
		returned = math.MaxInt64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if out.outcome == load.OutcomeNotRun {
		c.notRun[id] = out.reason
	}
	c.history = append(c.history, porcupine.Operation{ClientId: caller, Input: sendInput{id}, Call: call, Output: out, Return: returned})
	return out, next
}

func (c *orderClient) exchange(id, path, ticket string) (sendResult, string) {
	targets := c.fleet.targets()
	request, err := http.NewRequest(http.MethodPost, "http://"+targets[rand.IntN(len(targets))]+path, strings.NewReader(id))
	qt.Assert(c.fleet.t, err, qt.IsNil)
	request.Header.Set("Request-Id", id)
	request.Header.Set(core.HeaderTimeout, "1500")
	if ticket != "" {
		request.Header.Set(core.HeaderTicket, ticket)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return sendResult{outcome: load.OutcomeUnknown}, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := stdio.ReadAll(response.Body)
	if err != nil {
		return sendResult{outcome: load.OutcomeUnknown}, ""
	}
	next := response.Header.Get(core.HeaderNextTicket)
	outcome, reason, _ := strings.Cut(response.Header.Get(core.HeaderOutcome), "; reason=")
	if outcome == "" {
		return sendResult{outcome: load.OutcomeAnswered, answer: string(body)}, next
	}
	return sendResult{outcome: outcome, reason: reason}, next
}

// sendOrders sends one order after the other until the end time. Each order is sent by two goroutines concurrently, which
// resend it while its outcome is unknown.
func (c *orderClient) sendOrders(number int, end time.Time) {
	for serial := 0; time.Now().Before(end); serial++ {
		id := fmt.Sprintf("order-%d-%d", number, serial)
		_, ticket := c.send(number, id, "/orders/1", "")
		if ticket == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var group conc.WaitGroup
		group.Go(func() { c.resend(number*2, id, ticket) })
		group.Go(func() { c.resend(number*2+1, id, ticket) })
		group.Wait()
	}
}

// resend sends a request with the same ticket until its outcome is known, up to 4 times.
func (c *orderClient) resend(caller int, id, ticket string) {
	for range 4 {
		if out, _ := c.send(caller, id, "/orders/1", ticket); out.outcome != load.OutcomeUnknown {
			return
		}
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
}

// check compares the history with the model and with how often the backend servers ran each request.
func (c *orderClient) check(t *testing.T) {
	t.Helper()
	counts := make(map[string]int)
	for _, o := range c.history {
		out := o.Output.(sendResult)
		counts[strings.TrimSuffix(out.outcome+"/"+out.reason, "/")]++
	}
	t.Logf("attempts by outcome: %v", counts)
	qt.Check(t, counts[load.OutcomeAnswered] > 0, qt.IsTrue)
	qt.Check(t, porcupine.CheckOperations(atMostOnceModel.ToModel(), c.history), qt.IsTrue)
	for id, runs := range c.fleet.executions() {
		qt.Check(t, runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs))
		if reason, ok := c.notRun[id]; ok {
			t.Errorf("%s was reported as not run (%s), but a backend server ran it", id, reason)
		}
	}
}

// atMostOnceFaults are faults that affect one instance. Each function injects the fault and returns when the instance works
// again, but a failure domain may stay out of service.
var atMostOnceFaults = map[string]func(*fleet, *instance){
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
		i.peerLink.Cut()
		time.Sleep(300 * time.Millisecond)
	},
	"late messages": func(_ *fleet, i *instance) {
		i.peerLink.StallAll()
		time.Sleep(1300 * time.Millisecond)
		i.peerLink.Resume()
		time.Sleep(300 * time.Millisecond)
	},
}

// TestAtMostOnceUnderFaults guards against orders that run twice, that run although their caller was told that they did not,
// or that get two different answers. The faults are killed and frozen nodes, crashed backend servers, failure domains that are
// taken out of service and returned, and connections between nodes that are reset, or that go silent and deliver the withheld
// data after the calls have timed out.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for name, fault := range atMostOnceFaults {
		t.Run(name, func(t *testing.T) { checkAtMostOnce(t, fault) })
	}
	t.Run("two at once", func(t *testing.T) {
		kinds := slices.Sorted(maps.Keys(atMostOnceFaults))
		checkAtMostOnce(t, func(f *fleet, i *instance) {
			var group conc.WaitGroup
			group.Go(func() { atMostOnceFaults[kinds[rand.IntN(len(kinds))]](f, i) })
			// The second fault affects a different instance, since a process that is being replaced can't be frozen too.
			k := slices.Index(f.instances, i)
			other := f.instances[(k+1+rand.IntN(len(f.instances)-1))%len(f.instances)]
			group.Go(func() { atMostOnceFaults[kinds[rand.IntN(len(kinds))]](f, other) })
			group.Wait()
		})
	})
}

// checkAtMostOnce repeatedly injects the fault into a random instance while callers send orders, and then checks the history.
func checkAtMostOnce(t *testing.T, fault func(*fleet, *instance)) {
	f := startFleet(t, smallShape(3), withForwarders)
	c := newOrderClient(f)
	end := time.Now().Add(7 * time.Second)
	var group conc.WaitGroup
	for caller := range 8 {
		group.Go(func() { c.sendOrders(caller, end) })
	}
	for time.Now().Before(end) {
		fault(f, f.instances[rand.IntN(len(f.instances))])
	}
	group.Wait()
	c.check(t)
}
