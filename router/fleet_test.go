package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/messenger"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/storer"
)

const fleetDocument = `{"service":"tabulator",
"workers":[{"zone":"a","racks":2,"workersPerRack":4,"accelerators":8}],
"organisations":[{"name":"unions","guarantees":[{"accelerators":32,"within":"rack","count":1}]},{"name":"researchers","guarantees":[]}],
"classes":[
 {"name":"lookup","startWithinSeconds":10,"idempotent":true,"checkpointable":false,"borrows":true,"limits":{"queued":500,"retries":3,"runSeconds":60}},
 {"name":"weighting","idempotent":false,"checkpointable":true,"borrows":true,"limits":{"queued":100,"retries":0,"runSeconds":36000}},
 {"name":"imputation","idempotent":true,"checkpointable":false,"borrows":true,"limits":{"queued":500,"retries":3,"runSeconds":3600}},
 {"name":"preview","idempotent":false,"checkpointable":false,"borrows":false,"limits":{"queued":500,"retries":0,"runSeconds":600}}]}`

// fleet is a service of several entries with a fake platform, network and workers, in one process and in virtual time.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	mu       sync.Mutex
	platform *faker.Platform
	network  *faker.Network
	workers  map[string]*faker.Worker
	vms      []lister.VM
	entries  []*entry
	ids      atomic.Int64
	// onStart is called before an entry sends a start request to a worker.
	onStart func(e *entry)
}

// entry is one router; while isolated it can reach nothing and cannot be reached, as if it were stopped, paused or partitioned.
type entry struct {
	*Router

	name     string
	address  string
	isolated atomic.Bool
	stop     func()
	done     chan struct{}
}

var errIsolated = errors.New("entry is isolated")

// withFleet runs the test in virtual time with the given number of entries; it fails if a goroutine is left running.
func withFleet(t *testing.T, entries int, seed uint64, test func(t *testing.T, f *fleet)) {
	t.Helper()
	var f *fleet
	synctest.Test(t, func(t *testing.T) {
		f = &fleet{
			t:        t,
			random:   rand.New(rand.NewPCG(seed, 5)),
			platform: faker.NewPlatform(),
			network:  faker.NewNetwork(),
			workers:  map[string]*faker.Worker{},
		}
		f.addWorkers()
		defer f.shutDown()
		for range entries {
			f.addEntry()
		}
		f.putDocument(0, fleetDocument)
		time.Sleep(8 * time.Second)
		test(t, f)
	})
}

// shutDown clears all faults and stops all entries and workers.
func (f *fleet) shutDown() {
	f.platform.SetFaults(faker.Faults{})
	f.table().SetFaults(faker.Faults{})
	for _, e := range f.entries {
		e.isolated.Store(false)
		e.stop()
	}
	for _, w := range f.workers {
		w.Close()
	}
}

func (f *fleet) table() *faker.Table { return f.platform.Table("tabulator") }

func (f *fleet) addWorkers() {
	for i := range 8 {
		info := scheduler.Worker{
			ID: fmt.Sprintf("worker-%d", i), Zone: "a", Rack: fmt.Sprintf("rack-%d", i/4),
			Incarnation: "1", Accelerators: 8, Slots: 8, MemoryMB: 64 << 10,
		}
		f.workers[info.ID] = faker.NewWorker(info)
		f.vms = append(f.vms, lister.VM{ID: info.ID, Role: lister.RoleWorker, Address: info.ID, Zone: info.Zone, Rack: info.Rack})
	}
	f.platform.SetVMs(f.vms)
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *fleet) newID() string { return fmt.Sprintf("id-%06d", f.ids.Add(1)) }

func (f *fleet) logger(name string) *slog.Logger {
	if os.Getenv("FLEET_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	options := &slog.HandlerOptions{Level: slog.LevelDebug}
	return slog.New(slog.NewTextHandler(os.Stderr, options)).With("entry", name)
}

func (f *fleet) addEntry() *entry { return f.startEntry(len(f.entries)) }

func vmOf(e *entry) lister.VM {
	return lister.VM{ID: e.name, Role: lister.RoleEntry, Address: e.address, Zone: "a"}
}

// startEntry starts entry number n.
func (f *fleet) startEntry(n int) *entry {
	e := &entry{name: fmt.Sprintf("entry-%d", n), address: fmt.Sprintf("10.0.0.%d:7000", n), done: make(chan struct{})}
	e.Router = New(Options{
		Entry:       e.name,
		Incarnation: f.newID(),
		Address:     e.address,
		Dial:        f.dial(e),
		Table:       f.tableFor(e),
		Objects:     f.platform.Objects(),
		Workers:     f.workersFor(e),
		List:        f.listFor(e),
		Random:      f.float,
		NewID:       f.newID,
		Checked:     true,
		Logger:      f.logger(e.name),
	})
	cleanUp := messenger.Serve(&isolatingListener{Listener: f.network.Listen(e.address), entry: e}, e.Handlers())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
	e.stop = func() {
		cancel()
		<-e.done
		cleanUp()
	}
	f.entries = append(f.entries, e)
	f.vms = append(f.vms, vmOf(e))
	f.platform.SetVMs(f.vms)
	return e
}

func (f *fleet) dial(e *entry) messenger.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if e.isolated.Load() {
			return nil, errIsolated
		}
		c, err := f.network.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &isolatingConn{Conn: c, entry: e}, nil
	}
}

