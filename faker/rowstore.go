package faker

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RowStore stands in for the operated platform's table service: rows with versions from one counter, transactions over one part, and a feed.
//
// The object calls are not played, since nothing here uses them.
type RowStore struct {
	mu       sync.Mutex
	version  int64
	rows     map[rowKey]storedRow
	history  []storedRow
	kept     int64
	changed  chan struct{}
	faults   RowFaults
	requests int
}

// RowFaults are what the stand-in does wrong; the zero value does everything right.
type RowFaults struct {
	// Busy answers each call with 503.
	Busy bool
	// Silent leaves each call unanswered until its caller gives up.
	Silent bool
	// LoseReplies is the number of writes still to be carried out without a reply.
	LoseReplies int
	// Delay holds each call back.
	Delay time.Duration
	// RejectRow is the TABLE/KEY of a row that no transaction may write.
	RejectRow string
}

const (
	// maxValue is the largest value of a row, in bytes.
	maxValue = 64 << 10
	// maxEntries is the number of entries in one transaction.
	maxEntries = 100
	// maxCallBytes bounds the body of a transaction and the values of one page.
	maxCallBytes = 1 << 20
	// maxPageRows is the number of rows in one page.
	maxPageRows = 500
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: map[rowKey]storedRow{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults in force.
func (s *RowStore) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history, so that feeds must be read anew.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.kept = s.version
	s.wake()
}

// Put writes a row as the operator or a worker does.
func (s *RowStore) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("faker: row cannot be encoded: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store(storedRow{Table: table, Key: key, Value: data, Ver: s.version})
	s.wake()
}

// Remove drops a row as the platform does.
func (s *RowStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store(storedRow{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.wake()
}

// Rows returns the values of a table's part by key.
func (s *RowStore) Rows(table, part string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string][]byte{}
	for k, row := range s.rows {
		if k.table == table && k.part == part {
			values[k.key] = row.Value
		}
	}
	return values
}

func (s *RowStore) store(row storedRow) {
	k := rowKey{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = row
	}
	s.history = append(s.history, row)
}

func (s *RowStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *RowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.requests++
	s.mu.Unlock()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTransaction(w, r)
	case "/rows-get":
		s.serveRange(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	case "/rows-parts":
		s.serveParts(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type rowTransaction struct {
	ExpectRev []storedRow `json:"expectRev"`
	Upserts   []storedRow `json:"upserts"`
	Remove    []storedRow `json:"remove"`
}

func (s *RowStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t rowTransaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, body := s.transact(t)
	s.mu.Lock()
	lost := s.faults.LoseReplies > 0
	if lost {
		s.faults.LoseReplies--
	}
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	answerJSON(w, status, body)
}

type rowAnswer struct {
	Rows    []storedRow `json:"rows"`
	Ver     int64       `json:"ver"`
	HasMore bool        `json:"hasMore"`
	Parts   []string    `json:"parts,omitempty"`
}

func (s *RowStore) transact(t rowTransaction) (int, rowAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	met := true
	answer := rowAnswer{Ver: s.version}
	for _, e := range t.ExpectRev {
		parts[e.Part] = true
		current := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if current.Ver != e.Ver {
			met = false
		}
		if current.Ver != 0 {
			answer.Rows = append(answer.Rows, current)
		}
	}
	for _, row := range slices.Concat(t.Upserts, t.Remove) {
		parts[row.Part] = true
		if len(row.Value) > maxValue || row.Table+"/"+row.Key == s.faults.RejectRow {
			return http.StatusBadRequest, rowAnswer{}
		}
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, rowAnswer{}
		}
	}
	if len(parts) > 1 || len(t.ExpectRev)+len(t.Upserts)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, rowAnswer{}
	}
	if !met {
		return http.StatusPreconditionFailed, answer
	}
	s.version++
	for _, row := range t.Upserts {
		row.Ver = s.version
		s.store(row)
	}
	for _, row := range t.Remove {
		row.Ver, row.Deleted = s.version, true
		s.store(row)
	}
	s.wake()
	return http.StatusOK, rowAnswer{Ver: s.version}
}

func (s *RowStore) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	answer := rowAnswer{Ver: s.version}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(x, y storedRow) int { return strings.Compare(x.Key, y.Key) })
	n := pageLength(answer.Rows)
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil {
		n = min(n, limit)
	}
	if n < len(answer.Rows) {
		answer.Rows, answer.HasMore = answer.Rows[:n], true
	}
	answerJSON(w, http.StatusOK, answer)
}

// pageLength returns the number of rows that go into one page.
func pageLength(rows []storedRow) int {
	size := 0
	for i, row := range rows {
		size += base64.StdEncoding.EncodedLen(len(row.Value))
		if i == maxPageRows || i > 0 && size > maxCallBytes {
			return i
		}
	}
	return len(rows)
}

func (s *RowStore) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	answerJSON(w, http.StatusOK, rowAnswer{Parts: parts, Ver: s.version})
}

func (s *RowStore) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		answer, gone := s.changesAfter(q.Get("table"), after)
		changed := s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(answer.Rows) > 0 {
			answerJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answerJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *RowStore) changesAfter(table string, after int64) (rowAnswer, bool) {
	if after < s.kept {
		return rowAnswer{}, true
	}
	answer := rowAnswer{Ver: s.version}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			answer.Rows = append(answer.Rows, row)
		}
	}
	return answer, false
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone gets no answer.
	_ = json.NewEncoder(w).Encode(body)
}
