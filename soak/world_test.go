package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

const (
	workers      = 8
	accelerators = 8
	// portsPerEntry are the ready and front address and the range for metrics and the link to peers.
	portsPerEntry = 4
)

// world is a whole service: entries as processes, stand-ins of the platform in this one, wires between them.
type world struct {
	t       *testing.T
	program string
	store   *faker.RowStore
	fleet   *faker.TaskFleet
	// toWorkers are the wires to the workers, which all entries share.
	toWorkers []*wire
	entries   []*entry
}

// entry is a VM with its process, which is started again after it has ended.
type entry struct {
	world    *world
	name     string
	front    string
	settings string
	log      *os.File
	toStore  *wire
	process  *exec.Cmd
	exited   chan struct{}
	client   *http.Client
}

func newWorld(t *testing.T, program string, entries int) *world {
	t.Helper()
	w := &world{t: t, program: program, store: faker.NewRowStore(), fleet: faker.NewTaskFleet()}
	w.store.Put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "lookups", "host": "a.example", "prefix": "/l/", "service": "tabulator", "maxAttempts": 5, "stretch": 1.5, "sloMs": 250}},
		"services": []any{map[string]any{"name": "tabulator", "admissionCheck": true}},
		"tenants":  []any{map[string]any{"name": "unions", "apiKeys": []string{"key"}, "guaranteed": map[string]int{"gpu": 16}}},
	})
	for i := range workers {
		worker := w.fleet.Add(fmt.Sprintf("w%d", i), accelerators)
		path := newWire(t, serve(t, worker))
		w.toWorkers = append(w.toWorkers, path)
		w.store.Put("servers", worker.ID, worker.Describe("tabulator", path.address(), fmt.Sprintf("r1-%d", i/4)))
	}
	storeAddress := serve(t, w.store)
	for i := range entries {
		e := w.newEntry(i, storeAddress)
		w.entries = append(w.entries, e)
		e.start()
	}
	t.Cleanup(func() {
		for _, e := range w.entries {
			e.kill()
			_ = e.log.Close()
			e.client.CloseIdleConnections()
		}
	})
	return w
}

// serve offers a stand-in on loopback and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener lives as long as the test.
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// freePorts returns consecutive free ports of an address of loopback that is this entry's own.
func (w *world) freePorts(ip string) int {
	w.t.Helper()
	l, err := net.Listen("tcp", ip+":0") //nolint:noctx // Closed at once.
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	address, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		w.t.Fatalf("address %v has no port", l.Addr())
	}
	const highest = 65535
	return min(address.Port+1, highest-portsPerEntry)
}

func (w *world) newEntry(i int, storeAddress string) *entry {
	w.t.Helper()
	// Each process has an address of its own, so that ports of several runs do not meet.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%250, 10+i)
	port := w.freePorts(ip)
	e := &entry{world: w, name: fmt.Sprintf("entry-%d", i), front: fmt.Sprintf("%s:%d", ip, port), toStore: newWire(w.t, storeAddress), client: &http.Client{Transport: &http.Transport{}}}
	settings := map[string]any{
		"node": e.name, "zone": "zone-a", "ip": ip, "portRange": []int{port + 2, port + 3}, "heartbeatMs": 1500,
		"listen":   map[string]any{"front": e.front, "ready": fmt.Sprintf("%s:%d", ip, port+1)},
		"platform": map[string]any{"addr": e.toStore.address()},
		"limits":   map[string]any{"cpuShare": 1, "cores": 1},
		"bounds":   map[string]any{"maxHoldMs": 10000, "stopMs": 400, "gangWaitMs": 3000, "graceS": 2, "status_s": 600, "remoteFactor": 3, "restoreMs": 100, "reclaimMs": 3000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		w.t.Fatal(err)
	}
	folder := w.t.TempDir()
	e.settings = filepath.Join(folder, "settings.json")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		w.t.Fatal(err)
	}
	if keep := os.Getenv("SOAK_LOGS"); keep != "" {
		folder = keep
	}
	if e.log, err = os.Create(filepath.Join(folder, strings.ReplaceAll(w.t.Name(), "/", "-")+"-"+e.name+".log")); err != nil {
		w.t.Fatal(err)
	}
	return e
}

// start starts the process of the VM, if none runs.
func (e *entry) start() {
	if e.process != nil {
		select {
		case <-e.exited:
		default:
			return
		}
	}
	p := exec.Command(e.world.program) //nolint:noctx // Ended by signals.
	p.Env = append(os.Environ(), "SNIPELIFT_BOOT="+e.settings)
	p.Stdout, p.Stderr = e.log, e.log
	if err := p.Start(); err != nil {
		e.world.t.Fatal(err)
	}
	exited := make(chan struct{})
	e.process, e.exited = p, exited
	go func() {
		// The exit status of a process that was killed tells nothing.
		_ = p.Wait()
		close(exited)
	}()
}

func (e *entry) signal(s syscall.Signal) {
	select {
	case <-e.exited:
	default:
		_ = e.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// call sends a client's request over a connection that is kept open, and returns the status or 0.
func (e *entry) call(method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+e.front+path, strings.NewReader(body)) //nolint:noctx // Bounded by the client's time.
	if err != nil {
		e.world.t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Authorization", "Token key")
	r.Header.Set("X-Timeout-Ms", "3000")
	e.client.Timeout = 3 * time.Second
	response, err := e.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}
