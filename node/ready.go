package node

import (
	"context"
	"fmt"
	"net"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// readyPath is the path of readiness.
const readyPath = "/readyz"

// ready serves readiness alone, on an address that may be open to others than the operators.
type ready struct {
	listener net.Listener
	server   *fasthttp.Server
}

func newReady(address string, node *Node) (*ready, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	handler := func(c *fasthttp.RequestCtx) {
		switch {
		case string(c.Path()) != readyPath:
			c.Error("not found\n", fasthttp.StatusNotFound)
		case !node.Ready():
			c.Error(notReady, fasthttp.StatusServiceUnavailable)
		default:
			c.SetBodyString("ready\n")
		}
	}
	return &ready{
		listener: listener,
		server: &fasthttp.Server{
			Handler:      handler,
			ReadTimeout:  statusTimeout,
			WriteTimeout: statusTimeout,
			GetOnly:      true,
		},
	}, nil
}

// Serve answers until ctx ends.
func (r *ready) Serve(ctx context.Context) error {
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
