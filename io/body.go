package io

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/rpc"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// maxInlineBody is the maximum size of a request body in bytes that is sent in the message of its call.
	maxInlineBody = 16 << 10
	// A larger body is transferred in chunks of bodyChunkSize bytes before its call. At most bodyWindow chunks are
	// unconfirmed, so concurrent transfers to one node hold only little data in the queue of its link, where calls wait
	// behind it.
	bodyChunkSize = 8 << 10
	bodyWindow    = 2
)

var (
	errBodyTooLarge       = errors.New("body exceeds the maximum size of a transfer")
	errNoRoom             = errors.New("node does not accept the body")
	errTransferIncomplete = errors.New("time limit passed during the transfer of the body")
	// errUnknownMethod means that the node is of a version without body transfers.
	errUnknownMethod = errors.New("node does not support body transfers")
)

// sendBody transfers the body of a request in advance, and replaces it in the request by the ID of the transfer. It returns
// the reason if the instance refuses the call. The node cannot run the call before it has the request, so a transfer that
// fails is certain not to have run.
func (t *Transport) sendBody(ctx context.Context, address string, request *schema.ExecuteRequest) (refusal schema.Reason, err error) {
	if len(request.GetBody()) > maxTransferSize {
		t.errorCounter.inc("oversize")
		return refusal, core.NewTransportError(address, schema.Reason_REASON_TOO_LARGE, false, errBodyTooLarge)
	}
	start := t.clock.Now()
	o := &outgoingBody{transport: t, address: address, id: rand.Uint64() | 1, request: request}
	err = o.send(ctx)
	if errors.Is(err, errUnknownMethod) {
		return refusal, t.checkInline(address, request)
	}
	if err != nil || o.refusal != schema.Reason_REASON_NONE {
		return o.refusal, err
	}
	elapsed := t.clock.Now().Sub(start).Microseconds()
	if timeout := request.GetTimeoutUs(); timeout > 0 && timeout <= elapsed {
		return refusal, core.NewTransportError(address, schema.Reason_REASON_DEADLINE, false, errTransferIncomplete)
	}
	request.SetTimeoutUs(max(0, request.GetTimeoutUs()-elapsed))
	if target := request.GetTargetUs(); target > 0 {
		request.SetTargetUs(max(1, target-elapsed))
	}
	request.SetBody(nil)
	request.SetBodyTransfer(o.id)
	return refusal, nil
}

// checkInline returns an error if the body does not fit into the message of its call.
func (t *Transport) checkInline(address string, request *schema.ExecuteRequest) error {
	if len(request.GetBody()) <= t.maxBody {
		return nil
	}
	return core.NewTransportError(address, schema.Reason_REASON_BUSY, false, errUnknownMethod)
}

// outgoingBody is the transfer of the body of one request.
type outgoingBody struct {
	transport *Transport
	address   string
	id        uint64
	request   *schema.ExecuteRequest
	offset    int
	window    []*outgoingCall
	refusal   schema.Reason
}

// send sends the chunks and waits until all of them are stored or the instance refuses the call. The first chunk is
// confirmed before others are sent, since the instance decides by it.
func (o *outgoingBody) send(ctx context.Context) error {
	defer o.abandonWindow()
	size := len(o.request.GetBody())
	for o.offset < size || len(o.window) > 0 {
		limit := bodyWindow
		if o.offset == bodyChunkSize && len(o.window) > 0 {
			limit = 1
		}
		if o.offset < size && len(o.window) < limit {
			if err := o.sendChunk(ctx); err != nil {
				return err
			}
			continue
		}
		if err := o.awaitChunk(ctx); err != nil || o.refusal != schema.Reason_REASON_NONE {
			return err
		}
	}
	return nil
}

func (o *outgoingBody) sendChunk(ctx context.Context) error {
	body := o.request.GetBody()
	end := min(o.offset+bodyChunkSize, len(body))
	chunk := schema.BodyChunk_builder{
		Transfer: o.id, Size: uint64(len(body)), Offset: uint64(o.offset), Data: body[o.offset:end],
	}.Build()
	if o.offset == 0 {
		chunk.SetInstance(o.request.GetInstance())
		chunk.SetEager(o.request.GetEager())
	}
	sent, err := o.transport.start(ctx, classBodies, o.address, "Guard.Body", chunk, new(schema.BodyChunkReply))
	if err != nil {
		return notRunError(o.address, err)
	}
	o.window = append(o.window, sent)
	o.offset = end
	return nil
}

// awaitChunk waits for the confirmation of the oldest chunk in the window.
func (o *outgoingBody) awaitChunk(ctx context.Context) error {
	oldest := o.window[0]
	o.window = o.window[1:]
	if err := oldest.wait(ctx); err != nil {
		return notRunError(o.address, err)
	}
	reply := oldest.request.reply.(*schema.BodyChunkReply)
	o.refusal = reply.GetRefusal()
	if o.refusal == schema.Reason_REASON_NONE && !reply.GetStored() {
		return core.NewTransportError(o.address, schema.Reason_REASON_BUSY, false, errNoRoom)
	}
	return nil
}

func (o *outgoingBody) abandonWindow() {
	for _, sent := range o.window {
		sent.abandon()
	}
}

// notRunError converts the error of a chunk, whose call has not been sent.
func notRunError(address string, err error) error {
	var server rpc.ServerError
	if errors.As(err, &server) {
		return errUnknownMethod
	}
	var failed *core.TransportError
	if !errors.As(err, &failed) {
		return err
	}
	return core.NewTransportError(address, failed.Reason(), false, err)
}
