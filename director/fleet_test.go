package director_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/acceptor"
	"github.com/snipelift/snipelift/director"
	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
)

const (
	storeAddress  = "store:1"
	adviceAddress = "advice:1"
)

// service is a complete service in one process: a fake platform and a number of entry VMs.
type service struct {
	// grace is the grace period of entry VMs that start from now on.
	grace   time.Duration
	t       *testing.T
	board   *faker.HTTPNetwork
	store   *faker.RowStore
	fleet   *faker.TaskFleet
	workers []*faker.TaskWorker
	entries []*entry
}

// entry is the process of an entry VM.
type entry struct {
	name   string
	accept *acceptor.Acceptor
	// director is that of the process.
	director *director.Director
	link     *storeLink
	stop     context.CancelFunc
	done     chan struct{}
	// started is when the process started.
	started time.Time
}

// runService runs a test against a service in virtual time.
func runService(t *testing.T, entries, workers int, test func(s *service)) {
	t.Helper()
	runWithAdvisor(t, entries, workers, nil, test)
}

// runWithAdvisor is runService with an advice service for the only queue; a nil advisor means none.
func runWithAdvisor(t *testing.T, entries, workers int, advisor *faker.Advisor, test func(s *service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &service{t: t, board: faker.NewHTTPNetwork(), store: faker.NewRowStore(), fleet: faker.NewTaskFleet()}
		s.board.Handle(storeAddress, s.store)
		queue := map[string]any{"name": "lookups", "host": "a.example", "prefix": "/l/", "service": "tabulator", "priority": 0, "maxAttempts": 3, "stretch": 1.5, "sloMs": 250}
		if advisor != nil {
			s.fleet.Advisor = advisor
			s.board.Handle(adviceAddress, advisor)
			queue["advice"] = map[string]any{"decisionMs": 0, "eachMs": advisor.DelayPerWorker.Milliseconds(), "validityMs": advisor.Validity.Milliseconds()}
		}
		s.store.Put("op", "config", map[string]any{
			"version":  1,
			"routes":   []any{queue},
			"services": []any{map[string]any{"name": "tabulator", "admissionCheck": true}},
			"limits":   map[string]any{"maxBodyBytes": 128 << 10},
			"tenants":  []any{map[string]any{"name": "unions", "apiKeys": []string{"key"}, "guaranteed": map[string]int{"gpu": 16}}, map[string]any{"name": "others", "apiKeys": []string{"other"}}},
		})
		for i := range workers {
			id := fmt.Sprintf("w%d", i)
			w := s.fleet.Add(id, 8)
			w.SetZone(zoneNames[i%len(zoneNames)])
			s.workers = append(s.workers, w)
			s.board.Handle(id+":1", w)
			s.list(i)
		}
		for i := range entries {
			s.startEntry(fmt.Sprintf("entry-%d", i))
		}
		defer s.stopAll()
		time.Sleep(5 * time.Second)
		test(s)
		if broken := s.fleet.Violations(); len(broken) > 0 {
			t.Errorf("violated guarantees: %v", broken)
		}
	})
}

// list adds a worker to the platform's list.
func (s *service) list(i int) {
	w := s.workers[i]
	s.store.Put("servers", w.ID, w.Describe("tabulator", w.ID+":1", fmt.Sprintf("r1-%d", i/4)))
}

func (s *service) startEntry(name string) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	client := s.board.Client(name)
	link := &storeLink{next: client.Transport}
	store := &platform.Store{Client: &http.Client{Transport: link}, Address: storeAddress, Timeout: 1200 * time.Millisecond}
	log := slog.New(slog.DiscardHandler)
	config := &follower.Follower{Store: store, Logger: log}
	began := time.Now()
	e := &entry{name: name, accept: acceptor.New(store, config, log), link: link, stop: cancel, done: make(chan struct{}), started: began}
	d := &director.Director{
		Node: name, Incarnation: fmt.Sprintf("%s-%d", name, time.Now().UnixNano()), Store: store,
		Workers: &platform.Workers{Client: client, Timeout: 900 * time.Millisecond},
		Advisor: &platform.Advisor{Client: client, Address: adviceAddress, Timeout: 5 * time.Second},
		Config:  config, Logger: log, Clock: func() time.Duration { return time.Since(began) + time.Hour },
		Bounds: platform.Bounds{MaxLease: 10 * time.Second, StopTime: 400 * time.Millisecond, StatusRetention: time.Minute, RemoteFactor: 3, EvacuationDeadline: evacuationDeadline, ConfigStretch: evacuationStretch, GracePeriod: s.grace},
	}
	e.director = d
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		config.Run(ctx)
	}()
	go func() {
		defer close(e.done)
		d.Run(ctx)
		<-followed
	}()
	s.entries = append(s.entries, e)
	return e
}

func (s *service) stopAll() {
	for _, e := range s.entries {
		e.stop()
	}
	for _, e := range s.entries {
		<-e.done
	}
	time.Sleep(5 * time.Second)
}

// owner returns the entry VM that holds the lease.
func (s *service) owner() *entry {
	s.t.Helper()
	lease := string(s.store.Rows("lease", "owner")["lease"])
	for _, e := range s.entries {
		if strings.Contains(lease, `"`+e.name+`"`) {
			return e
		}
	}
	s.t.Fatalf("nobody holds the lease: %s", lease)
	return nil
}

// call sends a client request to an entry VM and returns the status and body of the response.
func (s *service) call(e *entry, key, method, path, body string) (int, string) {
	r := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("X-Timeout-Ms", "3000")
	w := httptest.NewRecorder()
	e.accept.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// submit submits a job and fails the test unless it is accepted.
func (s *service) submit(e *entry, id string, job faker.TaskJob, count int) {
	s.t.Helper()
	s.fleet.SetJob(id, job)
	if status, body := s.call(e, "key", http.MethodPost, "/l/"+id, jobBody(job, count)); status != http.StatusOK {
		s.t.Fatalf("submit %s: %d %s", id, status, body)
	}
}

func jobBody(job faker.TaskJob, count int) string {
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"memMb":1000,"gpu":%d,"estimateMs":%d,"gang":%t}]}`,
		count, job.Accelerators, job.Duration.Milliseconds(), job.Gang > 0)
}

func (s *service) state(e *entry, id string) string {
	_, body := s.call(e, "key", http.MethodGet, "/l/"+id, "")
	return body
}

// await waits until an entry VM returns the given state of a job.
func (s *service) await(e *entry, id, state string, timeout time.Duration) {
	s.t.Helper()
	var body string
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if body = s.state(e, id); strings.Contains(body, state) {
			return
		}
	}
	s.t.Fatalf("job %s shows %s, want %s after %s", id, body, state, timeout)
}

// other returns an entry VM other than the given ones.
func (s *service) other(than ...*entry) *entry {
	for _, e := range s.entries {
		if !slices.Contains(than, e) {
			return e
		}
	}
	s.t.Fatal("there is no other entry VM")
	return nil
}
