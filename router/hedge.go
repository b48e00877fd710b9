package router

import (
	"context"

	"verbenareel/picker"
	"verbenareel/schema"
)

// hedged sends a lookup to the instance and, if there is no reply within the hedging delay of the service, to a second
// one. It returns the first success, or else the last reply.
func (r *Router) hedged(ctx context.Context, c *call, view *picker.View) *schema.ExecuteReply {
	delay := c.group.usage.hedgeDelay()
	if delay == 0 {
		return r.attempt(ctx, c, view)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	first := r.start(ctx, c, view)
	if first == nil {
		return r.attempt(ctx, c, view)
	}
	select {
	case reply := <-first:
		c.note(view, reply)
		return reply
	case <-r.clock.After(delay):
	}
	other, second := r.hedge(ctx, c)
	reply, overtaken := r.race(c, hedge{view, first}, hedge{other, second})
	if overtaken {
		// The cancelled call leaves no latency behind; without this, a stalled instance would be chosen again.
		view.Fail(r.clock.Now())
	}
	return reply
}

// hedge sends the call to a second instance if the budget allows it. It returns nil if not.
func (r *Router) hedge(ctx context.Context, c *call) (*picker.View, <-chan *schema.ExecuteReply) {
	now := r.clock.Now()
	view := r.choose(c)
	if view == nil || !c.group.usage.hedge(now) {
		return nil, nil
	}
	return view, r.start(ctx, c, view)
}

// hedge is one of two attempts of a call.
type hedge struct {
	view    *picker.View
	replies <-chan *schema.ExecuteReply
}

// start sends the call in a goroutine, which does not use the call's state. It returns nil once Run has ended.
func (r *Router) start(ctx context.Context, c *call, view *picker.View) <-chan *schema.ExecuteReply {
	request := c.request(r.clock.Now(), view, r.self.GetService())
	replies := make(chan *schema.ExecuteReply, 1)
	if !r.spawn(func() { replies <- r.sendRequest(ctx, view, request).reply }) {
		return nil
	}
	c.tried = append(c.tried, view)
	return replies
}

// race waits for the first success of two attempts, or for both, and reports whether the second overtook the first. The
// caller cancels the loser.
func (r *Router) race(c *call, first, second hedge) (reply *schema.ExecuteReply, overtaken bool) {
	if second.replies == nil {
		reply = <-first.replies
		c.note(first.view, reply)
		return reply, false
	}
	winner := "first"
	for range 2 {
		select {
		case reply = <-first.replies:
			winner, first.replies = "first", nil
			c.note(first.view, reply)
		case reply = <-second.replies:
			winner, second.replies = "second", nil
			c.note(second.view, reply)
		}
		if succeeded(reply) {
			break
		}
	}
	r.metrics.hedged(c.service, winner)
	return reply, first.replies != nil
}

// spawn runs f in a goroutine that Run waits for. It returns false once Run has ended.
func (r *Router) spawn(f func()) bool {
	r.spawning.Lock()
	defer r.spawning.Unlock()
	if r.stopped {
		return false
	}
	r.tasks.Go(f)
	return true
}

// stop waits for the goroutines of spawn and lets no more start.
func (r *Router) stop() {
	r.spawning.Lock()
	r.stopped = true
	r.spawning.Unlock()
	r.tasks.Wait()
	close(r.done)
}
