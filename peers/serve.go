package peers

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/schema"
)

// handleOnLoop handles a request on the control loop. It returns the empty reply if the loop is not running.
func handleOnLoop[Q, R any](e *Exchange, request Q, handle func(time.Time, Q) R, empty R) R {
	reply := empty
	e.runOnLoop(func(now time.Time) { reply = handle(now, request) })
	return reply
}

// Sync implements core.Peer.
func (e *Exchange) Sync(request *schema.SyncRequest) *schema.SyncReply {
	return handleOnLoop(e, request, e.state.HandleSync, &schema.SyncReply{})
}

// Buckets implements core.Peer.
func (e *Exchange) Buckets(request *schema.BucketsRequest) *schema.BucketsReply {
	return handleOnLoop(e, request, e.state.HandleBuckets, &schema.BucketsReply{})
}

// Manifest implements core.Peer.
func (e *Exchange) Manifest(request *schema.ManifestRequest) *schema.ManifestReply {
	return handleOnLoop(e, request, e.state.HandleManifest, &schema.ManifestReply{})
}

// Sections implements core.Peer.
func (e *Exchange) Sections(request *schema.SectionsRequest) *schema.SectionsReply {
	return handleOnLoop(e, request, e.state.HandleSections, &schema.SectionsReply{})
}

// Suspects implements core.Peer. It bypasses the control loop, because the sender holds back the answers to its callers
// until the reply arrives.
func (e *Exchange) Suspects(request *schema.SuspectsRequest) *schema.SuspectsReply {
	if e.suspects != nil {
		e.suspects.Merge(e.clock.Now(), request.GetSuspects())
	}
	return &schema.SuspectsReply{}
}

// PushSuspects sends suspects to all other instances of a service. It returns when every instance has acknowledged or
// failed, or ctx has ended.
func (e *Exchange) PushSuspects(ctx context.Context, service string, suspects []*schema.Suspect) {
	snapshot := e.Snapshot()
	if snapshot == nil {
		return
	}
	request := schema.SuspectsRequest_builder{Suspects: suspects}.Build()
	var group conc.WaitGroup
	for _, i := range snapshot.Instances(service) {
		if i.Address() == e.self.GetAddress() || i.State() == schema.InstanceState_INSTANCE_STATE_GONE {
			continue
		}
		group.Go(func() {
			if _, err := e.transport.Suspects(ctx, i.Address(), request); err != nil {
				e.logger.Debug("cannot push suspects to instance", zap.String("instance", i.Name()), zap.Error(err))
			}
		})
	}
	group.Wait()
}