func (f *fleet) tableFor(e *entry) storer.Table {
	t := f.table()
	checkIsolated := func() error {
		if e.isolated.Load() {
			return fmt.Errorf("%w: %w", storer.ErrUnavailable, errIsolated)
		}
		return nil
	}
	return storer.Table{
		Read: func(ctx context.Context, key string) (storer.Row, error) {
			if err := checkIsolated(); err != nil {
				return storer.Row{}, err
			}
			return t.Read(ctx, key)
		},
		Range: func(ctx context.Context, prefix string) ([]storer.Row, error) {
			if err := checkIsolated(); err != nil {
				return nil, err
			}
			return t.Range(ctx, prefix)
		},
		Write: func(ctx context.Context, writeID string, changes []storer.Change) error {
			if err := checkIsolated(); err != nil {
				return err
			}
			return t.Write(ctx, writeID, changes)
		},
	}
}

func (f *fleet) listFor(e *entry) lister.List {
	return func(ctx context.Context) ([]lister.VM, error) {
		if e.isolated.Load() {
			return nil, errIsolated
		}
		return f.platform.List(ctx)
	}
}

// unlessIsolated wraps a worker command so that it fails if the entry is isolated before the command or loses the response after it.
func unlessIsolated[Request, Response any](f *fleet, e *entry, command func(w *faker.Worker, ctx context.Context, r Request) (Response, error)) func(context.Context, string, Request) (Response, error) {
	return func(ctx context.Context, address string, r Request) (Response, error) {
		var none Response
		if e.isolated.Load() {
			return none, fmt.Errorf("%w: %w", dispatcher.ErrUnreachable, errIsolated)
		}
		ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		response, err := command(f.workers[address], ctx, r)
		if e.isolated.Load() {
			return none, fmt.Errorf("%w: %w", dispatcher.ErrOutcomeUnknown, errIsolated)
		}
		return response, err
	}
}

func (f *fleet) workersFor(e *entry) dispatcher.Client {
	return dispatcher.Client{
		Reserve: unlessIsolated(f, e, (*faker.Worker).Reserve),
		Start: func(ctx context.Context, address string, r dispatcher.StartRequest) (dispatcher.Status, error) {
			if f.onStart != nil {
				f.onStart(e)
			}
			return unlessIsolated(f, e, (*faker.Worker).Start)(ctx, address, r)
		},
		Stop:     unlessIsolated(f, e, (*faker.Worker).Stop),
		Throttle: unlessIsolated(f, e, (*faker.Worker).Throttle),
		Sync:     unlessIsolated(f, e, (*faker.Worker).Sync),
	}
}

func (f *fleet) putDocument(base int64, text string) {
	f.t.Helper()
	if _, err := f.entries[0].Document().Put(context.Background(), base, []byte(text), f.newID(), "test"); err != nil {
		f.t.Fatalf("put document: %v", err)
	}
}

// owner returns the entry that owns the service, or nil.
func (f *fleet) owner() *entry {
	for _, e := range f.entries {
		if e.localOwner() != nil && !e.isolated.Load() {
			return e
		}
	}
	return nil
}

