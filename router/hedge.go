package router

import (
	"context"

	"verbenareel/picker"
	"verbenareel/schema"
)

// attemptHedged sends a repeatable call to the instance and, if there is no reply within the hedging delay of the
// service, to a second one. It returns the first successful reply, or else the last reply.
func (r *Router) attemptHedged(ctx context.Context, c *call, view *picker.View) *schema.ExecuteReply {
	delay := c.group.budgets.hedgeDelay()
	if delay == 0 {
		return r.attempt(ctx, c, view)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	first := r.startAttempt(ctx, c, view)
	if first == nil {
		return r.attempt(ctx, c, view)
	}
	select {
	case reply := <-first:
		c.recordAttempt(view, reply)
		return reply
	case <-r.clock.After(delay):
	}
	other, second := r.startHedge(ctx, c)
	reply, overtaken := r.race(c, hedgeAttempt{view, first}, hedgeAttempt{other, second})
	if overtaken {
		// The cancelled attempt records no latency. Without this failure, a stalled instance would be chosen again.
		view.RecordFailure(r.clock.Now())
	}
	return reply
}

// startHedge sends the call to a second instance if the hedge budget allows it, and returns nil otherwise.
func (r *Router) startHedge(ctx context.Context, c *call) (*picker.View, <-chan *schema.ExecuteReply) {
	now := r.clock.Now()
	view := r.choose(c)
	if view == nil || !c.group.budgets.takeHedge(now) {
		return nil, nil
	}
	c.group.budgets.chargeArrival(now)
	return view, r.startAttempt(ctx, c, view)
}

// hedgeAttempt is one of the two concurrent attempts of a hedged call.
type hedgeAttempt struct {
	view    *picker.View
	replies <-chan *schema.ExecuteReply
}

// startAttempt sends the call in a goroutine, which does not access the state of the call. It returns nil after Run has
// ended.
func (r *Router) startAttempt(ctx context.Context, c *call, view *picker.View) <-chan *schema.ExecuteReply {
	request := c.newRequest(r.clock.Now(), view, r.self.GetService())
	replies := make(chan *schema.ExecuteReply, 1)
	if !r.spawn(func() { replies <- r.sendRequest(ctx, view, request).reply }) {
		return nil
	}
	c.tried = append(c.tried, view)
	return replies
}

// race waits for the first successful reply of two attempts, or for both replies, and reports whether the second
// attempt succeeded while the first was still pending. The caller cancels the slower attempt.
func (r *Router) race(c *call, first, second hedgeAttempt) (reply *schema.ExecuteReply, overtaken bool) {
	if second.replies == nil {
		reply = <-first.replies
		c.recordAttempt(first.view, reply)
		return reply, false
	}
	winner := "first"
	for range 2 {
		select {
		case reply = <-first.replies:
			winner, first.replies = "first", nil
			c.recordAttempt(first.view, reply)
		case reply = <-second.replies:
			winner, second.replies = "second", nil
			c.recordAttempt(second.view, reply)
		}
		if succeeded(reply) {
			break
		}
	}
	r.metrics.recordHedge(c.service, winner)
	return reply, first.replies != nil
}

// spawn runs f in a goroutine that Run waits for. It returns false after Run has ended.
func (r *Router) spawn(f func()) bool {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	if r.stopped {
		return false
	}
	r.tasks.Go(f)
	return true
}

// stop prevents further calls of spawn and waits for the running goroutines.
func (r *Router) stop() {
	r.tasksMu.Lock()
	r.stopped = true
	r.tasksMu.Unlock()
	r.tasks.Wait()
	close(r.done)
}
