package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	forwardBuffer = 16 << 10
	// forwardQueue bounds the chunks that one direction of a connection delays.
	forwardQueue = 256
)

// Forwarder passes TCP connections on to a target and can break them on command: cut them, let them go silent without
// closing them, in one direction or both, resume them and add delay. A half-close is passed on.
type Forwarder struct {
	target   string
	listener *net.TCPListener
	group    conc.WaitGroup
	done     chan struct{}

	mutex    sync.Mutex
	changed  *sync.Cond
	pairs    map[*pair]struct{}
	accepted int
	muted    bool
	deaf     bool
	delay    time.Duration
}

// pair is one forwarded connection; its fields are guarded by the mutex of the Forwarder.
type pair struct {
	client *net.TCPConn
	server *net.TCPConn
	silent bool
	// deaf tells that nothing is forwarded from the server to the client.
	deaf   bool
	closed bool
}

// chunk is what was read at once, and when it is due at the other side.
type chunk struct {
	data []byte
	due  time.Time
}

// NewForwarder listens on a free loopback port and forwards to target once Serve is called.
func NewForwarder(target string) (*Forwarder, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("forwarder: %w", err)
	}
	f := &Forwarder{target: target, listener: listener, done: make(chan struct{}), pairs: make(map[*pair]struct{})}
	f.changed = sync.NewCond(&f.mutex)
	return f, nil
}

// Addr returns the address that the forwarder listens on.
func (f *Forwarder) Addr() string { return f.listener.Addr().String() }

// Done is closed once the forwarder has stopped.
func (f *Forwarder) Done() <-chan struct{} { return f.done }

// Accepted returns the number of connections accepted so far.
func (f *Forwarder) Accepted() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.accepted
}

// Serve forwards until ctx ends, and then closes all connections.
func (f *Forwarder) Serve(ctx context.Context) error {
	defer close(f.done)
	release := context.AfterFunc(ctx, func() { _ = f.listener.Close() })
	defer release()
	err := f.accept(ctx)
	f.Cut()
	f.group.Wait()
	return err
}

// Cut resets all open connections. New ones are accepted.
func (f *Forwarder) Cut() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for p := range f.pairs {
		p.abort()
	}
	f.changed.Broadcast()
}

// Silence stops forwarding on the open connections without closing them; new connections work.
func (f *Forwarder) Silence() { f.setSilent(true, false) }

// Mute stops forwarding on the open connections and on new ones, which are still accepted.
func (f *Forwarder) Mute() { f.setSilent(true, true) }

// Deafen stops forwarding from the target to the clients, on the open connections and on new ones. What clients send arrives.
func (f *Forwarder) Deafen() { f.setDeaf(true) }

// Resume ends Silence, Mute and Deafen; what was held back is delivered.
func (f *Forwarder) Resume() {
	f.setSilent(false, false)
	f.setDeaf(false)
}

func (f *Forwarder) setDeaf(deaf bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.deaf = deaf
	for p := range f.pairs {
		p.deaf = deaf
	}
	f.changed.Broadcast()
}

func (f *Forwarder) setSilent(open, later bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.muted = later
	for p := range f.pairs {
		p.silent = open
	}
	f.changed.Broadcast()
}

// SetDelay delays what is read from now on, in each direction.
func (f *Forwarder) SetDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

func (f *Forwarder) accept(ctx context.Context) error {
	for {
		client, err := f.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("forwarder: %w", err)
		}
		f.group.Go(func() { f.forward(ctx, client) })
	}
}

func (f *Forwarder) forward(ctx context.Context, client *net.TCPConn) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", f.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &pair{client: client, server: conn.(*net.TCPConn)}
	f.mutex.Lock()
	f.accepted++
	p.silent, p.deaf = f.muted, f.deaf
	f.pairs[p] = struct{}{}
	if ctx.Err() != nil {
		p.abort()
	}
	f.mutex.Unlock()

	var directions conc.WaitGroup
	directions.Go(func() { f.copy(p, p.server, p.client) })
	directions.Go(func() { f.copy(p, p.client, p.server) })
	directions.Wait()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p.abort()
	delete(f.pairs, p)
}

// abort resets both sides.
func (p *pair) abort() {
	p.closed = true
	for _, c := range []*net.TCPConn{p.client, p.server} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (f *Forwarder) copy(p *pair, to, from *net.TCPConn) {
	chunks := make(chan chunk, forwardQueue)
	var reader conc.WaitGroup
	reader.Go(func() { f.read(chunks, from) })
	f.write(p, to, chunks)
	reader.Wait()
}

func (f *Forwarder) read(chunks chan<- chunk, from *net.TCPConn) {
	defer close(chunks)
	for {
		data := make([]byte, forwardBuffer)
		n, err := from.Read(data)
		if err != nil {
			return
		}
		f.mutex.Lock()
		due := time.Now().Add(f.delay)
		f.mutex.Unlock()
		chunks <- chunk{data: data[:n], due: due}
	}
}

func (f *Forwarder) write(p *pair, to *net.TCPConn, chunks <-chan chunk) {
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		f.await(p, to)
		if _, err := to.Write(c.data); err != nil {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
	f.await(p, to)
	_ = to.CloseWrite()
}

// await waits while the pair is silent, or deaf in the direction to a side.
func (f *Forwarder) await(p *pair, to *net.TCPConn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for (p.silent || p.deaf && to == p.client) && !p.closed {
		f.changed.Wait()
	}
}