func (f *fleet) mustOwner() *entry {
	f.t.Helper()
	for range 100 {
		if e := f.owner(); e != nil {
			return e
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("no entry owns the service")
	return nil
}

// other returns an entry that does not own the service and is not isolated.
func (f *fleet) other() *entry {
	for _, e := range f.entries {
		if e.localOwner() == nil && !e.isolated.Load() {
			return e
		}
	}
	f.t.Fatal("every reachable entry owns the service")
	return nil
}

// work is a job that a test submits.
type work struct {
	key          string
	organisation string
	class        string
	shape        packer.Shape
	run          time.Duration
	fail         bool
}

func (w work) id() string { return recorder.JobID(w.organisation, w.key) }

func (w work) record() recorder.OpenJob {
	payload, _ := json.Marshal(faker.Payload{RunMillis: int(w.run.Milliseconds()), Echo: w.key, Fail: w.fail})
	return recorder.OpenJob{
		Job: scheduler.Job{
			ID: w.id(), Organisation: w.organisation, Class: w.class,
			Shape: w.shape.WithDefaults(), Submitted: time.Now(),
		},
		Payload:     payload,
		Fingerprint: w.key,
	}
}

func lookup(key string) work {
	return work{key: key, organisation: "unions", class: "lookup", shape: packer.Shape{Accelerators: 1}, run: 200 * time.Millisecond}
}

func gang(key string, run time.Duration) work {
	return work{key: key, organisation: "unions", class: "weighting", shape: packer.Shape{Accelerators: 32, Within: packer.WithinRack}, run: run}
}

func preview(key string, run time.Duration) work {
	return work{key: key, organisation: "unions", class: "preview", shape: packer.Shape{Accelerators: 1}, run: run}
}

// submit submits the job through the entry with the given timeout.
func (f *fleet) submit(e *entry, w work, timeout time.Duration) SubmitResult {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s, err := e.Submit(ctx, w.record())
	if err != nil {
		f.t.Fatalf("submit %s: %v", w.key, err)
	}
	return s
}

func (f *fleet) mustAccept(e *entry, w work) {
	f.t.Helper()
	if s := f.submit(e, w, 20*time.Second); !s.Accepted {
		f.t.Fatalf("%s was not accepted: %+v", w.key, s)
	}
}

// mustAnswer waits for the job's answer at the entry.
func (f *fleet) mustAnswer(e *entry, w work, timeout time.Duration) recorder.Answer {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	progress, err := e.Wait(ctx, w.id())
	if err != nil || progress.Answer == nil {
		f.t.Fatalf("%s (%s) has no answer after %s: %+v, %v", w.key, w.id(), timeout, progress.Job, err)
	}
	return *progress.Answer
}

func (f *fleet) mustSucceed(e *entry, w work, timeout time.Duration) {
	f.t.Helper()
	a := f.mustAnswer(e, w, timeout)
	if a.Outcome != scheduler.OutcomeSucceeded {
		f.t.Fatalf("%s ended %s: %s", w.key, a.Outcome, a.Reason.Sentence())
	}
	var result faker.Result
	if err := json.Unmarshal(a.Result, &result); err != nil || result.Echo != w.key {
		f.t.Fatalf("%s got the result %s, want its own key echoed", w.key, a.Result)
	}
}

// urgentLatency submits a lookup and returns the time until its answer.
func (f *fleet) urgentLatency(e *entry, key string) time.Duration {
	f.t.Helper()
	w := lookup(key)
	start := time.Now()
	s := f.submit(e, w, 20*time.Second)
	if s.Answer == nil {
		if !s.Accepted && !s.Unrecorded {
			f.t.Fatalf("%s was refused: %+v", key, s)
		}
		f.mustSucceed(e, w, 30*time.Second)
	}
	return time.Since(start)
}

// starts returns how often the job was started.
//
// It is the larger of the starts on one worker and the total divided by the number of members, rounded up.
func (f *fleet) starts(w work) int {
	highest := 0
	total := 0
	for _, worker := range f.workers {
		n := worker.Starts()[w.id()]
		highest = max(highest, n)
		total += n
	}
	members, _ := w.shape.WithDefaults().Members(8)
	return max(highest, (total+members-1)/members)
}

func (f *fleet) mustRunOnce(w work) {
	f.t.Helper()
	if n := f.starts(w); n > 1 {
		f.t.Fatalf("%s (%s) must not run twice and was started %d times", w.key, w.id(), n)
	}
}

func mustDecode(t *testing.T, text string) documenter.Document {
	t.Helper()
	d, err := documenter.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// isolatingListener closes new connections to an isolated entry, and lets those already open fail on their next read or write.
type isolatingListener struct {
	net.Listener

	entry *entry
}

// Accept implements net.Listener.
func (g *isolatingListener) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !g.entry.isolated.Load() {
			return &isolatingConn{Conn: c, entry: g.entry}, nil
		}
		_ = c.Close()
	}
}

// isolatingConn fails and closes on the first read or write while its entry is isolated.
type isolatingConn struct {
	net.Conn

	entry *entry
}

// Write implements net.Conn.
func (g *isolatingConn) Write(data []byte) (int, error) {
	if g.entry.isolated.Load() {
		_ = g.Close()
		return 0, errIsolated
	}
	return g.Conn.Write(data)
}

// Read implements net.Conn.
func (g *isolatingConn) Read(data []byte) (int, error) {
	n, err := g.Conn.Read(data)
	if g.entry.isolated.Load() {
		_ = g.Close()
		return 0, errIsolated
	}
	return n, err
}
