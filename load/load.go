// Package load is a load generator. By default it runs an open loop, in which arrivals do not wait for answers. It reports
// latencies and outcomes by class of call.
//
// Latency is measured from the scheduled start of a call and not from the time of sending, which avoids coordinated
// omission: a stalled system cannot hide its delay by slowing down the generator.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"verbenareel/core"
)

// headerRequestID is the header that identifies a call, so that a backend server can count its runs.
const headerRequestID = "Request-Id"

// Class describes one class of calls.
type Class struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Weight is the share of the class relative to the other classes.
	Weight float64 `json:"weight"`
	// Repeatable calls are sent without a ticket.
	Repeatable bool `json:"repeatable"`
	// BodySize is the size of the request body in bytes.
	BodySize int `json:"body_size"`
	// Nested is the depth of nested calls that the backend server makes.
	Nested int `json:"nested"`
	// Distinct gives each call a unique URI. By default all calls of the class use the same URI, as for a popular page.
	Distinct bool `json:"distinct"`
}

// uri returns the path and query of the call with the given ID.
func (c *Class) uri(id string) string {
	if c.Distinct {
		return c.Path + "?call=" + id
	}
	return c.Path
}

// Plan configures a run.
type Plan struct {
	// Targets are the HTTP addresses of nodes as IP:port.
	Targets []string
	Classes []Class
	// Rate is the number of calls per second of all classes together in the open loop.
	Rate float64
	// Callers, if not 0, selects a closed loop with this number of callers, each of which waits for an answer before it
	// makes the next call.
	Callers int
	// Duration is how long new calls are started.
	Duration time.Duration
	// Timeout is the timeout of one attempt of a call; 0 means 2 s.
	Timeout time.Duration
	// Resends is how often a call with an unknown outcome or a transport error is sent again with the same ticket.
	Resends int
	// MaxInFlight is the maximum number of calls in flight; 0 means 4096. Arrivals beyond it are not sent and are counted
	// as errors with the reason "generator-full".
	MaxInFlight int
	// Direct sends calls to backend servers without tickets, as a baseline.
	Direct bool
	// OnCall, if set, is called with each finished call. It must be safe for concurrent use.
	OnCall func(Call)
}

// Call describes one finished call.
type Call struct {
	ID      string
	Class   string
	Due     time.Time
	Latency time.Duration
	// Outcome is "answered", "not-run", "unknown", "error" or "wrong-answer".
	Outcome string
	// Reason is the reason given by the node or the generator, or the HTTP status code of an answer other than 200.
	Reason string
	// Server is the name of the backend server that answered.
	Server string
	// Resends is how often the call was sent again after an unknown outcome or a transport error.
	Resends int
}

// Outcomes of a call as seen by the caller.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
	// OutcomeError is a transport error between the generator and the node.
	OutcomeError = "error"
	// OutcomeWrongAnswer is a response that belongs to another request or is incomplete.
	OutcomeWrongAnswer = "wrong-answer"
)

// generator is the state of one run.
type generator struct {
	plan     Plan
	client   *fasthttp.Client
	payload  []byte
	idPrefix string

	mu       sync.Mutex
	tickets  map[string][]storedTicket
	inFlight int
	summary  *Summary
}

// Run generates calls until the duration of the plan has passed or ctx is cancelled. It waits for the calls in flight and
// returns the summary.
func Run(ctx context.Context, plan Plan) (*Summary, error) {
	if err := plan.validate(); err != nil {
		return nil, err
	}
	g := &generator{
		plan:     plan,
		client:   newClient(plan.Timeout),
		idPrefix: strconv.FormatUint(rand.Uint64(), 36),
		tickets:  make(map[string][]storedTicket),
		summary:  newSummary(plan.Classes),
	}
	g.payload = []byte(strings.Repeat("x", plan.maxBodySize()))
	if plan.Callers > 0 {
		g.closedLoop(ctx)
	} else {
		g.openLoop(ctx)
	}
	g.client.CloseIdleConnections()
	return g.summary, nil
}

