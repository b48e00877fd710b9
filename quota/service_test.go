package quota

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
	"verbenareel/schema"
)

var errCut = errors.New("cut off")

// network is a core.QuotaTransport that calls the services of a test directly, and core.Snapshots.
type network struct {
	services map[string]*Service
	snapshot atomic.Pointer[core.Snapshot]
	cut      atomic.Pointer[string]
	requests atomic.Int64
}

func (n *network) Quota(ctx context.Context, address string, request *schema.QuotaRequest) (*schema.QuotaReply, error) {
	n.requests.Add(1)
	if cut := n.cut.Load(); cut != nil && *cut == address {
		<-ctx.Done()
		return nil, errCut
	}
	return n.services[address].Quota(request), nil
}

func (n *network) Snapshot() *core.Snapshot { return n.snapshot.Load() }

// startServices runs services for a customer "a" until the test ends, and waits until leases hold.
func startServices(t testing.TB, count int, rate, burst float64) *network {
	n := &network{services: make(map[string]*Service)}
	var members []*schema.Member
	for i := range count {
		address := fmt.Sprintf("10.0.0.%d:7000", i)
		members = append(members, schema.Member_builder{Instance: fmt.Sprintf("node-%d", i), Domain: "d", Address: address,
			State: schema.InstanceState_INSTANCE_STATE_SERVING, Incarnation: uint64(i + 1)}.Build())
	}
	document := schema.Document_builder{
		Places:    schema.Places_builder{Domains: map[string]*schema.Domain{"d": {}}}.Build(),
		Customers: map[string]*schema.Customer{"a": schema.Customer_builder{Rate: rate, Burst: burst}.Build()},
	}.Build()
	n.snapshot.Store(core.NewSnapshot(1, document, members))
	for _, m := range members {
		n.services[m.GetAddress()] = New(m, nil, n, n, clockwork.NewRealClock())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	for _, s := range n.services {
		group.Go(func() { _ = s.Run(ctx) })
	}
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
	time.Sleep(3 * baseLease)
	return n
}

// TestServiceTake guards against a service that refuses calls within the quota, or that allows calls beyond it when many
// callers of all nodes wait together.
func TestServiceTake(t *testing.T) { synctest.Test(t, testServiceTake) }

func testServiceTake(t *testing.T) {
	c := qt.New(t)
	n := startServices(t, 3, 50, 20)
	allowed, _ := n.services["10.0.0.0:7000"].Take(context.Background(), "a")
	c.Assert(allowed, qt.IsTrue)
	var ran atomic.Int64
	var group conc.WaitGroup
	end := time.Now().Add(time.Second)
	for i := range 24 {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Millisecond)
				ok, wait := n.services[fmt.Sprintf("10.0.0.%d:7000", i%3)].Take(context.Background(), "a")
				if ok {
					ran.Add(1)
				} else {
					c.Check(wait > 0, qt.IsTrue)
					time.Sleep(min(wait, 20*time.Millisecond))
				}
			}
		})
	}
	group.Wait()
	// The bucket holds 20 tokens and those of 100 ms, and 50 more come in the second.
	c.Check(ran.Load() >= 60, qt.IsTrue, qt.Commentf("only %d calls ran", ran.Load()))
	c.Check(ran.Load() <= 80, qt.IsTrue, qt.Commentf("%d calls ran in a second", ran.Load()))
}

// TestServiceRefund guards against a charge that is not returned.
func TestServiceRefund(t *testing.T) { synctest.Test(t, testServiceRefund) }

func testServiceRefund(t *testing.T) {
	c := qt.New(t)
	n := startServices(t, 1, 1, 1)
	s := n.services["10.0.0.0:7000"]
	allowed, _ := s.Take(context.Background(), "a")
	c.Assert(allowed, qt.IsTrue)
	allowed, wait := s.Take(context.Background(), "a")
	c.Assert(allowed, qt.IsFalse)
	c.Check(wait > 800*time.Millisecond && wait <= time.Second, qt.IsTrue, qt.Commentf("%v at one call a second", wait))
	s.Refund("a")
	allowed, _ = s.Take(context.Background(), "a")
	c.Check(allowed, qt.IsTrue)
	allowed, _ = s.Take(context.Background(), "other")
	c.Check(allowed, qt.IsTrue)
	c.Check(n.requests.Load(), qt.Equals, int64(0), qt.Commentf("a single node sent messages"))
}

// TestServiceRefundAll guards against refunds that are lost when many calls of a node did not run.
func TestServiceRefundAll(t *testing.T) { synctest.Test(t, testServiceRefundAll) }

func testServiceRefundAll(t *testing.T) {
	c := qt.New(t)
	n := startServices(t, 3, 5, 20)
	time.Sleep(5 * time.Second)
	take := func(address string, count int) {
		for i := range count {
			ok, _ := n.services[address].Take(context.Background(), "a")
			c.Assert(ok, qt.IsTrue, qt.Commentf("call %d at %s", i, address))
		}
	}
	take("10.0.0.0:7000", 18)
	for range 18 {
		n.services["10.0.0.0:7000"].Refund("a")
	}
	time.Sleep(tokenLife + 100*time.Millisecond)
	take("10.0.0.1:7000", 18)
}

// TestServiceCutOff guards against calls that are refused for longer than a lease when a coordinator does not answer.
func TestServiceCutOff(t *testing.T) { synctest.Test(t, testServiceCutOff) }

func testServiceCutOff(t *testing.T) {
	c := qt.New(t)
	n := startServices(t, 3, 100, 50)
	first := n.services["10.0.0.0:7000"]
	first.mutex.Lock()
	name := first.node.Coordinators()[0]
	first.mutex.Unlock()
	cut := n.Snapshot().Instance(name).Address()
	n.cut.Store(&cut)
	for address, s := range n.services {
		if address == cut {
			continue
		}
		refused := 0
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if ok, _ := s.Take(context.Background(), "a"); !ok {
				refused++
			}
		}
		c.Check(refused < 20, qt.IsTrue, qt.Commentf("%d of 40 calls refused in 2 s", refused))
	}
}

// BenchmarkTake measures a call for which the node holds tokens.
func BenchmarkTake(b *testing.B) {
	node := NewNode("node-0", 1, NewTolerance(nil), func() float64 { return 0 })
	s := &Service{node: node, clock: clockwork.NewRealClock()}
	a := &account{customer: customer{name: "a", rate: 1}}
	a.add(grant{count: 1 << 62, until: time.Now().Add(time.Hour)})
	node.accounts["a"] = a
	b.ReportAllocs()
	for b.Loop() {
		if allowed, _ := s.Take(context.Background(), "a"); !allowed {
			b.Fatal("refused")
		}
	}
}
