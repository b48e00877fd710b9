package node

import (
	"context"
	"fmt"
	"net"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// readinessPath is the path of the readiness check.
const readinessPath = "/readyz"

// readinessServer serves only the readiness check, on an address that may be reachable by clients other than operators.
type readinessServer struct {
	listener net.Listener
	server   *fasthttp.Server
}

func newReadinessServer(address string, node *Node) (*readinessServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	handler := func(c *fasthttp.RequestCtx) {
		switch {
		case string(c.Path()) != readinessPath:
			c.Error("not found\n", fasthttp.StatusNotFound)
		case !node.Ready():
			c.Error(notReadyBody, fasthttp.StatusServiceUnavailable)
		default:
			c.SetBodyString("ready\n")
		}
	}
	return &readinessServer{
		listener: listener,
		server: &fasthttp.Server{
			Handler:      handler,
			ReadTimeout:  statusTimeout,
			WriteTimeout: statusTimeout,
			GetOnly:      true,

			MaxRequestBodySize: maxProbeBody,
			Concurrency:        probeConnections(),
		},
	}, nil
}

// Serve answers readiness checks until ctx is cancelled.
func (r *readinessServer) Serve(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	failed := make(chan error, 1)
	group.Go(func() { failed <- r.server.Serve(r.listener) })
	select {
	case <-ctx.Done():
		if err := r.server.Shutdown(); err != nil {
			return fmt.Errorf("shut down: %w", err)
		}
		return nil
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
}
