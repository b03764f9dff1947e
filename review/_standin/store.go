package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageRows and maxPageBytes limit a page of rows.
	maxPageRows, maxPageBytes = 500, 1 << 20
	// maxEntries and maxCallBytes limit a transaction.
	maxEntries, maxCallBytes = 100, 1 << 20
	// maxRowBytes limits a value (rowBytes).
	maxRowBytes = 65536
	// txnTime is the time that a transaction takes (txnMs).
	txnTime = 5 * time.Millisecond
)

// store is a stand-in of the platform's store, without its objects.
type store struct {
	began time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	// silent leaves all requests unanswered, and not executed.
	silent bool
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	Ver     int64 `json:"ver"`
	HasMore bool  `json:"hasMore"`
	NowMs   int64 `json:"nowMs"`
}

func newStore() *store {
	return &store{began: time.Now().Add(-time.Minute), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// put writes a row, as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.version})
	s.notify()
}

// remove removes a row, as the platform does with the entry of a worker that has left.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.notify()
}

// values returns the values of the rows in a part of a table.
func (s *store) values(table, part string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values [][]byte
	for k, r := range s.rows {
		if k.table == table && k.part == part {
			values = append(values, r.Value)
		}
	}
	return values
}

func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Ver: s.version, NowMs: time.Since(s.began).Milliseconds()}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	if err != nil {
		return
	}
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		time.Sleep(txnTime)
		status, answer := s.transact(body)
		respond(rw, status, answer)
	case "/rows-get":
		respond(rw, http.StatusOK, s.get(r))
	case "/rows-feed":
		if answer, ok := s.feed(r); ok {
			respond(rw, http.StatusOK, answer)
		}
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func respond(rw http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (s *store) transact(body []byte) (int, rowsAnswer) {
	var t struct {
		ExpectRev []row `json:"expectRev"`
		Upserts   []row `json:"upserts"`
		Remove    []row `json:"remove"`
	}
	if len(body) > maxCallBytes || json.Unmarshal(body, &t) != nil || len(t.ExpectRev)+len(t.Upserts)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, rowsAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for _, r := range slices.Concat(t.Upserts, t.Remove) {
		parts[r.Part] = true
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, rowsAnswer{}
		}
		if len(r.Value) > maxRowBytes {
			return http.StatusBadRequest, rowsAnswer{}
		}
	}
	answer, holds := s.answer(), true
	for _, e := range t.ExpectRev {
		parts[e.Part] = true
		current, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		holds = holds && current.Ver == e.Ver
		if ok {
			answer.Rows = append(answer.Rows, current)
		}
	}
	if len(parts) > 1 {
		return http.StatusBadRequest, rowsAnswer{}
	}
	if !holds {
		return http.StatusPreconditionFailed, answer
	}
	s.version++
	for _, r := range t.Upserts {
		r.Ver = s.version
		s.apply(r)
	}
	for _, r := range t.Remove {
		r.Ver, r.Deleted = s.version, true
		s.apply(r)
	}
	s.notify()
	return http.StatusOK, s.answer()
}

func (s *store) get(r *http.Request) rowsAnswer {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answer()
	for k, r := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			answer.Rows = append(answer.Rows, r)
		}
	}
	slices.SortFunc(answer.Rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	size := 0
	for i, r := range answer.Rows {
		size += base64.StdEncoding.EncodedLen(len(r.Value))
		if i == limit || i > 0 && size > maxPageBytes {
			answer.Rows, answer.HasMore = answer.Rows[:i], true
			break
		}
	}
	return answer
}

func (s *store) feed(r *http.Request) (rowsAnswer, bool) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		answer, changed := s.answer(), s.changed
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v int64) int { return int(r.Ver - v) })
		for _, change := range s.history[first:] {
			if change.Table == q.Get("table") {
				answer.Rows = append(answer.Rows, change)
			}
		}
		s.mu.Unlock()
		if len(answer.Rows) > 0 || last {
			return answer, true
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return answer, false
		}
	}
}
