package io

import (
	"context"

	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/schema"
)

// Reply passes the reply of a method to the codec without copying the message.
type Reply struct {
	message proto.Message
}

// NodeMethods are the net/rpc methods for connection management.
type NodeMethods struct{}

// Ping replies immediately.
func (*NodeMethods) Ping(_ *schema.PingRequest, reply *Reply) error {
	reply.message = &schema.PingReply{}
	return nil
}

// GuardMethods are the net/rpc methods that call a core.Executor on behalf of one connection.
type GuardMethods struct {
	ctx      context.Context
	server   *Server
	executor core.Executor
	bodies   *bodyStore
}

// Body stores a part of the body of a later call, unless the call would be refused.
func (m *GuardMethods) Body(chunk *schema.BodyChunk, reply *Reply) (err error) {
	defer m.server.recoverPanic("Guard.Body", &err)
	if chunk.GetOffset() == 0 {
		if reason := m.refuseBody(chunk); reason != schema.Reason_REASON_NONE {
			reply.message = schema.BodyChunkReply_builder{Refusal: reason}.Build()
			return nil
		}
	}
	reply.message = schema.BodyChunkReply_builder{Stored: m.bodies.add(chunk)}.Build()
	return nil
}

// refuseBody returns the reason for which a body is not received, given its first chunk, or REASON_NONE. The instance is asked
// before memory is reserved.
func (m *GuardMethods) refuseBody(chunk *schema.BodyChunk) schema.Reason {
	if gate, ok := m.executor.(core.BodyGate); ok {
		if reason := gate.RefuseBody(chunk.GetInstance(), chunk.GetEager()); reason != schema.Reason_REASON_NONE {
			return reason
		}
	}
	return m.bodies.begin(chunk)
}

// Execute runs a call. Its context is cancelled when the connection is closed. A call whose body was transferred to another
// process, or expired, does not run.
func (m *GuardMethods) Execute(request *schema.ExecuteRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Guard.Execute", &err)
	if transfer := request.GetBodyTransfer(); transfer != 0 {
		body, release, ok := m.bodies.take(transfer)
		if !ok {
			reply.message = core.NotRun(schema.Reason_REASON_NODE_LOST)
			return nil
		}
		defer release()
		request.SetBody(body)
		request.SetEager(false)
	}
	reply.message = m.executor.Execute(m.ctx, request)
	return nil
}

// Cancel cancels an attempt.
func (m *GuardMethods) Cancel(request *schema.CancelRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Guard.Cancel", &err)
	reply.message = m.executor.Cancel(m.ctx, request)
	return nil
}

// Issue returns a new ticket.
func (m *GuardMethods) Issue(request *schema.IssueRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Guard.Issue", &err)
	reply.message = m.executor.Issue(m.ctx, request)
	return nil
}

// Supersede records the successor of a refused ticket, or closes the ticket.
func (m *GuardMethods) Supersede(request *schema.SupersedeRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Guard.Supersede", &err)
	reply.message = m.executor.Supersede(m.ctx, request)
	return nil
}

// PeerMethods are the net/rpc methods that call a core.Peer.
type PeerMethods struct {
	server *Server
	peer   core.Peer
}

// Sync performs one step of the gossip protocol.
func (m *PeerMethods) Sync(request *schema.SyncRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Peer.Sync", &err)
	reply.message = m.peer.Sync(request)
	return nil
}

// Buckets exchanges buckets of member records.
func (m *PeerMethods) Buckets(request *schema.BucketsRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Peer.Buckets", &err)
	reply.message = m.peer.Buckets(request)
	return nil
}

// Manifest returns the hashes of the document sections.
func (m *PeerMethods) Manifest(request *schema.ManifestRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Peer.Manifest", &err)
	reply.message = m.peer.Manifest(request)
	return nil
}

// Sections returns the texts of document sections.
func (m *PeerMethods) Sections(request *schema.SectionsRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Peer.Sections", &err)
	reply.message = m.peer.Sections(request)
	return nil
}

// Suspects receives suspect records pushed by another node.
func (m *PeerMethods) Suspects(request *schema.SuspectsRequest, reply *Reply) (err error) {
	defer m.server.recoverPanic("Peer.Suspects", &err)
	reply.message = m.peer.Suspects(request)
	return nil
}
