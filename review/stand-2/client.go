package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, host, path, body string
	timeout                  time.Duration
}

// reply is what a client saw. A code of 0 means that the connection ended without an answer.
type reply struct {
	id        string
	code      int
	signature string
	body      string
	err       error
}

var lastRequest atomic.Int64

// send sends a request to a node on a new connection and waits for the answer.
func (f *fleet) send(m *machine, r request) reply {
	id := fmt.Sprintf("q%06d", lastRequest.Add(1))
	got := reply{id: id}
	f.record.printf("client sends %s %s %s to %s", id, r.method, r.path, m.name)
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		got.err = err
		f.record.printf("client: %s gets no connection: %v", id, err)
		return got
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.timeout + time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.path, r.host, id, r.timeout.Milliseconds(), len(r.body), r.body)
	if err == nil {
		err = got.read(conn, r.method)
	}
	got.err = err
	if err != nil {
		f.record.printf("client: %s ends without an answer: %v", id, err)
		return got
	}
	f.record.printf("client: %s gets %d, signature %q", id, got.code, got.signature)
	return got
}

func (p *reply) read(conn net.Conn, method string) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	p.code, p.signature, p.body = response.StatusCode, response.Header.Get("Response-Signature"), string(body)
	return nil
}

// pipeline sends batches of safe requests on one kept connection, each batch before its first answer, until the connection
// ends or the time is up. It returns the requests that were sent and not answered.
func (f *fleet) pipeline(m *machine, perWrite int, stop time.Time) []string {
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for time.Now().Before(stop) {
		var ids []string
		text := ""
		for range perWrite {
			id := fmt.Sprintf("q%06d", lastRequest.Add(1))
			ids = append(ids, id)
			text += fmt.Sprintf("GET /sheets/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: 2000\r\n\r\n", id, host, id)
		}
		f.record.printf("client sends %v in one write to %s", ids, m.name)
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			f.record.printf("client: cannot write %v: %v", ids, err)
			return nil
		}
		for i, id := range ids {
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				f.record.printf("client: connection ends without the answers to %v: %v", ids[i:], err)
				return ids[i:]
			}
			f.record.printf("client: %s gets %d, Connection: close %v", id, response.StatusCode, response.Close)
			if response.Close {
				f.record.printf("client closes the connection; not answered: %v", ids[i+1:])
				return ids[i+1:]
			}
		}
	}
	return nil
}
