package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as its API returns it.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      int    `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 100, changed: make(chan struct{})}
}

// put writes a key and returns once the store has accepted it.
func (s *store) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i := item{Key: key, Value: []byte(value), Revision: s.revision, CreatedRev: s.revision}
	if before, ok := s.items[key]; ok {
		i.CreatedRev = before.CreatedRev
	}
	s.items[key] = i
	s.publish(i)
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) publish(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// endpoint is an address at which the store is served.
type endpoint struct {
	address string
	server  *http.Server
}

func (s *store) listen(address string) (*endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{address: listener.Addr().String()}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r) })}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/verbenareel/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/verbenareel/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/verbenareel/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mutex.Lock()
	i, ok := s.items[key]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{i, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mutex.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, map[string]any{"items": items, "truncated": false, "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mutex.Lock()
		events := []item{}
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
