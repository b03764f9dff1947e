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
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

const (
	accelerators = 8
	maxAttempts  = 5
	queues       = 3
	remoteFactor = 3
	// largeFleet is the number of workers from which on the load and the faults are those of a large site.
	largeFleet = 50
	// maxProxies is the number of workers with a proxy, the others are connected to directly.
	maxProxies = 24
	// portsPerEntry counts the client port, the readiness port and the range for the metrics and peer ports.
	portsPerEntry = 4
)

// cluster is a service whose entries are processes, with fakes of the platform in this process and proxies in between.
type cluster struct {
	t       *testing.T
	program string
	store   *faker.RowStore
	fleet   *faker.TaskFleet
	workers []*faker.TaskWorker
	// addresses and racks are those of the workers; faulty are the workers that had a fault which lasts.
	addresses, racks []string
	faulty           map[int]bool
	// workerProxies are the proxies to the first workers, which all entries share.
	workerProxies []*proxy
	entries       []*entry
	storeAddress  string
	// version is that of the latest configuration.
	version int
}

// entry is an entry VM with its process, which can be restarted after it has exited.
type entry struct {
	cluster       *cluster
	name          string
	clientAddress string
	settings      string
	log           *os.File
	storeProxy    *proxy
	process       *exec.Cmd
	exited        chan struct{}
	client        *http.Client
}

func newCluster(t *testing.T, program string, entries int) *cluster {
	t.Helper()
	w := &cluster{t: t, program: program, store: faker.NewRowStore(), fleet: faker.NewTaskFleet(), faulty: map[int]bool{}}
	w.fleet.OnReturn = func(worker *faker.TaskWorker) { w.register(slices.Index(w.workers, worker)) }
	w.publish(0)
	workersPerRack := 4
	if *workers >= largeFleet {
		workersPerRack = 12
	}
	for i := range *workers {
		worker := w.fleet.Add(fmt.Sprintf("w%d", i), accelerators)
		worker.SetZone(zoneOf(i / workersPerRack))
		address := serve(t, worker)
		if i < maxProxies {
			proxy := newProxy(t, address)
			w.workerProxies = append(w.workerProxies, proxy)
			address = proxy.address()
		}
		w.workers, w.addresses = append(w.workers, worker), append(w.addresses, address)
		w.racks = append(w.racks, fmt.Sprintf("r1-%d", i/workersPerRack))
		w.register(i)
	}
	w.storeAddress = serve(t, w.store)
	for i := range entries {
		e := w.newEntry(i, w.storeAddress)
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

// publish writes the next version of the configuration, with the given number of queues beside those of the traffic.
func (w *cluster) publish(others int) {
	var routes []any
	for i := range queues + others {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("lookups%d", i), "host": "a.example", "prefix": fmt.Sprintf("/l%d/", i), "service": "tabulator",
			"priority": i % queues, "maxAttempts": maxAttempts, "stretch": 1.5, "sloMs": 250,
		})
	}
	w.version++
	w.store.Put("op", "config", map[string]any{
		"version":  w.version,
		"routes":   routes,
		"services": []any{map[string]any{"name": "tabulator", "admissionCheck": true}},
		"tenants":  []any{map[string]any{"name": "unions", "apiKeys": []string{"key"}, "guaranteed": map[string]int{"gpu": *workers * accelerators / 4}}},
	})
}

// register writes the row of a worker, as its incarnation does after its start.
func (w *cluster) register(i int) {
	w.store.Put("servers", w.workers[i].ID, w.workers[i].Describe("tabulator", w.addresses[i], w.racks[i]))
}

// serve runs the handler on a free loopback port and returns its address.
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

// freePorts returns the first of portsPerEntry consecutive ports that are likely free on the loopback address.
func (w *cluster) freePorts(ip string) int {
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
	const maxPort = 65535
	return min(address.Port+1, maxPort-portsPerEntry)
}

func (w *cluster) newEntry(i int, storeAddress string) *entry {
	w.t.Helper()
	// Each entry of each test run has its own loopback address, so that the ports of parallel runs do not collide.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%250, 10+i)
	port := w.freePorts(ip)
	e := &entry{cluster: w, name: fmt.Sprintf("entry-%d", i), clientAddress: fmt.Sprintf("%s:%d", ip, port), storeProxy: newProxy(w.t, storeAddress), client: &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}}
	settings := map[string]any{
		"node": e.name, "zone": "zone-a", "ip": ip, "portRange": []int{port + 2, port + 3}, "heartbeatMs": 1500,
		"listen":   map[string]any{"front": e.clientAddress, "ready": fmt.Sprintf("%s:%d", ip, port+1)},
		"platform": map[string]any{"addr": e.storeProxy.address()},
		"limits":   map[string]any{"cpuShare": 1, "cores": 1},
		"bounds":   map[string]any{"maxHoldMs": 10000, "stopMs": 400, "gangWaitMs": 3000, "graceS": 2, "status_s": 600, "remoteFactor": remoteFactor, "restoreMs": 100, "reclaimMs": 3000, "configApplyMs": 3000, "maxStretchMs": storeStretch.Milliseconds(), "evacuateMs": evacuationDeadline.Milliseconds()},
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
	if logFolder := os.Getenv("SOAK_LOGS"); logFolder != "" {
		folder = logFolder
	}
	if e.log, err = os.Create(filepath.Join(folder, strings.ReplaceAll(w.t.Name(), "/", "-")+"-"+e.name+".log")); err != nil {
		w.t.Fatal(err)
	}
	return e
}

// start starts the VM's process unless it is running.
func (e *entry) start() {
	if e.process != nil {
		select {
		case <-e.exited:
		default:
			return
		}
	}
	command := exec.Command(e.cluster.program) //nolint:noctx // The test stops the process with signals.
	command.Env = append(os.Environ(), "SNIPELIFT_BOOT="+e.settings)
	command.Stdout, command.Stderr = e.log, e.log
	if err := command.Start(); err != nil {
		e.cluster.t.Fatal(err)
	}
	exited := make(chan struct{})
	e.process, e.exited = command, exited
	go func() {
		// The exit status is ignored, since the test kills processes.
		_ = command.Wait()
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

// kill kills the process and waits until it has exited.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// call sends a client request over a persistent connection and returns the status and the body, or 0 and the error.
func (e *entry) call(method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+e.clientAddress+path, strings.NewReader(body)) //nolint:noctx // The client's timeout bounds the request.
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "a.example"
	r.Header.Set("Authorization", "Token key")
	r.Header.Set("X-Timeout-Ms", "3000")
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

// storeTime returns the time that one direct read of the store takes, without faults of a link.
func (w *cluster) storeTime() time.Duration {
	started := time.Now()
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + w.storeAddress + "/rows-get?table=lease&part=owner") //nolint:noctx // The client's timeout bounds the request.
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	return time.Since(started)
}