// validate checks the plan and sets the defaults.
func (p *Plan) validate() error {
	if len(p.Targets) == 0 {
		return &PlanError{field: "targets", message: "at least one target address is required"}
	}
	if len(p.Classes) == 0 {
		return &PlanError{field: "classes", message: "at least one class of calls is required"}
	}
	if p.Rate <= 0 && p.Callers <= 0 {
		return &PlanError{field: "rate", message: fmt.Sprintf("rate must be greater than 0, got %v calls per second", p.Rate)}
	}
	if p.Timeout <= 0 {
		p.Timeout = 2 * time.Second
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = 4096
	}
	return nil
}

func (p *Plan) maxBodySize() int {
	size := 0
	for _, c := range p.Classes {
		size = max(size, c.BodySize)
	}
	return size
}

// PlanError reports an invalid field of a Plan.
type PlanError struct {
	field   string
	message string
}

// Error implements error.
func (e *PlanError) Error() string { return "invalid load plan: " + e.field + ": " + e.message }

// newClient returns an HTTP client that never retries a request on its own.
func newClient(timeout time.Duration) *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost:           4096,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
		ReadTimeout:              timeout + time.Second,
		MaxIdleConnDuration:      5 * time.Second,
		NoDefaultUserAgentHeader: true,
	}
}

// closedLoop runs the callers of the plan until its duration has passed.
func (g *generator) closedLoop(ctx context.Context) {
	callers := pool.New()
	defer callers.Wait()
	end := time.Now().Add(g.plan.Duration)
	for caller := range g.plan.Callers {
		callers.Go(func() {
			for serial := 0; ctx.Err() == nil && time.Now().Before(end); serial++ {
				id := fmt.Sprintf("%s-%d-%d", g.idPrefix, caller, serial)
				g.finish(g.call(g.pickClass(), id, time.Now()))
			}
		})
	}
}

// openLoop starts calls at exponentially distributed intervals.
func (g *generator) openLoop(ctx context.Context) {
	workers := pool.New()
	defer workers.Wait()
	start := time.Now()
	due := start
	for serial := 0; ; serial++ {
		due = due.Add(time.Duration(rand.ExpFloat64() / g.plan.Rate * float64(time.Second)))
		if due.Sub(start) > g.plan.Duration {
			return
		}
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		} else if ctx.Err() != nil {
			return
		}
		class := g.pickClass()
		if !g.acquireSlot() {
			g.finish(Call{Class: class.Name, Due: due, Outcome: OutcomeError, Reason: "generator-full"})
			continue
		}
		id := g.idPrefix + "-" + strconv.Itoa(serial)
		at := due
		workers.Go(func() {
			defer g.releaseSlot()
			g.finish(g.call(class, id, at))
		})
	}
}

// pickClass selects a class at random according to the weights.
func (g *generator) pickClass() Class {
	total := 0.0
	for _, c := range g.plan.Classes {
		total += c.Weight
	}
	offset := rand.Float64() * total
	for _, c := range g.plan.Classes {
		if offset -= c.Weight; offset < 0 {
			return c
		}
	}
	return g.plan.Classes[0]
}

// acquireSlot counts a call as in flight, or returns false if MaxInFlight is reached.
func (g *generator) acquireSlot() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight >= g.plan.MaxInFlight {
		return false
	}
	g.inFlight++
	return true
}

func (g *generator) releaseSlot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

func (g *generator) finish(call Call) {
	g.mu.Lock()
	g.summary.add(call)
	g.mu.Unlock()
	if g.plan.OnCall != nil {
		g.plan.OnCall(call)
	}
}

