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
	soakSteps = flag.Int("soak.steps", 30, "steps of each run, of a quarter of a second on average")
	soakSize  = flag.Int("soak.entries", 4, "entry processes")
)

// failedSeeds are those that ever failed, each with its cause.
var failedSeeds = []uint64{}

// endPatience is how long work may take to end once all faults have ended; leases that nobody renews lapse after 9 s.
const endPatience = 90 * time.Second

func TestRealProcessesKeepTheirPromisesUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "snipelift-entry")
	if out, err := exec.Command("go", "build", "-tags", "nomsgpack", "-o", program, "../cmd/snipelift-entry").CombinedOutput(); err != nil { //nolint:noctx // Bounded by the test's time.
		t.Fatalf("build: %v: %s", err, out)
	}
	seeds := append([]uint64{}, failedSeeds...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Logf("again: go test ./soak -soak.first=%d -soak.steps=%d -soak.entries=%d (timing is not fixed by the seed)", seed, *soakSteps, *soakSize)
			s := &soak{world: newWorld(t, program, *soakSize), random: rand.New(rand.NewPCG(seed, 11)), submitted: map[string]outcome{}} //nolint:gosec // A run repeats its numbers.
			s.awaitService()
			for range *soakSteps {
				s.step()
			}
			s.heal()
			s.judge()
		})
	}
}

// outcome is what a caller knows of its job.
type outcome int

const (
	refused outcome = iota
	unknown
	accepted
)

type soak struct {
	*world

	random    *rand.Rand
	submitted map[string]outcome
	next      int
}

func (s *soak) chance(n int) bool { return s.random.IntN(n) == 0 }

func (s *soak) any() *entry { return s.entries[s.random.IntN(len(s.entries))] }

// awaitService waits until a first job has run.
func (s *soak) awaitService() {
	s.t.Helper()
	s.submit()
	for id, o := range s.submitted {
		for until := time.Now().Add(endPatience); o != accepted && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			o = s.offer(id, faker.TaskJob{Duration: time.Second, Accelerators: 1}, 1)
		}
		s.submitted[id] = o
		s.mustEnd(id)
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

// submit hands a new job in at up to three entries in turn, as a caller does.
func (s *soak) submit() {
	s.next++
	id := fmt.Sprintf("%016x", s.next)
	job := faker.TaskJob{Duration: time.Duration(200+s.random.IntN(3000)) * time.Millisecond, Accelerators: []int{1, 2, 4, 8}[s.random.IntN(4)]}
	count := 1 + s.random.IntN(4)
	if s.chance(2) {
		job.Gang = count
	}
	s.submitted[id] = s.offer(id, job, count)
}

func (s *soak) offer(id string, job faker.TaskJob, count int) outcome {
	s.fleet.SetJob(id, job)
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"memMb":1000,"gpu":%d,"estimateMs":%d,"gang":%t}]}`,
		count, job.Accelerators, job.Duration.Milliseconds(), job.Gang > 0)
	known := refused
	const tries = 3
	for range tries {
		switch status, _ := s.any().call(http.MethodPost, "/l/"+id, body); status {
		case http.StatusOK:
			return accepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			known = unknown
		}
	}
	return known
}

// fault begins or ends one fault; those that last overlap with later ones.
func (s *soak) fault() {
	e := s.any()
	path := s.toWorkers[s.random.IntN(len(s.toWorkers))]
	if s.chance(2) {
		path = e.toStore
	}
	switch s.random.IntN(13) {
	case 0:
		path.reset()
	case 1:
		path.silence()
	case 2:
		path.set(time.Duration(s.random.IntN(400))*time.Millisecond, false, false, false)
	case 3:
		path.set(0, true, false, false)
		path.reset()
	case 4:
		path.set(0, false, s.chance(2), true)
	case 5, 6:
		path.heal()
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

// heal ends all faults and starts all processes.
func (s *soak) heal() {
	s.store.SetFaults(faker.RowFaults{})
	for _, path := range s.toWorkers {
		path.heal()
	}
	for _, e := range s.entries {
		e.toStore.heal()
		e.signal(syscall.SIGCONT)
	}
	// Processes that were told to end do so within their grace period.
	time.Sleep(3 * time.Second)
	for _, e := range s.entries {
		e.start()
	}
}

// mustEnd waits until an entry shows that the job has succeeded.
func (s *soak) mustEnd(id string) {
	s.t.Helper()
	var body string
	for until := time.Now().Add(endPatience); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, body = s.any().call(http.MethodGet, "/l/"+id, ""); strings.Contains(body, "succeeded") {
			return
		}
	}
	s.t.Errorf("job %s shows %q %s after the last fault", id, body, endPatience)
}

// judge checks what callers and workers have seen.
func (s *soak) judge() {
	s.t.Helper()
	counts := map[outcome]int{}
	for id, o := range s.submitted {
		counts[o]++
		switch {
		case o == accepted:
			s.mustEnd(id)
		case o == refused && s.fleet.Starts(id) > 0:
			s.t.Errorf("job %s was refused by all, and was started", id)
		}
	}
	if broken := s.fleet.Violations(); len(broken) > 0 {
		s.t.Errorf("broken promises: %v", broken)
	}
	s.t.Logf("accepted %d, unknown %d, refused %d", counts[accepted], counts[unknown], counts[refused])
}
