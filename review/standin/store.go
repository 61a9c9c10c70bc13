package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in for the platform's metadata store: rows in tables, transactions under conditions,
// ranges and the change feed, as PROTOCOL.md describes them.
type store struct {
	address string
	started time.Time
	server  *http.Server

	// down makes the store accept calls and give no response, as an outage without a reset.
	down atomic.Bool

	mu      sync.Mutex
	version uint64
	rows    map[rowName]row
	history []row
	changed chan struct{}
}

type rowName struct{ table, part, key string }

type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type transaction struct {
	ExpectedRev []row `json:"ExpectedRev"`
	Puts        []row `json:"Puts"`
	Remove      []row `json:"Remove"`
}

const storeTxTime = 4 * time.Millisecond

func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.whileUp(s.transact))
	mux.HandleFunc("GET /v1/rows-get", s.whileUp(s.get))
	mux.HandleFunc("GET /v1/rows-feed", s.whileUp(s.feed))
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s, nil
}

func (s *store) whileUp(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() + 1 }

func (s *store) commit(t transaction) (version uint64, conflict []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range t.ExpectedRev {
		present, has := s.rows[rowName{e.Table, e.Part, e.Key}]
		if has {
			conflict = append(conflict, present)
		}
		ok = ok && present.Ver == e.Ver
	}
	if !ok {
		return s.version, conflict, false
	}
	s.version++
	for _, p := range t.Puts {
		p.Ver = s.version
		s.rows[rowName{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, r := range t.Remove {
		name := rowName{r.Table, r.Part, r.Key}
		if _, has := s.rows[name]; has {
			delete(s.rows, name)
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

// put writes a row as the operator.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.commit(transaction{Puts: []row{{Table: table, Key: key, Value: data}}})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range append(slices.Clone(t.Puts), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	time.Sleep(storeTxTime)
	version, conflict, ok := s.commit(t)
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"Rows": conflict})
		return
	}
	reply(w, http.StatusOK, map[string]any{"Ver": version, "NowMs": s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for name, present := range s.rows {
		if name.table == q.Get("Table") && name.part == q.Get("part") && name.key >= q.Get("From") && (q.Get("Target") == "" || name.key < q.Get("Target")) {
			rows = append(rows, present)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"Rows": rows, "HasMore": more, "Ver": s.version, "NowMs": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, change := range s.history {
			if change.Table == q.Get("Table") && change.Ver > after {
				rows = append(rows, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version, "NowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
