package main

import (
	"net"
	"sync"
)

// proxy forwards connections to an address. Connections that are open while it is cut, or are opened then, go silent for good
// and without a reset. Once it has mended, new ones work.
type proxy struct {
	target   string
	listener net.Listener

	mutex sync.Mutex
	cut   bool
	// cuts counts the cuts.
	cuts  int
	conns []net.Conn
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setCut cuts the path, or mends it.
func (p *proxy) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if cut && !p.cut {
		p.cuts++
	}
	p.cut = cut
}

func (p *proxy) cutCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cuts
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mutex.Lock()
		p.conns = append(p.conns, conn)
		dead, cuts := p.cut, p.cuts
		p.mutex.Unlock()
		if dead {
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		go p.forward(conn, server, cuts)
		go p.forward(server, conn, cuts)
	}
}

func (p *proxy) forward(from, to net.Conn, cuts int) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if p.cutCount() != cuts {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

func (p *proxy) close() {
	p.setCut(false)
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
