// Package plat reads the platform's configuration service over HTTP: the document with its revision, and the list of
// instances. It only reads. Budget, backoff and jitter are decided by its caller, package peers.
package plat

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"verbenareel/core"
	"verbenareel/schema"
)

const (
	// RevisionHeader is the response header that carries the revision of the document.
	RevisionHeader = "Platform-Revision"

	documentPath  = "/v1/document"
	instancesPath = "/v1/instances"

	// maxBody bounds a response; the platform holds values up to 1 MB.
	maxBody = 1 << 20
	// maxIdle is the number of connections kept: one for the watch and one for the list.
	maxIdle = 2
	// defaultTimeout bounds a call beyond the wait that it asks for. The platform answers in milliseconds.
	defaultTimeout = time.Second
)

// Error reports that a read failed.
type Error struct {
	path string
	code int
	err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("read %s of the platform: %v", e.path, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Code returns the HTTP status code, or 0 if there was no response.
func (e *Error) Code() int { return e.code }

// Client reads one platform. It is safe for concurrent use.
type Client struct {
	base    string
	host    string
	err     error
	clock   core.Clock
	timeout time.Duration
	calls   atomic.Uint64
	skipped atomic.Uint64
	// answered is the time of the last whole response in Unix nanoseconds.
	answered atomic.Int64

	mutex sync.Mutex
	idle  []*connection
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

// Option changes a Client.
type Option func(*Client)

// WithTimeout bounds each call beyond the wait that it asks for.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// New returns a client for the platform at a base URL such as http://127.0.0.1:7000. With an invalid URL, each read
// returns an error.
func New(base string, clock core.Clock, opts ...Option) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), clock: clock, timeout: defaultTimeout}
	u, err := url.Parse(base)
	switch {
	case err != nil:
		c.err = fmt.Errorf("parse URL: %w", err)
	case u.Scheme != "http" || u.Host == "":
		c.err = fmt.Errorf("URL %q is not of the form http://host:port", base)
	default:
		c.host = u.Host
	}
	if c.host != "" && u.Port() == "" {
		c.host = net.JoinHostPort(u.Hostname(), "80")
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Calls returns the number of requests sent.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Answered returns the time of the last whole response, or the zero time.
func (c *Client) Answered() time.Time {
	if nanoseconds := c.answered.Load(); nanoseconds != 0 {
		return time.Unix(0, nanoseconds)
	}
	return time.Time{}
}

// Skipped returns the number of entries of instance lists that were passed over because they were malformed.
func (c *Client) Skipped() uint64 { return c.skipped.Load() }

// Close closes idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, i := range c.idle {
		_ = i.Close()
	}
	c.idle = nil
}

// Document implements core.Platform. A nil text means that the wait passed without a revision above after; the revision
// is then the platform's, or after if the platform does not give it. Each error is a *Error.
func (c *Client) Document(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte, error) {
	path := fmt.Sprintf("%s?after=%d&wait=%d", documentPath, after, wait.Milliseconds())
	response, err := c.get(ctx, path, wait)
	if err != nil {
		return 0, nil, err
	}
	defer fasthttp.ReleaseResponse(response)
	revision, err := revisionOf(response)
	switch code := response.StatusCode(); {
	case code == fasthttp.StatusNotModified && err != nil:
		return after, nil, nil
	case code == fasthttp.StatusNotModified:
		return revision, nil, nil
	case code != fasthttp.StatusOK:
		return 0, nil, &Error{path: path, code: code, err: fmt.Errorf("status %d", code)}
	case err != nil:
		return 0, nil, &Error{path: path, code: code, err: fmt.Errorf("read header %s: %w", RevisionHeader, err)}
	}
	return revision, append([]byte{}, response.Body()...), nil
}

func revisionOf(response *fasthttp.Response) (uint64, error) {
	return strconv.ParseUint(string(response.Header.Peek(RevisionHeader)), 10, 64)
}

// listing is the JSON form of the instance list.
type listing struct {
	Instances []entry `json:"instances"`
}

type entry struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Address  string `json:"address"`
	State    string `json:"state"`
}

// Members implements core.Platform. Malformed entries are passed over and counted. Each error is a *Error.
func (c *Client) Members(ctx context.Context) ([]*schema.Member, error) {
	response, err := c.get(ctx, instancesPath, 0)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseResponse(response)
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, &Error{path: instancesPath, code: code, err: fmt.Errorf("status %d", code)}
	}
	var list listing
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return nil, &Error{path: instancesPath, code: response.StatusCode(), err: fmt.Errorf("decode list: %w", err)}
	}
	members := make([]*schema.Member, 0, len(list.Instances))
	for _, e := range list.Instances {
		if m := e.member(); m != nil {
			members = append(members, m)
			continue
		}
		c.skipped.Add(1)
	}
	return members, nil
}

// member returns the record of an entry, or nil if the entry is malformed.
func (e entry) member() *schema.Member {
	states := map[string]schema.InstanceState{
		"live":    schema.InstanceState_INSTANCE_STATE_SERVING,
		"leaving": schema.InstanceState_INSTANCE_STATE_LEAVING,
	}
	state, ok := states[e.State]
	_, err := netip.ParseAddrPort(e.Address)
	if !ok || err != nil || e.Instance == "" || e.Service == "" || e.Domain == "" {
		return nil
	}
	return schema.Member_builder{
		Instance: e.Instance, Service: e.Service, Domain: e.Domain, Address: e.Address, State: state,
	}.Build()
}

// get sends one GET request. A kept connection that the platform has closed is replaced once, since a read may repeat.
func (c *Client) get(ctx context.Context, path string, wait time.Duration) (*fasthttp.Response, error) {
	if c.err != nil {
		return nil, &Error{path: path, err: c.err}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	kept := c.take()
	if kept != nil {
		response, err := c.exchange(ctx, kept, path)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil || errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return nil, &Error{path: path, err: err}
		}
	}
	fresh, err := c.dial(ctx)
	if err != nil {
		return nil, &Error{path: path, err: fmt.Errorf("connect: %w", err)}
	}
	response, err := c.exchange(ctx, fresh, path)
	if err != nil {
		return nil, &Error{path: path, err: err}
	}
	return response, nil
}

func (c *Client) dial(ctx context.Context) (*connection, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.host)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}, nil
}

func (c *Client) take() *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	kept := c.idle[last]
	c.idle = c.idle[:last]
	return kept
}

func (c *Client) keep(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle) >= maxIdle {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// exchange writes the request and reads the whole response. The end of ctx ends it at once.
func (c *Client) exchange(ctx context.Context, conn *connection, path string) (*fasthttp.Response, error) {
	c.calls.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response := fasthttp.AcquireResponse()
	err := c.transfer(conn, path, response)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		fasthttp.ReleaseResponse(response)
		_ = conn.Close()
		return nil, err
	}
	c.answered.Store(c.clock.Now().UnixNano())
	if response.ConnectionClose() {
		_ = conn.Close()
		return response, nil
	}
	c.keep(conn)
	return response, nil
}

func (c *Client) transfer(conn *connection, path string, response *fasthttp.Response) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(c.base + path)
	if err := request.Write(conn.writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := conn.writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := response.ReadLimitBody(conn.reader, maxBody); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return nil
}
