package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client and what became of it.
type attempt struct {
	id, path string
	to       *machine
	sent     time.Time
	ended    time.Time
	// code is the status of a complete answer, or 0. err says how the connection ended without one.
	code   int
	signed string
	body   string
	err    string
	// unsent is set if no connection was established, or the request could not be written.
	unsent bool
}

var lastID atomic.Int64

// do sends one request on a new connection and waits for the answer.
func do(log *record, m *machine, method, path, body string, wait time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", 0x1000+lastID.Add(1)), path: path, to: m}
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		a.unsent, a.err, a.sent, a.ended = true, "no connection: "+err.Error(), time.Now(), time.Now()
		log.event("client: %s to %s: %s", a.id, m.name, a.err)
		return a
	}
	defer func() { _ = conn.Close() }()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: band.example\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\n", method, path, a.id, wait.Milliseconds())
	if method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = conn.SetDeadline(time.Now().Add(wait))
	a.sent = time.Now()
	if _, err := io.Copy(conn, strings.NewReader(text+"\r\n"+body)); err != nil {
		a.unsent, a.err, a.ended = true, "write: "+err.Error(), time.Now()
		log.event("client: %s to %s: %s", a.id, m.name, a.err)
		return a
	}
	log.event("client: %s %s %s sent to %s", a.id, method, path, m.name)
	a.read(bufio.NewReader(conn))
	a.ended = time.Now()
	log.event("client: %s gets %d %s%s", a.id, a.code, a.signed, a.err)
	return a
}

func (a *attempt) read(reader *bufio.Reader) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err = "no answer: " + err.Error()
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = "answer ends early: " + err.Error()
		return
	}
	a.code, a.signed, a.body = response.StatusCode, response.Header.Get("Response-Signature"), string(body)
}

// load sends requests at a rate until stop is closed.
type load struct {
	mutex    sync.Mutex
	attempts []*attempt
	group    sync.WaitGroup
}

func (l *load) run(interval time.Duration, until func() bool, send func(n int) *attempt) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; !until(); n++ {
			l.group.Add(1)
			go func() {
				defer l.group.Done()
				if a := send(n); a != nil {
					l.mutex.Lock()
					l.attempts = append(l.attempts, a)
					l.mutex.Unlock()
				}
			}()
			<-ticker.C
		}
	}()
}

func (l *load) wait() []*attempt {
	l.group.Wait()
	return l.attempts
}
