package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
)

var (
	randomSeeds = flag.Int("scheduler.seeds", 30, "random runs")
	randomSteps = flag.Int("scheduler.steps", 800, "events in each random run")
)

// simulator answers the scheduler's decisions at random and checks rules that span several events.
type simulator struct {
	s         *Scheduler
	random    *rand.Rand
	now       time.Time
	documents []documenter.Document
	workers   []Worker
	live      map[string]bool
	jobs      []Job
	admitted  map[string]bool
	ended     map[string]bool
	attempts  map[string]Started
	stopping  map[string]Stopped
	ran       map[string]bool
	confirmed map[string]bool
	err       error
}

func newSimulator(seed uint64) *simulator {
	random := rand.New(rand.NewPCG(seed, seed))
	documents := []documenter.Document{testDocument(), testDocument(), testDocument()}
	documents[1].Organisations[0].Guarantees[0].Count = 1
	documents[2].Organisations = documents[2].Organisations[:2]
	documents[2].Classes[0], documents[2].Classes[1] = documents[2].Classes[1], documents[2].Classes[0]
	sim := &simulator{
		s:         New(documents[0], Options{Random: random.Float64, Checked: true}),
		random:    random,
		now:       testStart,
		documents: documents,
		workers:   testWorkers(),
		live:      map[string]bool{},
		admitted:  map[string]bool{},
		ended:     map[string]bool{},
		attempts:  map[string]Started{},
		stopping:  map[string]Stopped{},
		ran:       map[string]bool{},
		confirmed: map[string]bool{},
	}
	for _, info := range sim.workers {
		sim.report(info, false)
	}
	return sim
}

func (sim *simulator) report(info Worker, leaving bool) {
	sim.live[info.ID] = true
	sim.apply(WorkerReported{Worker: info, Leaving: leaving})
}

func (sim *simulator) fail(format string, arguments ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, arguments...)
	}
}

func (sim *simulator) apply(event Event) {
	for _, d := range sim.s.Apply(sim.now, event) {
		sim.handle(d)
	}
}

func (sim *simulator) handle(d Decision) {
	switch d := d.(type) {
	case Admitted:
		sim.admitted[d.ID] = true
	case Started:
		sim.handleStarted(d)
	case Stopped:
		delete(sim.attempts, d.ID)
		if len(d.Members) > 0 {
			sim.stopping[d.ID] = d
		}
	case Requeued:
		delete(sim.attempts, d.ID)
		delete(sim.stopping, d.ID)
	case Ended:
		if sim.ended[d.ID] {
			sim.fail("job %s ended twice", d.ID)
		}
		if d.Ran == NotRun && sim.ran[d.ID] {
			sim.fail("job %s ended as not run, but it ran", d.ID)
		}
		sim.ended[d.ID] = true
		delete(sim.attempts, d.ID)
		delete(sim.stopping, d.ID)
	}
}

func (sim *simulator) handleStarted(d Started) {
	class, _, _ := sim.documents[0].Class(d.Job.Class)
	if sim.ran[d.Job.ID] && !class.Idempotent && !d.Checkpoint {
		sim.fail("non-idempotent job %s was started again without a checkpoint", d.Job.ID)
	}
	if sim.attempts[d.Job.ID].Attempt != 0 {
		sim.fail("job %s has two attempts at once", d.Job.ID)
	}
	for _, m := range d.Members {
		if !sim.live[m.Worker] {
			sim.fail("job %s was started on lost worker %s", d.Job.ID, m.Worker)
		}
	}
	sim.attempts[d.Job.ID] = d
	delete(sim.confirmed, d.Job.ID)
}

// pick returns a random entry of the map, chosen in the order of submission so that a seed repeats its run.
func pick[T any](sim *simulator, m map[string]T) (string, T, bool) {
	var zero T
	if len(m) == 0 {
		return "", zero, false
	}
	keys := make([]string, 0, len(m))
	for _, j := range sim.jobs {
		if _, ok := m[j.ID]; ok {
			keys = append(keys, j.ID)
		}
	}
	id := keys[sim.random.IntN(len(keys))]
	return id, m[id], true
}

func (sim *simulator) step() {
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(8000)) * time.Millisecond)
	switch n := sim.random.IntN(100); {
	case n < 35:
		sim.submit()
	case n < 55:
		sim.confirm()
	case n < 70:
		sim.finish()
	case n < 85:
		sim.acknowledgeStop()
	case n < 88 && len(sim.jobs) > 0:
		sim.apply(JobCancelled{ID: sim.jobs[sim.random.IntN(len(sim.jobs))].ID})
	case n < 97:
		sim.changeWorker()
	case n < 98:
		sim.apply(DocumentChanged{Document: sim.documents[sim.random.IntN(len(sim.documents))]})
	case n < 99:
		sim.apply(StoreChanged{Unavailable: sim.random.IntN(2) == 0})
	default:
		sim.apply(Ticked{})
	}
}

