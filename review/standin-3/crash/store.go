package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store's tables.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Version uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// transaction is the body of rows-tx.
type transaction struct {
	Expected []row `json:"ExpectedRev"`
	Puts     []row `json:"Puts"`
	Remove   []row `json:"Remove"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	run     *run
	started time.Time
	address string

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	blobs   map[string][]byte
	changed chan struct{}
	// answer decides on a call before it is carried out; it may be nil. It returns false if the call is not
	// to be carried out, after it has responded.
	answer func(w http.ResponseWriter, r *http.Request) bool
}

func startStore(r *run, address string) *store {
	s := &store{run: r, started: time.Now(), address: address, rows: make(map[rowKey]row), blobs: make(map[string][]byte), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		r.fail("store: %v", err)
	}
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// setAnswer replaces the function that decides on calls.
func (s *store) setAnswer(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
}

// put writes a row as the operator.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.commit(transaction{Puts: []row{{Table: table, Key: key, Value: data}}})
	s.run.log("operator: wrote %s/%s: %.200s", table, key, data)
}

// get returns the value of a row, nil if it is absent.
func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

// commit applies a transaction, or returns the rows that did not have the versions expected.
func (s *store) commit(t transaction) (version uint64, conflict []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.Expected {
		present := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if present.Version != e.Version {
			ok = false
		}
		if present.Version != 0 {
			conflict = append(conflict, present)
		}
	}
	if !ok {
		return s.version, conflict, false
	}
	s.version++
	for _, p := range t.Puts {
		p.Version, p.Deleted = s.version, false
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, d := range t.Remove {
		delete(s.rows, rowKey{d.Table, d.Part, d.Key})
		s.history = append(s.history, row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() + 1000 }

func respondJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	if answer != nil && !answer(w, r) {
		return
	}
	switch path := r.URL.Path; {
	case path == "/v1/rows-tx":
		s.serveTransaction(w, r)
	case path == "/v1/rows-get":
		s.serveRange(w, r)
	case path == "/v1/rows-feed":
		s.serveFeed(w, r)
	case path == "/v1/rows-parts":
		s.serveParts(w, r)
	case strings.HasPrefix(path, "/v1/blob-"):
		s.serveBlob(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range append(slices.Clone(t.Puts), t.Remove...) {
		if put.Table == "op" || put.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(4 * time.Millisecond) // TxTimeoutMs
	version, conflict, ok := s.commit(t)
	if !ok {
		respondJSON(w, http.StatusPreconditionFailed, map[string]any{"Rows": conflict, "Ver": version, "NowMs": s.nowMs()})
		return
	}
	respondJSON(w, http.StatusOK, map[string]any{"Ver": version, "NowMs": s.nowMs()})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []row{}
	for key, present := range s.rows {
		if key.table != query.Get("Table") || key.part != query.Get("part") || key.key < query.Get("From") {
			continue
		}
		if end := query.Get("Target"); end != "" && key.key >= end {
			continue
		}
		found = append(found, present)
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	respondJSON(w, http.StatusOK, map[string]any{"Rows": found[:min(limit, len(found))], "HasMore": more, "Ver": version, "NowMs": s.nowMs()})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	parts := []string{}
	s.mu.Lock()
	for key := range s.rows {
		if key.table == query.Get("Table") && key.part > query.Get("after") && !slices.Contains(parts, key.part) {
			parts = append(parts, key.part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	respondJSON(w, http.StatusOK, map[string]any{"parts": parts})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		changes := []row{}
		for _, change := range s.history {
			if change.Table == query.Get("Table") && change.Version > after {
				changes = append(changes, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(changes) > 0 || over {
			respondJSON(w, http.StatusOK, map[string]any{"Rows": changes, "Ver": version, "NowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveBlob(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/blob-"), "/")
	switch call {
	case "put":
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.blobs[name] = data
	case "get":
		data, ok := s.blobs[name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	case "drop":
		delete(s.blobs, name)
	default:
		respondJSON(w, http.StatusOK, map[string]any{"names": []string{}, "HasMore": false})
	}
}
