package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
)

// Platform is a test double for the platform: a configuration service that nodes read and watch, and an instance list. It
// is controlled through Publish, List and SetMode, or through the same operations over HTTP under /fake/.
type Platform struct {
	listener  net.Listener
	app       *fiber.App
	done      chan struct{}
	closing   chan struct{}
	listDelay time.Duration

	mu             sync.Mutex
	revision       uint64
	text           []byte
	changed        chan struct{}
	mode           Mode
	frozenRevision uint64
	frozenText     []byte
	calls          int
	lists          []instanceList
}

// Mode is the failure mode of the platform.
type Mode string

// The failure modes of the platform.
const (
	// ModeUp answers normally.
	ModeUp Mode = "up"
	// ModeDown answers every read with status 503.
	ModeDown Mode = "down"
	// ModeFrozen keeps serving the document and the list from the time at which the mode was set.
	ModeFrozen Mode = "frozen"
)

// Entry is an instance in the instance list.
type Entry struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Address  string `json:"address"`
	// State is live or leaving.
	State string `json:"state"`
}

type instanceList struct {
	at      time.Time
	entries []Entry
}

// NewPlatform returns a platform that listens on address. Changes of the instance list become visible after lag.
func NewPlatform(address string, lag time.Duration) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	p := &Platform{
		listener:  listener,
		app:       fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 4 << 20}),
		done:      make(chan struct{}),
		closing:   make(chan struct{}),
		listDelay: lag,
		changed:   make(chan struct{}),
		mode:      ModeUp,
	}
	p.app.Get("/v1/document", p.handleDocument)
	p.app.Get("/v1/instances", p.handleInstances)
	p.app.Post("/fake/document", func(c *fiber.Ctx) error {
		return c.JSON(p.Publish(append([]byte(nil), c.Body()...)))
	})
	p.app.Post("/fake/instances", p.handleSetInstances)
	p.app.Post("/fake/mode/:mode", func(c *fiber.Ctx) error {
		p.SetMode(Mode(c.Params("mode")))
		return c.SendStatus(fiber.StatusNoContent)
	})
	p.app.Get("/fake/calls", func(c *fiber.Ctx) error { return c.JSON(p.Calls()) })
	return p, nil
}

// URL returns the base URL.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Done returns a channel that is closed when Serve has returned.
func (p *Platform) Done() <-chan struct{} { return p.done }

// Serve answers requests until ctx is cancelled.
func (p *Platform) Serve(ctx context.Context) error {
	defer close(p.done)
	var group conc.WaitGroup
	failed := make(chan error, 1)
	group.Go(func() { failed <- p.app.Listener(p.listener) })
	defer group.Wait()
	select {
	case <-ctx.Done():
		close(p.closing)
		if err := p.app.ShutdownWithTimeout(time.Second); err != nil {
			return fmt.Errorf("shut down the platform: %w", err)
		}
		return nil
	case err := <-failed:
		return fmt.Errorf("serve the platform: %w", err)
	}
}

// Publish replaces the document and returns its revision.
func (p *Platform) Publish(text []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.text = text
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// Revision returns the revision of the latest document.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// List replaces the instance list.
func (p *Platform) List(entries []Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, instanceList{at: time.Now(), entries: entries})
}

// SetMode sets the failure mode.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.frozenRevision = p.revision
	p.frozenText = p.text
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the number of reads so far. A watch counts as one read.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// current returns the document that readers see and a channel that is closed at the next change.
func (p *Platform) current() (revision uint64, text []byte, mode Mode, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == ModeFrozen {
		return p.frozenRevision, p.frozenText, p.mode, p.changed
	}
	return p.revision, p.text, p.mode, p.changed
}

func (p *Platform) handleDocument(c *fiber.Ctx) error {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	after := uint64(c.QueryInt("after"))
	expired := time.After(time.Duration(c.QueryInt("wait")) * time.Millisecond)
	for {
		revision, text, mode, changed := p.current()
		if mode == ModeDown {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		if revision > after {
			c.Set("Platform-Revision", strconv.FormatUint(revision, 10))
			return c.Send(text)
		}
		select {
		case <-changed:
		case <-p.closing:
			return c.SendStatus(fiber.StatusServiceUnavailable)
		case <-expired:
			return c.SendStatus(fiber.StatusNotModified)
		}
	}
}

func (p *Platform) handleInstances(c *fiber.Ctx) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.mode == ModeDown {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	if p.mode == ModeUp {
		p.discardOldLists(time.Now())
	}
	entries := []Entry{}
	if len(p.lists) > 0 {
		entries = p.lists[0].entries
	}
	return c.JSON(fiber.Map{"instances": entries})
}

// discardOldLists removes all lists older than the newest list that is already visible, that is, at least listDelay old.
func (p *Platform) discardOldLists(now time.Time) {
	for len(p.lists) > 1 && now.Sub(p.lists[1].at) >= p.listDelay {
		p.lists = p.lists[1:]
	}
}

func (p *Platform) handleSetInstances(c *fiber.Ctx) error {
	var entries []Entry
	if err := json.Unmarshal(c.Body(), &entries); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	p.List(entries)
	return c.SendStatus(fiber.StatusNoContent)
}
