package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/snipelift/snipelift/faker"
)

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, started: time.Now()}, err
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, details...))
}

// store is the project's stand-in of the platform's store, behind a filter that can lose the answers of writes.
type store struct {
	rows    *faker.RowStore
	address string
	// lose decides for each write whether its answer is lost; the write is then done later, after the returned time, if its condition
	// still holds. It may be nil.
	mu   sync.Mutex
	lose func(body string) (time.Duration, bool)
}

func newStore() (*store, error) {
	s := &store{rows: faker.NewRowStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

func (s *store) put(table, key string, value any) { s.rows.Put(table, key, value) }

// setLose replaces the fault of the store.
func (s *store) setLose(lose func(body string) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose == nil || r.URL.Path != "/rows-tx" {
		s.rows.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if later, lost := lose(string(body)); lost {
		time.AfterFunc(later, func() {
			copied := r.Clone(context())
			copied.Body = io.NopCloser(bytes.NewReader(body))
			s.rows.ServeHTTP(unread{}, copied)
		})
		<-r.Context().Done()
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.rows.ServeHTTP(w, r)
}

// unread is the writer of an answer that nobody gets.
type unread struct{}

// Header implements http.ResponseWriter.
func (unread) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (unread) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (unread) WriteHeader(int) {}

// world is a small deployment: entries, store, workers and clients.
type world struct {
	record  *record
	store   *store
	fleet   *fleet
	entries []*entry
	folder  string
	trouble bool
	client  *http.Client
	// mu is held while entries are added or ended.
	mu sync.Mutex
}

// entry is an entry VM with its process.
type entry struct {
	name, address, ready, settings string
	process                        *exec.Cmd
	exited                         chan struct{}
	log                            *os.File
}

// oneKind is the kind of all workers of a fleet of one kind.
func oneKind(int) string { return "a" }

const (
	program = "target/snipelift-entry"
	// maxTime is the time that a script may take, less a margin.
	maxTime = 117 * time.Second
)

// newWorld starts the store, the workers and the entries.
func newWorld(folder string, trouble bool, workers, entries int, kindOf func(i int) string) (*world, error) {
	rec, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, store: s, fleet: newFleet(rec, s), folder: temporary, trouble: trouble,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	w.endOnSignal()
	w.configure()
	for i := range workers {
		if _, err := w.fleet.add(fmt.Sprintf("w%d", i), fmt.Sprintf("r1-%d", i/8), kindOf(i)); err != nil {
			return nil, err
		}
	}
	if err := w.startEntries(entries); err != nil {
		return w, err
	}
	rec.line("trouble: %t; %d workers, %d entries", w.trouble, workers, entries)
	return w, w.awaitReady()
}

// startEntries starts the processes of the entries.
func (w *world) startEntries(count int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range count {
		e, err := w.newEntry(i)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the first configuration.
func (w *world) configure() {
	queue := func(name string, priority, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "a.example", "prefix": "/" + name + "/", "service": "tabulator", "priority": priority, "maxAttempts": attempts, "stretch": 3, "sloMs": 1000, "timeoutMs": 3000}
	}
	w.store.put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{queue("lookup", 0, 3), queue("run", 1, 4), queue("batch", 2, 2)},
		"services": []any{map[string]any{"name": "tabulator", "admissionCheck": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []any{map[string]any{"name": "unions", "apiKeys": []string{"key"}, "guaranteed": map[string]int{"gpu": 8}}},
	})
}

func (w *world) newEntry(i int) (*entry, error) {
	// Each entry of each run has its own loopback address, so that parallel runs do not collide.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%250, 10+i)
	const ports = 4
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	port := l.Addr().(*net.TCPAddr).Port
	_ = l.Close()
	port = min(port, 65535-ports)
	e := &entry{name: fmt.Sprintf("front-%d", i), address: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1)}
	settings := map[string]any{
		"node": e.name, "role": "entry", "machineClass": "front", "zone": "zone-a", "region": "region", "ip": ip, "portRange": []int{port + 2, port + 3},
		"heartbeatMs": 1500, "bootstrap": true, "orders": "invoke", "discovery": "platform", "entry": "vip",
		"listen":   map[string]any{"front": e.address, "ready": e.ready},
		"platform": map[string]any{"addr": w.store.address, "form": "table", "writesPerS": 800, "readsPerS": 2000, "rowBytes": 65536},
		"limits":   map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100},
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "maxStretchMs": 5000, "maxHoldMs": 10000, "stopMs": 400,
			"gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 3,
			"checkpointS": 1, "restoreMs": 600, "leaseMs": 3000, "reclaimMs": 2900,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	e.settings = filepath.Join(w.folder, e.name+".json")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	logs := w.folder
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		logs = kept
	}
	e.log, err = os.Create(filepath.Join(logs, e.name+".log"))
	return e, err
}

func (e *entry) start() error {
	command := exec.Command(program)
	command.Env = append(os.Environ(), "SNIPELIFT_BOOT="+e.settings)
	command.Stdout, command.Stderr = e.log, e.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.process, e.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process with SIGKILL.
func (e *entry) kill() {
	if e.process == nil {
		return
	}
	_ = e.process.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// awaitReady waits until all entries are ready and an owner has the lease.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		ready := 0
		for _, e := range w.entries {
			if response, err := w.client.Get("http://" + e.ready + "/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.entries) && w.owner() != "" {
			time.Sleep(3 * time.Second)
			w.record.line("all entries are ready, owner is %s", w.owner())
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("entries not ready")
}

// owner returns the name of the entry that holds the lease, as it is in the store.
func (w *world) owner() string {
	var lease struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(w.store.rows.Rows("lease", "owner")["lease"], &lease)
	return lease.Node
}

// endOnSignal ends all processes when this one is to end early, or has run for maxTime.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			w.record.line("ended early: %s", s)
		case <-time.After(maxTime):
			w.record.line("ended early: %s have passed", maxTime)
		}
		w.close()
		os.Exit(notRun)
	}()
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		e.kill()
	}
	if os.Getenv("REVIEW_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// answer is that of one call of a client; status 0 means none.
type answer struct {
	status int
	body   string
}

func (a answer) String() string { return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body)) }

// call sends a client's call to an entry.
func (w *world) call(e *entry, method, path, body string) answer {
	r, err := http.NewRequest(method, "http://"+e.address+path, strings.NewReader(body))
	if err != nil {
		return answer{0, err.Error()}
	}
	r.Host = "a.example"
	r.Header.Set("Authorization", "Token key")
	r.Header.Set("X-Timeout-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: w.client.Transport, Timeout: 3 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return answer{0, err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{0, err.Error()}
	}
	return answer{response.StatusCode, string(data)}
}

// state returns the state of a job as a client is told, or the answer if there is none.
func (w *world) state(e *entry, queue, id string) string {
	a := w.call(e, http.MethodGet, "/"+queue+"/"+id, "")
	var s struct {
		State string `json:"state"`
	}
	if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &s) == nil {
		return s.State
	}
	return a.String()
}

// jobBody returns the body of a job whose tasks do what n says, in so many steps of count tasks each; more are further fields of the job.
func jobBody(n need, steps, count int, more string) string {
	spec, _ := json.Marshal(n)
	text, _ := json.Marshal(string(spec))
	fields := ""
	if n.Lasting {
		fields += `,"persistent":true`
	}
	if n.Requires != "" {
		fields += fmt.Sprintf(`,"requires":%q`, n.Requires)
	}
	if n.Gang > 0 {
		fields += `,"gang":true`
	}
	if n.PerServer > 0 {
		fields += fmt.Sprintf(`,"maxPerServer":%d`, n.PerServer)
	}
	step := fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":%d,"gpu":%d,"estimateMs":%d%s}`, count, n.CPU, n.MemMB, n.GPU, n.Millis, fields)
	return fmt.Sprintf(`{"spec":%s,"steps":[%s]%s}`, text, strings.Join(slices.Repeat([]string{step}, steps), ","), more)
}
