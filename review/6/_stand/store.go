package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of objects in one answer to a list. PROTOCOL.md allows up to about 500.
const maxPageItems = 50

// change is one change of one object.
type change struct {
	revision, created uint64
	at                time.Time
	kind, name        string
	spec              json.RawMessage
	deleted           bool
}

// readOptions describes a read that may be stale.
type readOptions struct {
	kind  string
	after string
	watch bool
}

// store is a stand-in for the platform's store. It keeps the history of all changes, so that it can answer stale reads from the
// state that it had some seconds ago.
type store struct {
	server  *http.Server
	address string
	// lag returns how old the data is that a stale read returns; nil means current. It is set before the store starts.
	lag func(readOptions) time.Duration
	// loseDeletes makes each deletion of an object time out and take effect only after the returned time; 0 means at once.
	loseDeletes func(kind, name string) time.Duration

	mu       sync.Mutex
	revision uint64
	history  []change
	changed  chan struct{}
	cut      chan struct{}
}

func newStore() *store {
	return &store{revision: 1, changed: make(chan struct{}), cut: make(chan struct{})}
}

func (s *store) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *store) stop() { _ = s.server.Close() }

// put writes an object and returns the time of the ack.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(change{kind: kind, name: name, spec: raw})
	return time.Now()
}

// remove deletes an object and returns the time of the ack.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects(kind, s.revision)[name]; ok {
		s.commit(change{kind: kind, name: name, deleted: true})
	}
	return time.Now()
}

// cutWatches ends the watches that are waiting without an answer.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// commit adds a change. The caller holds mu.
func (s *store) commit(c change) change {
	old, exists := s.objects(c.kind, s.revision)[c.name]
	s.revision++
	c.revision, c.created, c.at = s.revision, s.revision, time.Now()
	if exists {
		c.created = old.created
	}
	if c.deleted {
		c.spec = old.spec
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return c
}

// objects returns the objects of a kind at a revision. The caller holds mu.
func (s *store) objects(kind string, revision uint64) map[string]change {
	found := make(map[string]change)
	for _, c := range s.history {
		switch {
		case c.kind != kind || c.revision > revision:
		case c.deleted:
			delete(found, c.name)
		default:
			found[c.name] = c
		}
	}
	return found
}

// revisionAt returns the revision of the store at a time. The caller holds mu.
func (s *store) revisionAt(at time.Time) uint64 {
	revision := uint64(1)
	for _, c := range s.history {
		if !c.at.After(at) {
			revision = c.revision
		}
	}
	return revision
}

type wireMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type wireObject struct {
	Meta   wireMeta        `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

func (c *change) object() wireObject {
	return wireObject{Meta: wireMeta{Name: c.name, Revision: c.revision, Created: c.created, Finalizers: []string{}}, Spec: c.spec, Status: json.RawMessage("null")}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	options := readOptions{kind: kind, after: query.Get("after"), watch: query.Has("watch")}
	lag := time.Duration(0)
	if query.Get("allow_stale") == "1" && s.lag != nil {
		lag = s.lag(options)
	}
	switch {
	case r.Method == http.MethodGet && options.watch:
		s.watch(w, r, kind, lag)
	case r.Method == http.MethodGet && name == "":
		s.list(w, options, lag)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		c, found := s.objects(kind, s.revision)[name]
		s.mu.Unlock()
		if !found {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, c.object())
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, o readOptions, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision
	if lag > 0 {
		revision = s.revisionAt(time.Now().Add(-lag))
	}
	objects := s.objects(o.kind, revision)
	var names []string
	for name := range objects {
		if name > o.after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []wireObject{}
	for _, name := range names[:min(len(names), maxPageItems)] {
		c := objects[name]
		items = append(items, c.object())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": len(names) > maxPageItems, "as_of": revision})
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, lag time.Duration) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		visible, changed := s.revision, s.changed
		if lag > 0 {
			visible = s.revisionAt(time.Now().Add(-lag))
		}
		events := []wireEvent{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after && c.revision <= visible {
				events = append(events, wireEvent{c.object(), c.deleted})
			}
		}
		s.mu.Unlock()
		if left := time.Until(deadline); len(events) > 0 || left <= 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": max(visible, after)})
			return
		}
		pause := time.Until(deadline)
		if lag > 0 {
			pause = min(pause, 5*time.Millisecond)
		}
		select {
		case <-changed:
		case <-time.After(pause):
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body wireObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = body.Meta.Name
	}
	wanted := body.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodDelete && s.loseDeletes != nil {
		if delay := s.loseDeletes(kind, name); delay > 0 {
			// The call is executed later, if its condition still holds, and never answered.
			time.AfterFunc(delay, func() { s.execute(r.Method, kind, name, wanted, nil) })
			<-r.Context().Done()
			return
		}
	}
	status, result := s.execute(r.Method, kind, name, wanted, body.Spec)
	reply(w, status, result)
}

// execute carries out a write under its condition.
func (s *store) execute(method, kind, name string, wanted uint64, spec json.RawMessage) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects(kind, s.revision)[name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old.object()
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case wanted != 0 && wanted != old.revision:
		return http.StatusConflict, old.object()
	}
	c := s.commit(change{kind: kind, name: name, spec: spec, deleted: method == http.MethodDelete})
	return http.StatusOK, c.object()
}
