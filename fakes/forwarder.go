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
	// forwardQueue is the maximum number of delayed chunks per direction of a connection.
	forwardQueue = 256
)

// Forwarder is a TCP proxy that injects faults: it can reset connections, stop forwarding in one or both directions
// without closing them, resume forwarding, and add delay. It forwards half-closes.
type Forwarder struct {
	target   string
	listener *net.TCPListener
	group    conc.WaitGroup
	done     chan struct{}

	mutex        sync.Mutex
	stateChanged *sync.Cond
	connections  map[*connPair]struct{}
	accepted     int
	// blockNew blocks both directions of new connections, blockReplies the direction from the server to the client.
	blockNew     bool
	blockReplies bool
	delay        time.Duration
	// rate is the limit in bytes per second; free is when a direction has delivered what was read before.
	rate                         float64
	freeToTarget, freeFromTarget time.Time
}

// connPair holds the two sides of a forwarded connection. The mutex of the Forwarder protects its fields.
type connPair struct {
	client *net.TCPConn
	server *net.TCPConn
	// blocked stops forwarding in both directions.
	blocked bool
	// repliesBlocked stops forwarding from the server to the client.
	repliesBlocked bool
	closed         bool
}

// chunk is the data of one read and the time at which it is written to the other side.
type chunk struct {
	data []byte
	due  time.Time
}

// NewForwarder listens on a free loopback port. Serve forwards its connections to target.
func NewForwarder(target string) (*Forwarder, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen for the forwarder: %w", err)
	}
	f := &Forwarder{target: target, listener: listener, done: make(chan struct{}), connections: make(map[*connPair]struct{})}
	f.stateChanged = sync.NewCond(&f.mutex)
	return f, nil
}

// Addr returns the listen address of the forwarder.
func (f *Forwarder) Addr() string { return f.listener.Addr().String() }

// Done returns a channel that is closed when Serve has returned.
func (f *Forwarder) Done() <-chan struct{} { return f.done }

// Accepted returns the number of connections that have been forwarded so far.
func (f *Forwarder) Accepted() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.accepted
}

// Serve forwards connections until ctx is cancelled and then closes all of them.
func (f *Forwarder) Serve(ctx context.Context) error {
	defer close(f.done)
	release := context.AfterFunc(ctx, func() { _ = f.listener.Close() })
	defer release()
	err := f.accept(ctx)
	f.Cut()
	f.group.Wait()
	return err
}

// Cut resets all open connections. New connections are still accepted.
func (f *Forwarder) Cut() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for p := range f.connections {
		p.abort()
	}
	f.stateChanged.Broadcast()
}

// StallOpen stops forwarding on the open connections without closing them. New connections are not affected.
func (f *Forwarder) StallOpen() { f.setBlocked(true, false) }

// StallAll stops forwarding on open and new connections. New connections are still accepted.
func (f *Forwarder) StallAll() { f.setBlocked(true, true) }

// StallResponses stops forwarding from the target to the clients on open and new connections. Data from the clients still reaches
// the target.
func (f *Forwarder) StallResponses() { f.setRepliesBlocked(true) }

// Resume ends the effects of StallOpen, StallAll and StallResponses. Data that was held back is delivered.
func (f *Forwarder) Resume() {
	f.setBlocked(false, false)
	f.setRepliesBlocked(false)
}

func (f *Forwarder) setRepliesBlocked(deaf bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.blockReplies = deaf
	for p := range f.connections {
		p.repliesBlocked = deaf
	}
	f.stateChanged.Broadcast()
}

func (f *Forwarder) setBlocked(open, later bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.blockNew = later
	for p := range f.connections {
		p.blocked = open
	}
	f.stateChanged.Broadcast()
}

// SetDelay sets the delay for data read from now on, in each direction.
func (f *Forwarder) SetDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

// SetRate limits the data read from now on to a number of bytes per second in each direction, over all connections; 0 means no limit.
func (f *Forwarder) SetRate(rate float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rate = rate
}

// due returns when data that was read now in a direction is delivered. The mutex must be held.
func (f *Forwarder) due(size int, toTarget bool) time.Time {
	due := time.Now().Add(f.delay)
	if f.rate <= 0 {
		return due
	}
	free := &f.freeFromTarget
	if toTarget {
		free = &f.freeToTarget
	}
	if free.Before(due) {
		*free = due
	}
	*free = free.Add(time.Duration(float64(size) / f.rate * float64(time.Second)))
	return *free
}

func (f *Forwarder) accept(ctx context.Context) error {
	for {
		client, err := f.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connection of the forwarder: %w", err)
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
	p := &connPair{client: client, server: conn.(*net.TCPConn)}
	f.mutex.Lock()
	f.accepted++
	p.blocked, p.repliesBlocked = f.blockNew, f.blockReplies
	f.connections[p] = struct{}{}
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
	delete(f.connections, p)
}

// abort resets the connections of both sides.
func (p *connPair) abort() {
	p.closed = true
	for _, c := range []*net.TCPConn{p.client, p.server} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (f *Forwarder) copy(p *connPair, to, from *net.TCPConn) {
	chunks := make(chan chunk, forwardQueue)
	var reader conc.WaitGroup
	reader.Go(func() { f.read(chunks, from, from == p.client) })
	f.write(p, to, chunks)
	reader.Wait()
}

func (f *Forwarder) read(chunks chan<- chunk, from *net.TCPConn, toTarget bool) {
	defer close(chunks)
	for {
		data := make([]byte, forwardBuffer)
		n, err := from.Read(data)
		if err != nil {
			return
		}
		f.mutex.Lock()
		due := f.due(n, toTarget)
		f.mutex.Unlock()
		chunks <- chunk{data: data[:n], due: due}
	}
}

func (f *Forwarder) write(p *connPair, to *net.TCPConn, chunks <-chan chunk) {
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		f.waitUnblocked(p, to)
		if _, err := to.Write(c.data); err != nil {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
	f.waitUnblocked(p, to)
	_ = to.CloseWrite()
}

// waitUnblocked waits while forwarding to the given side of the pair is blocked.
func (f *Forwarder) waitUnblocked(p *connPair, to *net.TCPConn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for (p.blocked || p.repliesBlocked && to == p.client) && !p.closed {
		f.stateChanged.Wait()
	}
}
