package peers

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"verbenareel/schema"
)

// answer handles a request on the loop. If the loop does not run, it returns the empty reply.
func answer[Q, R any](e *Exchange, request Q, handle func(time.Time, Q) R, empty R) R {
	reply := empty
	e.ask(func(now time.Time) { reply = handle(now, request) })
	return reply
}

// Sync implements core.Peer.
func (e *Exchange) Sync(request *schema.SyncRequest) *schema.SyncReply {
	return answer(e, request, e.state.HandleSync, &schema.SyncReply{})
}

// Buckets implements core.Peer.
func (e *Exchange) Buckets(request *schema.BucketsRequest) *schema.BucketsReply {
	return answer(e, request, e.state.HandleBuckets, &schema.BucketsReply{})
}

// Manifest implements core.Peer.
func (e *Exchange) Manifest(request *schema.ManifestRequest) *schema.ManifestReply {
	return answer(e, request, e.state.HandleManifest, &schema.ManifestReply{})
}

// Sections implements core.Peer.
func (e *Exchange) Sections(request *schema.SectionsRequest) *schema.SectionsReply {
	return answer(e, request, e.state.HandleSections, &schema.SectionsReply{})
}

// Suspects implements core.Peer. It does not pass through the loop: the sender holds its callers until the answer.
func (e *Exchange) Suspects(request *schema.SuspectsRequest) *schema.SuspectsReply {
	if e.suspects != nil {
		e.suspects.Merge(e.clock.Now(), request.GetSuspects())
	}
	return &schema.SuspectsReply{}
}

// PushSuspects sends suspects to all instances of a service. It returns when each acknowledged or failed, or ctx ends.
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
				e.logger.Debug("push of suspects failed", zap.String("instance", i.Name()), zap.Error(err))
			}
		})
	}
	group.Wait()
}
