// Package native is a client for the HTTP protocol of this project's own platform: the configuration service, which serves the
// document with its revision, and the list of instances. It never writes. Rate limiting, backoff and jitter are the
// responsibility of the caller, package peers.
//
// Other platforms share its HTTP reader.
package native

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
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
)

// Client reads one platform over the protocol of this project. It is safe for concurrent use.
type Client struct {
	*HTTPReader
	skipped atomic.Uint64
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of a request, on top of the time that a long poll may wait.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.SetTimeout(timeout) }
}

// New returns a client for the platform at a base URL such as http://127.0.0.1:7000. If the URL is invalid, every read returns
// an error.
func New(base string, clock core.Clock, opts ...Option) *Client {
	c := &Client{HTTPReader: NewHTTPReader(base, clock)}
	c.RequireLength()
	for _, o := range opts {
		o(c)
	}
	return c
}

// Skipped returns the number of malformed entries that were skipped in instance lists.
func (c *Client) Skipped() uint64 { return c.skipped.Load() }

// Document implements core.Platform. A nil text means that wait elapsed without a revision above after. The revision is then
// the one that the platform reports, or after if it reports none. Each error is a *Error.
func (c *Client) Document(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte, error) {
	path := fmt.Sprintf("%s?after=%d&wait=%d", documentPath, after, wait.Milliseconds())
	response, err := c.Get(ctx, path, wait)
	if err != nil {
		return 0, nil, err
	}
	defer fasthttp.ReleaseResponse(response)
	revision, err := parseRevision(response)
	switch code := response.StatusCode(); {
	case code == fasthttp.StatusNotModified && err != nil:
		return after, nil, nil
	case code == fasthttp.StatusNotModified:
		return revision, nil, nil
	case code != fasthttp.StatusOK:
		return 0, nil, NewError(path, code, fmt.Errorf("status %d", code))
	case err != nil:
		return 0, nil, NewError(path, code, fmt.Errorf("read header %s: %w", RevisionHeader, err))
	}
	return revision, append([]byte{}, response.Body()...), nil
}

func parseRevision(response *fasthttp.Response) (uint64, error) {
	return strconv.ParseUint(string(response.Header.Peek(RevisionHeader)), 10, 64)
}

// instanceList is the JSON encoding of the instance list.
type instanceList struct {
	Instances []instanceEntry `json:"instances"`
}

type instanceEntry struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Address  string `json:"address"`
	State    string `json:"state"`
}

// Members implements core.Platform. Malformed entries are skipped and counted. Each error is a *Error.
func (c *Client) Members(ctx context.Context) ([]*schema.Member, error) {
	response, err := c.Get(ctx, instancesPath, 0)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseResponse(response)
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return nil, NewError(instancesPath, code, fmt.Errorf("status %d", code))
	}
	var list instanceList
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return nil, NewError(instancesPath, response.StatusCode(), fmt.Errorf("decode instance list: %w", err))
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

// member converts the entry to a member record. It returns nil if the entry is malformed.
func (e instanceEntry) member() *schema.Member {
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
