package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
)

var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds")
	soakSteps = flag.Int("soak.steps", 30, "steps of each run; a step takes a quarter of a second on average")
	soakSize  = flag.Int("soak.entries", 4, "entry processes")
)

// failedSeeds are seeds that failed once, each with the cause in a comment; every run repeats them.
var failedSeeds = []uint64{}

// completionTimeout is the time limit for jobs to end after the last fault; leases that are not renewed expire after 9 s.
const completionTimeout = 90 * time.Second

func TestInvariantsHoldForRealProcessesUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "snipelift-entry")
	if out, err := exec.Command("go", "build", "-tags", "nomsgpack", "-o", program, "../cmd/snipelift-entry").CombinedOutput(); err != nil { //nolint:noctx // The timeout of the test bounds the build.
		t.Fatalf("build: %v: %s", err, out)
	}
	seeds := append([]uint64{}, failedSeeds...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("rerun: go test ./soak -soak.first=%d -soak.steps=%d -soak.entries=%d (timing is not fixed by the seed)", seed, *soakSteps, *soakSize)
			s := &soak{cluster: newCluster(t, program, *soakSize), random: rand.New(rand.NewPCG(seed, 11)), submitted: map[string]outcome{}} //nolint:gosec // The seed makes the random numbers repeatable.
			s.awaitFirstJob()
			for range *soakSteps {
				s.step()
			}
			s.clearFaults()
			s.verify()
		})
	}
}

// outcome is what a client knows about the job that it submitted.
type outcome int

const (
	refused outcome = iota
	unknown
	accepted
)

type soak struct {
	*cluster

	random    *rand.Rand
	submitted map[string]outcome
	next      int
}

func (s *soak) chance(n int) bool { return s.random.IntN(n) == 0 }

func (s *soak) randomEntry() *entry { return s.entries[s.random.IntN(len(s.entries))] }

// awaitFirstJob waits until a first job has succeeded.
func (s *soak) awaitFirstJob() {
	s.t.Helper()
	s.submit()
	for id, o := range s.submitted {
		for until := time.Now().Add(completionTimeout); o != accepted && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			o = s.post(id, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		}
		s.submitted[id] = o
		s.mustSucceed(id)
	}
}

func (s *soak) step() {
	time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	if !s.chance(3) {
		s.submit()
	}
	if s.chance(2) {
		s.fault()
	}
}

// submit submits a new job with random settings.
func (s *soak) submit() {
	s.next++
	id := fmt.Sprintf("%016x", s.next)
	job := faker.TaskJob{Duration: time.Duration(200+s.random.IntN(3000)) * time.Millisecond, Accelerators: []int{1, 2, 4, 8}[s.random.IntN(4)]}
	count := 1 + s.random.IntN(4)
	if s.chance(2) {
		job.Gang = count
	}
	s.submitted[id] = s.post(id, job, count)
}

// post sends the job to up to three random entries in turn, as a client with retries does.
func (s *soak) post(id string, job faker.TaskJob, count int) outcome {
	s.fleet.SetJob(id, job)
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"memMb":1000,"gpu":%d,"estimateMs":%d,"gang":%t}]}`,
		count, job.Accelerators, job.Duration.Milliseconds(), job.Gang > 0)
	known := refused
	const tries = 3
	for range tries {
		switch status, _ := s.randomEntry().call(http.MethodPost, "/l/"+id, body); status {
		case http.StatusOK:
			return accepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			known = unknown
		}
	}
	return known
}

// fault begins or ends one random fault; a fault that lasts can overlap with later ones.
func (s *soak) fault() {
	e := s.randomEntry()
	proxy := s.workerProxies[s.random.IntN(len(s.workerProxies))]
	if s.chance(2) {
		proxy = e.storeProxy
	}
	switch s.random.IntN(13) {
	case 0:
		proxy.reset()
	case 1:
		proxy.silence()
	case 2:
		proxy.setFaults(time.Duration(s.random.IntN(400))*time.Millisecond, false, false, false)
	case 3:
		proxy.setFaults(0, true, false, false)
		proxy.reset()
	case 4:
		proxy.setFaults(0, false, s.chance(2), true)
	case 5, 6:
		proxy.clearFaults()
	case 7:
		e.kill()
	case 8:
		e.signal(syscall.SIGTERM)
	case 9:
		e.signal(syscall.SIGSTOP)
	case 10:
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGHUP)
	case 11:
		s.store.SetFaults(faker.RowFaults{Silent: s.chance(4), Busy: s.chance(4), LoseReplies: s.random.IntN(4), Delay: time.Duration(s.random.IntN(200)) * time.Millisecond})
	default:
		s.store.SetFaults(faker.RowFaults{})
		s.store.Compact()
	}
	if s.chance(3) {
		for _, other := range s.entries {
			other.start()
		}
	}
}

// clearFaults ends all faults and starts all processes that have exited.
func (s *soak) clearFaults() {
	s.store.SetFaults(faker.RowFaults{})
	for _, proxy := range s.workerProxies {
		proxy.clearFaults()
	}
	for _, e := range s.entries {
		e.storeProxy.clearFaults()
		e.signal(syscall.SIGCONT)
	}
	// Processes that got SIGTERM exit within their grace period of 2 s.
	time.Sleep(3 * time.Second)
	for _, e := range s.entries {
		e.start()
	}
}

// mustSucceed waits until an entry reports that the job has succeeded.
func (s *soak) mustSucceed(id string) {
	s.t.Helper()
	var body string
	for until := time.Now().Add(completionTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, body = s.randomEntry().call(http.MethodGet, "/l/"+id, ""); strings.Contains(body, "succeeded") {
			return
		}
	}
	s.t.Errorf("job %s shows %q %s after the last fault", id, body, completionTimeout)
}

// verify checks that accepted jobs succeed, that refused jobs were not started, and that no worker saw a violation.
func (s *soak) verify() {
	s.t.Helper()
	counts := map[outcome]int{}
	for id, o := range s.submitted {
		counts[o]++
		switch {
		case o == accepted:
			s.mustSucceed(id)
		case o == refused && s.fleet.Starts(id) > 0:
			s.t.Errorf("job %s was started although all entries refused it", id)
		}
	}
	if violations := s.fleet.Violations(); len(violations) > 0 {
		s.t.Errorf("violated invariants: %v", violations)
	}
	s.t.Logf("accepted %d, unknown %d, refused %d", counts[accepted], counts[unknown], counts[refused])
}