// call makes one call including its ticket exchange and resends.
func (g *generator) call(class Class, id string, due time.Time) Call {
	c := Call{ID: id, Class: class.Name, Due: due}
	ticket := ""
	needsTicket := !class.Repeatable && !g.plan.Direct
	if needsTicket {
		ticket = g.popTicket(class.Path)
	}
	resends := g.plan.Resends
	for attempt := 0; ; attempt++ {
		next := g.attempt(&c, class, ticket)
		if needsTicket && c.Reason == "ticket-required" && next != "" && attempt < 8 {
			ticket = next
			continue
		}
		if needsTicket && c.Outcome == OutcomeNotRun && ticketRejected(c.Reason) && attempt < 8 {
			ticket = ""
			continue
		}
		if next != "" {
			g.storeTicket(class.Path, next)
		}
		retry := c.Outcome == OutcomeUnknown || c.Outcome == OutcomeError
		if !retry || resends == 0 || (!class.Repeatable && ticket == "") {
			break
		}
		resends--
		c.Resends++
	}
	c.Latency = time.Since(due)
	return c
}

// ticketRejected reports whether the reason of a not-run outcome means that a stored ticket cannot be used and that it is
// safe to use a new one.
func ticketRejected(reason string) bool {
	return reason == "ticket-closed" || reason == "ticket-invalid"
}

// attempt sends the call once, sets its outcome and returns the ticket for the next call.
func (g *generator) attempt(c *Call, class Class, ticket string) (next string) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	target := g.plan.Targets[rand.IntN(len(g.plan.Targets))]
	uri := class.uri(c.ID)
	request.SetRequestURI("http://" + target + uri)
	request.Header.SetMethod(class.Method)
	request.Header.Set(headerRequestID, c.ID)
	request.Header.Set(core.HeaderTimeout, strconv.FormatInt(g.plan.Timeout.Milliseconds(), 10))
	if class.Nested > 0 {
		request.Header.Set("Nested", strconv.Itoa(class.Nested))
	}
	if ticket != "" {
		request.Header.Set(core.HeaderTicket, ticket)
	}
	body := g.payload[:class.BodySize]
	request.SetBody(body)
	if err := g.client.DoTimeout(request, response, g.plan.Timeout+500*time.Millisecond); err != nil {
		c.Outcome = OutcomeError
		c.Reason = "transport"
		return ""
	}
	c.setOutcome(response, uri, body)
	return string(response.Header.Peek(core.HeaderNextTicket))
}

// setOutcome sets the outcome from a response and checks that the answer belongs to the call.
func (c *Call) setOutcome(response *fasthttp.Response, uri string, body []byte) {
	if header := string(response.Header.Peek(core.HeaderOutcome)); header != "" {
		outcome, reason, _ := strings.Cut(header, ";")
		c.Outcome = outcome
		c.Reason = strings.TrimPrefix(strings.TrimSpace(reason), "reason=")
		return
	}
	c.Outcome = OutcomeAnswered
	c.Reason = ""
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		c.Reason = strconv.Itoa(code)
		return
	}
	name, rest, _ := strings.Cut(string(response.Body()), "|")
	c.Server = name
	if rest != c.ID+"|"+uri+"|"+string(body) {
		c.Outcome = OutcomeWrongAnswer
	}
}

// maxTicketAge is the age above which a stored ticket is discarded, because it may expire before it is used.
const maxTicketAge = 20 * time.Second

type storedTicket struct {
	ticket string
	at     time.Time
}

// popTicket removes and returns the newest stored ticket for a path, or "" if there is none.
func (g *generator) popTicket(path string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	stored := g.tickets[path]
	if len(stored) == 0 {
		return ""
	}
	last := stored[len(stored)-1]
	if time.Since(last.at) > maxTicketAge {
		g.tickets[path] = nil
		return ""
	}
	g.tickets[path] = stored[:len(stored)-1]
	return last.ticket
}

func (g *generator) storeTicket(path, ticket string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickets[path] = append(g.tickets[path], storedTicket{ticket: ticket, at: time.Now()})
}
