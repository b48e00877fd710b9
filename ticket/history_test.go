package ticket_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"verbenareel/core"
	"verbenareel/schema"
	"verbenareel/ticket"
)

// operation is an input of the sequential specification of one ticket: detail is the outcome to finish with, or the serial of
// the successor.
type operation struct {
	name        string
	fingerprint uint64
	detail      string
}

// ticketState is a state of the specification: the fingerprint that the ticket is bound to, and the results that Begin and
// Supersede return.
type ticketState struct {
	fingerprint      uint64
	begin, supersede string
}

// specStep returns the output of an operation and the next state.
func specStep(s ticketState, o operation) (string, ticketState) {
	refused := s.begin == "not-run busy"
	switch {
	case o.name == "begin" && s.begin == "run":
		return "run", ticketState{o.fingerprint, "wait", "active"}
	case o.name == "begin" && s.fingerprint != 0 && s.fingerprint != o.fingerprint:
		return "not-run ticket-mismatch", s
	case o.name == "begin":
		return s.begin, s
	case o.name == "finish":
		return "", ticketState{s.fingerprint, o.detail, "active"}
	case o.name == "close" && (refused || s.begin == "run"):
		s = ticketState{0, "not-run ticket-closed", "closed"}
	case o.name == "supersede" && refused:
		s = ticketState{s.fingerprint, "superseded by " + o.detail, "superseded by " + o.detail}
	}
	return s.supersede, s
}

// recorder applies operations to one ticket of a store under a mutex and records the history.
type recorder struct {
	mutex   sync.Mutex
	store   *ticket.Store
	ticket  *schema.Ticket
	clock   atomic.Int64
	history []porcupine.Operation
}

func (r *recorder) apply(client int, o operation) core.Claim {
	call := r.clock.Add(1)
	runtime.Gosched()
	r.mutex.Lock()
	claim, output := r.applyLocked(o)
	r.mutex.Unlock()
	runtime.Gosched()
	done := porcupine.Operation{ClientId: client, Input: o, Call: call, Output: output, Return: r.clock.Add(1)}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history = append(r.history, done)
	return claim
}

func (r *recorder) applyLocked(o operation) (core.Claim, string) {
	switch o.name {
	case "begin":
		claim := r.store.Begin(epoch, r.ticket, o.fingerprint)
		return claim, describe(claim)
	case "finish":
		r.store.Finish(epoch, r.ticket, outcome(o.detail))
		return core.Claim{}, ""
	case "close":
		return core.Claim{}, describeState(r.store.Supersede(epoch, r.ticket, nil))
	}
	successor := schema.Ticket_builder{Serial: uint64(o.detail[0] - '0'), Service: "payout"}.Build()
	return core.Claim{}, describeState(r.store.Supersede(epoch, r.ticket, successor))
}

// client applies operations as a guard does: it finishes each run that it starts, and calls Begin again after a wait.
func (r *recorder) client(client int, operations []operation, outcome string) {
	for _, o := range operations {
		claim := r.apply(client, o)
		for claim.Wait != nil {
			<-claim.Wait
			claim = r.apply(client, o)
		}
		if o.name == "begin" && claim.State == core.ClaimRun {
			r.apply(client, operation{name: "finish", detail: outcome})
		}
	}
}

// TestStoreLinearizable guards against concurrent callers that observe results which no sequential order explains, such
// as two runs, two successors or a lost wake-up.
func TestStoreLinearizable(t *testing.T) {
	specification := porcupine.Model{
		Init: func() any { return ticketState{begin: "run", supersede: "active"} },
		Step: func(state, input, output any) (bool, any) {
			want, next := specStep(state.(ticketState), input.(operation))
			return want == output, next
		},
	}
	drawn := rapid.Custom(func(t *rapid.T) operation {
		return operation{
			name:        rapid.SampledFrom([]string{"begin", "begin", "supersede", "close"}).Draw(t, "name"),
			fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint"),
			detail:      rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "successor"),
		}
	})
	checkMany(t, 500, func(t *rapid.T) {
		r := &recorder{store: newStore()}
		r.ticket, _ = r.store.Issue(epoch, "payout")
		var group conc.WaitGroup
		for client := range 4 {
			operations := rapid.SliceOfN(drawn, 1, 5).Draw(t, "operations")
			outcome := rapid.SampledFrom([]string{"paid", "not-run busy", "not-run busy"}).Draw(t, "outcome")
			group.Go(func() { r.client(client, operations, outcome) })
		}
		group.Wait()
		if !porcupine.CheckOperations(specification, r.history) {
			t.Fatalf("history is not linearizable: %v", r.history)
		}
	})
}
