package io

import (
	"context"

	"google.golang.org/protobuf/proto"

	"verbenareel/core"
	"verbenareel/schema"
)

// Reply carries the reply of a method to the codec without a copy.
type Reply struct {
	message proto.Message
}

// NodeMethods are the net/rpc methods that concern the connection itself.
type NodeMethods struct{}

// Ping answers at once.
func (*NodeMethods) Ping(_ *schema.PingRequest, reply *Reply) error {
	reply.message = &schema.PingReply{}
	return nil
}

// GuardMethods are the net/rpc methods of a core.Executor for one connection.
type GuardMethods struct {
	ctx      context.Context
	executor core.Executor
}

// Execute runs a call; its context ends with the connection.
func (m *GuardMethods) Execute(request *schema.ExecuteRequest, reply *Reply) error {
	reply.message = m.executor.Execute(m.ctx, request)
	return nil
}

// Cancel withdraws an attempt.
func (m *GuardMethods) Cancel(request *schema.CancelRequest, reply *Reply) error {
	reply.message = m.executor.Cancel(m.ctx, request)
	return nil
}

// Issue returns a ticket.
func (m *GuardMethods) Issue(request *schema.IssueRequest, reply *Reply) error {
	reply.message = m.executor.Issue(m.ctx, request)
	return nil
}

// Supersede records the successor of a ticket.
func (m *GuardMethods) Supersede(request *schema.SupersedeRequest, reply *Reply) error {
	reply.message = m.executor.Supersede(m.ctx, request)
	return nil
}

// PeerMethods are the net/rpc methods of a core.Peer.
type PeerMethods struct {
	peer core.Peer
}

// Sync is one step of the exchange.
func (m *PeerMethods) Sync(request *schema.SyncRequest, reply *Reply) error {
	reply.message = m.peer.Sync(request)
	return nil
}

// Buckets exchanges member records.
func (m *PeerMethods) Buckets(request *schema.BucketsRequest, reply *Reply) error {
	reply.message = m.peer.Buckets(request)
	return nil
}

// Manifest returns section hashes.
func (m *PeerMethods) Manifest(request *schema.ManifestRequest, reply *Reply) error {
	reply.message = m.peer.Manifest(request)
	return nil
}

// Sections returns section texts.
func (m *PeerMethods) Sections(request *schema.SectionsRequest, reply *Reply) error {
	reply.message = m.peer.Sections(request)
	return nil
}

// Suspects takes in suspects.
func (m *PeerMethods) Suspects(request *schema.SuspectsRequest, reply *Reply) error {
	reply.message = m.peer.Suspects(request)
	return nil
}
