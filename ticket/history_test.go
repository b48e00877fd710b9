package ticket_test

import (
	"fmt"
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

// operation is an input of the sequential specification of one ticket.
type operation struct {
	name        string
	fingerprint uint64
	detail      string
}

// position is a state of the specification: the reply to a Begin with the fingerprint, and to a Supersede.
type position struct {
	fingerprint uint64
	begin       string
	supersede   string
}

var specification = porcupine.Model{
	Init: func() any { return position{begin: "run", supersede: "active"} },
	Step: func(state, input, output any) (bool, any) {
		p, next := step(state.(position), input.(operation))
		return p == output.(string), next
	},
}

// step returns the output of an operation and the next state.
func step(p position, o operation) (string, position) {
	refused := p.begin == "not-run busy"
	switch {
	case o.name == "begin" && p.begin == "run":
		return "run", position{o.fingerprint, "wait", "active"}
	case o.name == "begin" && p.fingerprint != 0 && p.fingerprint != o.fingerprint:
		return "not-run ticket-mismatch", p
	case o.name == "begin":
		return p.begin, p
	case o.name == "finish":
		return "", position{p.fingerprint, o.detail, "active"}
	case o.name == "close" && (refused || p.begin == "run"):
		p = position{0, "not-run ticket-closed", "closed"}
	case o.name == "supersede" && refused:
		p = position{p.fingerprint, "superseded by " + o.detail, "superseded by " + o.detail}
	}
	return p.supersede, p
}

// recorder applies operations to one ticket of a store under a mutex and records the history.
type recorder struct {
	mutex   sync.Mutex
	store   *ticket.Store
	ticket  *schema.Ticket
	clock   atomic.Int64
	history [][]porcupine.Operation
}

func (r *recorder) apply(client int, o operation) core.Claim {
	call := r.clock.Add(1)
	runtime.Gosched()
	claim, output := r.locked(o)
	r.history[client] = append(r.history[client], porcupine.Operation{
		ClientId: client, Input: o, Call: call, Output: output, Return: r.clock.Add(1),
	})
	return claim
}

func (r *recorder) locked(o operation) (core.Claim, string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch o.name {
	case "begin":
		claim := r.store.Begin(epoch, r.ticket, o.fingerprint)
		return claim, describe(claim)
	case "finish":
		reply := answered(o.detail)
		if o.detail == "not-run busy" {
			reply = core.NotRun(schema.Reason_REASON_BUSY)
		}
		r.store.Finish(epoch, r.ticket, reply)
		return core.Claim{}, ""
	}
	var successor *schema.Ticket
	if o.name == "supersede" {
		successor = schema.Ticket_builder{Serial: uint64(o.detail[0] - '0'), Service: "payout"}.Build()
	}
	reply := r.store.Supersede(epoch, r.ticket, successor)
	switch reply.GetState() {
	case schema.SupersedeState_SUPERSEDE_STATE_SUPERSEDED:
		return core.Claim{}, fmt.Sprintf("superseded by %d", reply.GetSuccessor().GetSerial())
	case schema.SupersedeState_SUPERSEDE_STATE_CLOSED:
		return core.Claim{}, "closed"
	}
	return core.Claim{}, "active"
}

// client applies operations as a guard does: it finishes what it runs, and begins again after a wait.
func (r *recorder) client(client int, operations []operation, outcome string) {
	for _, o := range operations {
		claim := r.apply(client, o)
		for o.name == "begin" && claim.State == core.ClaimWait {
			<-claim.Wait
			claim = r.apply(client, o)
		}
		if o.name == "begin" && claim.State == core.ClaimRun {
			r.apply(client, operation{name: "finish", detail: outcome})
		}
	}
}

// TestStoreLinearizable guards against concurrent callers that see a ticket in states that no single order explains:
// two runs, two successors, a lost wake-up.
func TestStoreLinearizable(t *testing.T) {
	drawn := rapid.Custom(func(t *rapid.T) operation {
		return operation{
			name:        rapid.SampledFrom([]string{"begin", "begin", "supersede", "close"}).Draw(t, "name"),
			fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint"),
			detail:      rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "successor"),
		}
	})
	checkMany(t, 500, func(t *rapid.T) {
		const clients = 4
		r := &recorder{store: newStore(), history: make([][]porcupine.Operation, clients)}
		r.ticket, _ = r.store.Issue(epoch, "payout")
		var group conc.WaitGroup
		for i := range clients {
			operations := rapid.SliceOfN(drawn, 1, 5).Draw(t, "operations")
			outcome := rapid.SampledFrom([]string{"paid", "not-run busy", "not-run busy"}).Draw(t, "outcome")
			group.Go(func() { r.client(i, operations, outcome) })
		}
		group.Wait()
		var history []porcupine.Operation
		for _, h := range r.history {
			history = append(history, h...)
		}
		if !porcupine.CheckOperations(specification, history) {
			t.Fatalf("history is not linearizable: %v", history)
		}
	})
}
