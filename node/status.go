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

// statusTimeout bounds reads and writes of the status listener.
const statusTimeout = 5 * time.Second

// notReady is the response of a node that does not serve callers.
const notReady = "no accepted configuration, or shutting down\n"

// status serves metrics, liveness, readiness and the node's view over HTTP.
type status struct {
	node     *Node
	listener net.Listener
	app      *fiber.App
}

func newStatus(address string, node *Node) (*status, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &status{
		node:     node,
		listener: listener,
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			ReadTimeout:           statusTimeout,
			WriteTimeout:          statusTimeout,
			GETOnly:               true,
		}),
	}
	s.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(node.registry, promhttp.HandlerOpts{})))
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(node.Report()) })
	s.app.Get("/explain/:instance", func(c *fiber.Ctx) error {
		return c.SendString(node.router.Explain(c.Params("instance")) + "\n")
	})
	return s, nil
}

// Addr returns the address that the listener is bound to.
func (s *status) Addr() string { return s.listener.Addr().String() }

// Serve answers until ctx ends.
func (s *status) Serve(ctx context.Context) error {
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

// ready answers 200 once the node has a configuration.
func (s *status) ready(c *fiber.Ctx) error {
	if !s.node.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString(notReady)
	}
	return c.SendString("ready\n")
}

// Report is a node's view, as the status page gives it.
type Report struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
	Rejected string `json:"rejected,omitempty"`
	// ConfirmedAge and ListAge tell in seconds how old the node's knowledge of the platform is; negative if there is none.
	ConfirmedAge float64 `json:"confirmed_age"`
	ListAge      float64 `json:"list_age"`
	// Lost is the error of the last read of the platform, if it failed.
	Lost      string           `json:"lost,omitempty"`
	State     string           `json:"state"`
	InFlight  int              `json:"in_flight"`
	Queued    int              `json:"queued"`
	Limit     int              `json:"limit"`
	Instances []InstanceReport `json:"instances"`
}

// InstanceReport is a node's view of one instance.
type InstanceReport struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	// InFlight and Limit are the last report of the instance's guard.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	// Why says why the instance gets work from this node, or none.
	Why string `json:"why"`
}

// Report returns the node's view.
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
	}
	exchange := n.exchange.Status()
	r.Revision = exchange.Revision
	if exchange.Faults != nil {
		r.Rejected = fmt.Sprintf("revision %d: %v", exchange.Rejected, exchange.Faults)
	}
	r.ConfirmedAge, r.ListAge = n.age(exchange.Confirmed), n.age(exchange.Listed)
	if exchange.Lost != nil {
		r.Lost = exchange.Lost.Error()
	}
	for _, v := range n.router.Views() {
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
	return r
}

// age returns the seconds since a time, or -1 for the zero time.
func (n *Node) age(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return n.clock.Now().Sub(at).Seconds()
}
