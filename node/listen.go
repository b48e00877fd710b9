package node

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"go.uber.org/zap"

	"verbenareel/beacon"
	"verbenareel/io"
)

const (
	// listenTimeout is how long a node waits for a listen address that is in use. The port may belong to the process before
	// it for a moment, or to an outgoing connection of the host if it lies in the range of such ports.
	listenTimeout = 5 * time.Second
	// listenRetryInterval is the time between two attempts to listen on an address that is in use.
	listenRetryInterval = 50 * time.Millisecond
)

// listen opens the listeners and creates the components that serve them.
func (n *Node) listen() error {
	settings := n.settings
	listeners := []struct {
		name, address string
		open          func(address string) error
	}{
		{"RPC", settings.GetRpcAddress(), func(address string) (err error) {
			n.server, err = io.NewServer(address, n.guard, n.exchange, io.WithLogger(n.logger), io.WithRegisterer(n.registry),
				io.WithQuotaPeer(n.quota), io.WithMemory(n.memory), io.WithFrameMemory(int(settings.GetCallers().GetFrameMemory())))
			return err
		}},
		{"HTTP", settings.GetHttpAddress(), func(address string) (err error) {
			n.front, err = io.NewFront(address, n.router, io.WithLogger(n.logger), io.WithRegisterer(n.registry),
				io.WithWire(n.wire()), io.WithMemory(n.memory), io.WithCallerLimits(callerLimits(settings.GetCallers())),
				io.WithDocumentLimits(n.documentLimits), io.WithConfiguration(n.router.Configuration))
			return err
		}},
		{"status", settings.GetStatusAddress(), func(address string) (err error) {
			n.status, err = newStatusServer(address, n)
			return err
		}},
		{"readiness", settings.GetReadyAddress(), func(address string) (err error) {
			if address != "" {
				n.ready, err = newReadinessServer(address, n)
			}
			return err
		}},
		{"load report", settings.GetRpcAddress(), func(string) (err error) {
			n.beacon, err = beacon.New(n.self, n.server.Addr(), settings.GetReportInterval().AsDuration(), n.exchange, n.guard, n.router,
				n.exchange, n.clock, beacon.WithLogger(n.logger), beacon.WithRegisterer(n.registry),
				beacon.WithMeter(n.meter), beacon.WithSummaries(n.summaries()))
			return err
		}},
	}
	for _, l := range listeners {
		if err := n.openWhenFree(l.name, l.address, l.open); err != nil {
			return fmt.Errorf("open %s listener: %w", l.name, err)
		}
	}
	return nil
}

// openWhenFree opens a listener. While its address is in use it tries again, for at most listenTimeout.
func (n *Node) openWhenFree(name, address string, open func(address string) error) error {
	deadline := n.clock.Now().Add(listenTimeout)
	for attempt := 1; ; attempt++ {
		err := open(address)
		if !errors.Is(err, syscall.EADDRINUSE) || !n.clock.Now().Before(deadline) {
			return err
		}
		if attempt == 1 {
			n.logger.Warn("listen address is in use; trying again", zap.String("listener", name), zap.String("address", address))
		}
		<-n.clock.After(listenRetryInterval)
	}
}
