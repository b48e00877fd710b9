package node

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/schema"
)

const (
	// defaultDrainTimeout is the maximum duration of a graceful shutdown if drain_timeout is not set.
	defaultDrainTimeout = 30 * time.Second
	// closeShare is the divisor of the time for a graceful shutdown that gives the time to answer cancelled calls and to
	// close connections at its end.
	closeShare = 10
	// deregistrationDelay is how long a node continues to serve after it reports that it is not ready, so that callers
	// have time to stop sending requests to it. It is at most the share 1/deregistrationShare of the graceful shutdown.
	deregistrationDelay = 2500 * time.Millisecond
	deregistrationShare = 2
	// answerMargin is the time between the latest deadline of a call that is accepted late in a graceful shutdown and the
	// moment at which the remaining calls are cancelled.
	answerMargin = 100 * time.Millisecond
)

// shutdown ends the node gracefully. Its phases are:
//
//  1. For deregistrationDelay it serves as before, while it reports that it is not ready.
//  2. Until the calls at its own backend server have ended, no other node sends it calls. It accepts a call only if the
//     deadline of the call leaves time to answer it: the backend server may make nested calls, and callers may not have
//     noticed that the node is not ready.
//  3. It accepts nothing and waits for the calls in progress. Those that are left at the end are cancelled.
//
// A shutdown that runs out of time is reported in the log and is no failure of the process, which was told to stop.
func (n *Node) shutdown() {
	n.logger.Info("graceful shutdown started")
	limit := n.currentSettings.Load().GetDrainTimeout().AsDuration()
	if limit <= 0 {
		limit = defaultDrainTimeout
	}
	end := n.clock.Now().Add(limit - limit/closeShare)
	ctx, cancel := context.WithTimeout(context.Background(), limit-limit/closeShare)
	defer cancel()
	n.shuttingDown.Store(true)
	n.router.DisableAbandon()
	n.waitForDeregistration(ctx, min(deregistrationDelay, limit/deregistrationShare))
	n.exchange.Announce(schema.InstanceState_INSTANCE_STATE_LEAVING)
	n.router.RefuseAfter(end.Add(-answerMargin))
	// A part that does not finish in time does not keep the others from answering their callers.
	err := errors.Join(n.guard.Drain(ctx), n.closeListeners(ctx))
	if err != nil {
		n.logger.Error("graceful shutdown ran out of time", zap.Error(err))
		return
	}
	n.logger.Info("graceful shutdown finished")
}

// waitForDeregistration keeps the node serving for the delay so that callers can notice that it is not ready. The backend
// server, which may outlive this process, still receives calls during this time. Without a readiness listener callers are
// not informed, so it returns immediately.
func (n *Node) waitForDeregistration(ctx context.Context, delay time.Duration) {
	if n.ready == nil {
		return
	}
	n.front.DisableKeepAlives()
	select {
	case <-ctx.Done():
	case <-n.clock.After(delay):
	}
}

// closeListeners ends the HTTP front and the RPC server side by side once their calls have been answered.
func (n *Node) closeListeners(ctx context.Context) error {
	var frontErr, serverErr error
	var group conc.WaitGroup
	group.Go(func() { frontErr = n.front.Shutdown(ctx) })
	group.Go(func() { serverErr = n.server.Shutdown(ctx) })
	group.Wait()
	return errors.Join(frontErr, serverErr)
}
