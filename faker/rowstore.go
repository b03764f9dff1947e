package faker

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RowStore is a fake of the platform's table service: rows with versions from one counter, transactions within one partition, and a change feed.
//
// It has no object storage, since no caller of it uses that.
type RowStore struct {
	mu      sync.Mutex
	version int64
	rows    map[rowKey]storedRow
	// history is the change feed after compactedVersion.
	history          []storedRow
	compactedVersion int64
	// changed is closed and replaced at each change.
	changed  chan struct{}
	faults   RowFaults
	requests int
	// startedAt is the zero of the store's steady clock.
	startedAt time.Time
}

// RowFaults are the faults that a row store injects; the zero value injects none.
type RowFaults struct {
	// Busy rejects each request with status 503.
	Busy bool
	// Silent leaves each request unanswered until its client gives up.
	Silent bool
	// LoseReplies is the number of next transactions that are executed but not answered.
	LoseReplies int
	// LateTransactions is the number of next transactions that are not answered and are executed only after LateBy, if their conditions still hold.
	// With a LateTable, only those that write a row of this table count.
	LateTransactions int
	LateBy           time.Duration
	LateTable        string
	// Delay delays each request.
	Delay time.Duration
	// RejectRow is the TABLE/KEY of a row; transactions that write it are rejected with status 400.
	RejectRow string
	// MaxValue is the maximum size of the value of a row in bytes if it is smaller than that of the platform; 0 means that it is not.
	MaxValue int
}

const (
	// maxValue is the maximum size of the value of a row, in bytes.
	maxValue = 64 << 10
	// maxEntries is the maximum number of conditions and changes in one transaction.
	maxEntries = 100
	// maxRequestBodyBytes limits the body of a transaction and the encoded values of one page.
	maxRequestBodyBytes = 1 << 20
	// maxPageRows is the maximum number of rows in one page.
	maxPageRows = 500
)

type rowKey struct{ table, partition, key string }

type storedRow struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), startedAt: time.Now()}
}

// SetFaults replaces the current faults.
func (s *RowStore) SetFaults(f RowFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history, so that a feed from an earlier version fails with status 410 and its reader must reload the rows.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedVersion = s.version
	s.notifyFeeds()
}

// Put writes a row without conditions, as the operator or a worker does.
func (s *RowStore) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("faker: row cannot be encoded: " + err.Error())
	}
	s.PutRow(table, "", key, data)
}

// PutRow writes a row of any partition without conditions.
func (s *RowStore) PutRow(table, partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store(storedRow{Table: table, Partition: partition, Key: key, Value: value, Ver: s.version})
	s.notifyFeeds()
}

// Remove deletes a row, as the platform does when a server goes away.
func (s *RowStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store(storedRow{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.notifyFeeds()
}

// Rows returns the values of the rows in a partition of a table, by key.
func (s *RowStore) Rows(table, partition string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string][]byte{}
	for k, row := range s.rows {
		if k.table == table && k.partition == partition {
			values[k.key] = row.Value
		}
	}
	return values
}

func (s *RowStore) store(row storedRow) {
	k := rowKey{row.Table, row.Partition, row.Key}
	if row.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = row
	}
	s.history = append(s.history, row)
}

func (s *RowStore) notifyFeeds() {
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
		awaitDisconnect(r)
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
		s.serveRows(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	case "/rows-parts":
		s.servePartitions(w, r)
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.postpone(t) {
		<-r.Context().Done()
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
	writeJSON(w, status, body)
}

// postpone executes a transaction later if the faults say so.
func (s *RowStore) postpone(t rowTransaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := func(row storedRow) bool { return s.faults.LateTable == "" || row.Table == s.faults.LateTable }
	if s.faults.LateTransactions == 0 || !slices.ContainsFunc(t.Upserts, writes) {
		return false
	}
	s.faults.LateTransactions--
	time.AfterFunc(s.faults.LateBy, func() { s.transact(t) })
	return true
}

type rowResponse struct {
	Rows       []storedRow `json:"rows"`
	Ver        int64       `json:"ver"`
	HasMore    bool        `json:"hasMore"`
	Partitions []string    `json:"parts,omitempty"`
	NowMs      int64       `json:"nowMs"`
}

// newResponse returns a response without rows; the caller holds the lock.
func (s *RowStore) newResponse() rowResponse {
	// A clock that shows 0 would look like none.
	return rowResponse{Ver: s.version, NowMs: 1 + time.Since(s.startedAt).Milliseconds()}
}

func (s *RowStore) transact(t rowTransaction) (int, rowResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	partitions := map[string]bool{}
	conditionsHold := true
	response := s.newResponse()
	for _, e := range t.ExpectRev {
		partitions[e.Partition] = true
		current := s.rows[rowKey{e.Table, e.Partition, e.Key}]
		if current.Ver != e.Ver {
			conditionsHold = false
		}
		if current.Ver != 0 {
			response.Rows = append(response.Rows, current)
		}
	}
	for _, row := range slices.Concat(t.Upserts, t.Remove) {
		partitions[row.Partition] = true
		limit := maxValue
		if s.faults.MaxValue > 0 {
			limit = s.faults.MaxValue
		}
		if len(row.Value) > limit || row.Table+"/"+row.Key == s.faults.RejectRow {
			return http.StatusBadRequest, rowResponse{}
		}
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, rowResponse{}
		}
	}
	if len(partitions) > 1 || len(t.ExpectRev)+len(t.Upserts)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, rowResponse{}
	}
	if !conditionsHold {
		return http.StatusPreconditionFailed, response
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
	s.notifyFeeds()
	return http.StatusOK, s.newResponse()
}

func (s *RowStore) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	response := s.newResponse()
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.partition == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			response.Rows = append(response.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(response.Rows, func(x, y storedRow) int { return strings.Compare(x.Key, y.Key) })
	n := pageLength(response.Rows)
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil {
		n = min(n, limit)
	}
	if n < len(response.Rows) {
		response.Rows, response.HasMore = response.Rows[:n], true
	}
	writeJSON(w, http.StatusOK, response)
}

// pageLength returns the number of leading rows that fit into one page.
func pageLength(rows []storedRow) int {
	size := 0
	for i, row := range rows {
		size += base64.StdEncoding.EncodedLen(len(row.Value))
		if i == maxPageRows || i > 0 && size > maxRequestBodyBytes {
			return i
		}
	}
	return len(rows)
}

func (s *RowStore) servePartitions(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var partitions []string
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.partition > r.URL.Query().Get("after") && !slices.Contains(partitions, k.partition) {
			partitions = append(partitions, k.partition)
		}
	}
	slices.Sort(partitions)
	writeJSON(w, http.StatusOK, rowResponse{Partitions: partitions, Ver: s.version})
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
		response, compacted := s.changesAfter(q.Get("table"), after)
		changed := s.changed
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(response.Rows) > 0 {
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *RowStore) changesAfter(table string, after int64) (rowResponse, bool) {
	if after < s.compactedVersion {
		return rowResponse{}, true
	}
	response := s.newResponse()
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
	for _, row := range s.history[first:] {
		if row.Table == table {
			response.Rows = append(response.Rows, row)
		}
	}
	return response, false
}

// awaitDisconnect waits until the client gives up; the server notices that only once the body has been read.
func awaitDisconnect(r *http.Request) {
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	<-r.Context().Done()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
