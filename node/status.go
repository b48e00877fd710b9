package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"

	"verbenareel/core"
)

// statusTimeout is the read and write timeout of the status and readiness listeners.
const statusTimeout = 5 * time.Second

// notReadyBody is the response body of the readiness check while the node does not serve callers.
const notReadyBody = "no accepted configuration, or shutting down\n"

// statusServer serves metrics, liveness, readiness and the status of the node over HTTP.
type statusServer struct {
	node     *Node
	listener net.Listener
	app      *fiber.App
}

func newStatusServer(address string, node *Node) (*statusServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &statusServer{
		node:     node,
		listener: listener,
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			ReadTimeout:           statusTimeout,
			WriteTimeout:          statusTimeout,
			GETOnly:               true,
			BodyLimit:             maxProbeBody,
			Concurrency:           probeConnections(),
		}),
	}
	s.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(node.registry, promhttp.HandlerOpts{})))
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(node.Report()) })
	s.app.Get("/explain/:instance", func(c *fiber.Ctx) error {
		return c.SendString(node.router.Explain(c.Params("instance")) + "\n")
	})
	return s, nil
}

// Addr returns the address of the listener.
func (s *statusServer) Addr() string { return s.listener.Addr().String() }

// Serve answers requests until ctx is cancelled.
func (s *statusServer) Serve(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	failed := make(chan error, 1)
	group.Go(func() { failed <- s.app.Listener(s.listener) })
	select {
	case <-ctx.Done():
		if err := s.app.ShutdownWithTimeout(time.Second); err != nil {
			return fmt.Errorf("shut down: %w", err)
		}
		return nil
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
}

// handleReady responds with 200 if the node is ready and with 503 otherwise.
func (s *statusServer) handleReady(c *fiber.Ctx) error {
	if !s.node.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString(notReadyBody)
	}
	return c.SendString("ready\n")
}

// Report is the status of a node, as returned by /status.
type Report struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
	Rejected string `json:"rejected,omitempty"`
	// ConfirmedAge is the time in seconds since the document was last confirmed, and ListAge the time since the instance
	// list was read. They are negative if that has never happened.
	ConfirmedAge float64 `json:"confirmed_age"`
	ListAge      float64 `json:"list_age"`
	// Lost is the error of the last platform read, if it failed.
	Lost      string           `json:"lost,omitempty"`
	State     string           `json:"state"`
	InFlight  int              `json:"in_flight"`
	Queued    int              `json:"queued"`
	Limit     int              `json:"limit"`
	Instances []InstanceReport `json:"instances"`
	// Quota describes the node's part in the quotas of customers, if there are any.
	Quota string `json:"quota,omitempty"`
	// Customers is empty if there were no calls of customers.
	Customers []CustomerReport `json:"customers,omitempty"`
}

// CustomerReport is the status of one customer at the reporting node. The customers with the most calls are named, the others are
// reported together.
type CustomerReport struct {
	Customer string `json:"customer"`
	// Keys holds the first digits of the hashes of the customer's API keys.
	Keys []string `json:"keys,omitempty"`
	// Rate is the recent number of calls per second at the node, and Quota the limit over all nodes; 0 stands for no limit.
	Rate  float64 `json:"rate"`
	Quota float64 `json:"quota"`
	// Calls is the number of calls at the node, and Refused the number of those that did not run, by reason.
	Calls   uint64            `json:"calls"`
	Refused map[string]uint64 `json:"refused,omitempty"`
}

// InstanceReport is the status of one instance as seen by the reporting node.
type InstanceReport struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	// InFlight and Limit are taken from the last load report of the instance's guard.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	// Why explains why the instance receives calls from this node, or why it receives none.
	Why string `json:"why"`
}

// Report returns the current status of the node.
func (n *Node) Report() Report {
	load := n.guard.Load()
	r := Report{
		Instance: n.settings.GetInstance(),
		Service:  n.settings.GetService(),
		Domain:   n.settings.GetDomain(),
		State:    core.StateName(load.State),
		InFlight: load.InFlight,
		Queued:   load.Queued,
		Limit:    load.Limit,
		Quota:    n.quota.Status(),
	}
	exchange := n.exchange.Status()
	r.Revision = exchange.Revision
	if exchange.RejectionErr != nil {
		r.Rejected = fmt.Sprintf("revision %d: %v", exchange.Rejected, exchange.RejectionErr)
	}
	r.ConfirmedAge, r.ListAge = n.ageSeconds(exchange.ConfirmedAt), n.ageSeconds(exchange.ListedAt)
	if exchange.PlatformErr != nil {
		r.Lost = exchange.PlatformErr.Error()
	}
	for _, v := range n.router.InstanceStatuses() {
		r.Instances = append(r.Instances, InstanceReport{
			Instance: v.Instance,
			Service:  v.Service,
			Domain:   v.Domain,
			State:    v.State,
			InFlight: v.Report.InFlight,
			Limit:    v.Report.Limit,
			Why:      n.router.Explain(v.Instance),
		})
	}
	for _, c := range n.router.CustomerStatuses() {
		r.Customers = append(r.Customers, CustomerReport{
			Customer: c.Customer, Keys: c.KeyHashes, Rate: c.Rate, Quota: c.Quota, Calls: c.Calls, Refused: c.Refused,
		})
	}
	return r
}

// ageSeconds returns the seconds elapsed since at, or -1 for the zero time.
func (n *Node) ageSeconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return n.clock.Now().Sub(at).Seconds()
}