func (sim *simulator) submit() {
	shapes := []packer.Shape{{Accelerators: 1}, {Accelerators: 1}, {Accelerators: 2}, {Accelerators: 4}, {Accelerators: 16, Within: packer.WithinRack}, {Accelerators: 32, Within: packer.WithinRack}}
	classes := sim.documents[0].Classes
	organisations := sim.documents[0].Organisations
	j := Job{
		ID:           fmt.Sprintf("job-%04d", len(sim.jobs)),
		Organisation: organisations[sim.random.IntN(len(organisations))].Name,
		Class:        classes[sim.random.IntN(len(classes))].Name,
		Shape:        shapes[sim.random.IntN(len(shapes))],
		Submitted:    sim.now,
	}
	if sim.random.IntN(10) == 0 {
		j.Deadline = sim.now.Add(time.Minute)
	}
	sim.jobs = append(sim.jobs, j)
	sim.apply(JobSubmitted{Job: j})
}

func (sim *simulator) confirm() {
	id, d, ok := pick(sim, sim.attempts)
	if !ok {
		return
	}
	if sim.random.IntN(8) == 0 && !sim.confirmed[id] {
		sim.apply(AttemptRefused{ID: id, Attempt: d.Attempt, Worker: d.Members[0].Worker})
		return
	}
	sim.ran[id] = true
	sim.confirmed[id] = true
	sim.apply(AttemptStarted{ID: id, Attempt: d.Attempt})
	if sim.random.IntN(3) == 0 {
		sim.apply(AttemptCheckpointed{ID: id, Attempt: d.Attempt})
	}
}

func (sim *simulator) finish() {
	id, d, ok := pick(sim, sim.attempts)
	if !ok {
		return
	}
	sim.ran[id] = true
	outcome := OutcomeSucceeded
	if sim.random.IntN(4) == 0 {
		outcome = OutcomeFailed
	}
	sim.apply(AttemptFinished{ID: id, Attempt: d.Attempt, Outcome: outcome, Worker: d.Members[0].Worker})
}

func (sim *simulator) acknowledgeStop() {
	id, d, ok := pick(sim, sim.stopping)
	if !ok {
		return
	}
	delete(sim.stopping, id)
	sim.ran[id] = true
	sim.apply(AttemptStopped{ID: id, Attempt: d.Attempt, Checkpoint: d.Checkpoint})
}

func (sim *simulator) changeWorker() {
	at := sim.random.IntN(len(sim.workers))
	info := sim.workers[at]
	switch sim.random.IntN(6) {
	case 0:
		delete(sim.live, info.ID)
		sim.apply(WorkerLost{ID: info.ID})
	case 1:
		sim.report(info, true)
	case 2:
		sim.apply(WorkerSilent{ID: info.ID})
	case 3:
		sim.workers[at].Incarnation += "+"
		sim.report(sim.workers[at], false)
	default:
		sim.report(info, false)
	}
}

// run applies random steps and returns the first violation.
func (sim *simulator) run(steps int) (err error) {
	step := 0
	defer func() {
		if broken := recover(); broken != nil {
			err = fmt.Errorf("step %d: %v", step, broken)
		}
	}()
	for ; step < steps; step++ {
		sim.step()
		if sim.err != nil {
			return fmt.Errorf("step %d: %w", step, sim.err)
		}
		for id := range sim.admitted {
			if _, ok := sim.s.Job(id); !ok && !sim.ended[id] {
				return fmt.Errorf("step %d: admitted job %s is neither known nor ended", step, id)
			}
		}
	}
	return nil
}

func TestRandomEventsKeepAllInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = *randomSeeds
	properties := gopter.NewProperties(parameters)
	properties.Property("every invariant holds after every event", prop.ForAll(
		func(seed uint64, steps int) (bool, error) {
			if err := newSimulator(seed).run(steps); err != nil {
				return false, fmt.Errorf("seed %d: %w (rerun with TestOneSeed -scheduler.seed=%d)", seed, err, seed)
			}
			return true, nil
		},
		gen.UInt64Range(1, 1<<40),
		gen.IntRange(*randomSteps/2, *randomSteps),
	))
	properties.TestingRun(t)
}

var oneSeed = flag.Uint64("scheduler.seed", 7, "seed of TestOneSeed")

func TestOneSeed(t *testing.T) {
	if err := newSimulator(*oneSeed).run(*randomSteps); err != nil {
		t.Fatalf("seed %d: %v", *oneSeed, err)
	}
}
