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
	w := &simulator{
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
	for _, info := range w.workers {
		w.report(info, false)
	}
	return w
}

func (w *simulator) report(info Worker, leaving bool) {
	w.live[info.ID] = true
	w.apply(WorkerReported{Worker: info, Leaving: leaving})
}

func (w *simulator) fail(format string, arguments ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, arguments...)
	}
}

func (w *simulator) apply(event Event) {
	for _, d := range w.s.Apply(w.now, event) {
		w.handle(d)
	}
}

func (w *simulator) handle(d Decision) {
	switch d := d.(type) {
	case Admitted:
		w.admitted[d.ID] = true
	case Started:
		w.handleStarted(d)
	case Stopped:
		delete(w.attempts, d.ID)
		if len(d.Members) > 0 {
			w.stopping[d.ID] = d
		}
	case Requeued:
		delete(w.attempts, d.ID)
		delete(w.stopping, d.ID)
	case Ended:
		if w.ended[d.ID] {
			w.fail("job %s ended twice", d.ID)
		}
		if d.Ran == NotRun && w.ran[d.ID] {
			w.fail("job %s ended as not run, but it ran", d.ID)
		}
		w.ended[d.ID] = true
		delete(w.attempts, d.ID)
		delete(w.stopping, d.ID)
	}
}

func (w *simulator) handleStarted(d Started) {
	class, _, _ := w.documents[0].Class(d.Job.Class)
	if w.ran[d.Job.ID] && !class.Idempotent && !d.Checkpoint {
		w.fail("non-idempotent job %s was started again without a checkpoint", d.Job.ID)
	}
	if w.attempts[d.Job.ID].Attempt != 0 {
		w.fail("job %s has two attempts at once", d.Job.ID)
	}
	for _, m := range d.Members {
		if !w.live[m.Worker] {
			w.fail("job %s was started on lost worker %s", d.Job.ID, m.Worker)
		}
	}
	w.attempts[d.Job.ID] = d
	delete(w.confirmed, d.Job.ID)
}

// pick returns a random entry of the map, chosen in the order of submission so that a seed repeats its run.
func pick[T any](w *simulator, m map[string]T) (string, T, bool) {
	var zero T
	if len(m) == 0 {
		return "", zero, false
	}
	keys := make([]string, 0, len(m))
	for _, j := range w.jobs {
		if _, ok := m[j.ID]; ok {
			keys = append(keys, j.ID)
		}
	}
	id := keys[w.random.IntN(len(keys))]
	return id, m[id], true
}

func (w *simulator) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
	switch n := w.random.IntN(100); {
	case n < 35:
		w.submit()
	case n < 55:
		w.confirm()
	case n < 70:
		w.finish()
	case n < 85:
		w.acknowledgeStop()
	case n < 88 && len(w.jobs) > 0:
		w.apply(JobCancelled{ID: w.jobs[w.random.IntN(len(w.jobs))].ID})
	case n < 97:
		w.changeWorker()
	case n < 98:
		w.apply(DocumentChanged{Document: w.documents[w.random.IntN(len(w.documents))]})
	case n < 99:
		w.apply(StoreChanged{Unavailable: w.random.IntN(2) == 0})
	default:
		w.apply(Ticked{})
	}
}

func (w *simulator) submit() {
	shapes := []packer.Shape{{Accelerators: 1}, {Accelerators: 1}, {Accelerators: 2}, {Accelerators: 4}, {Accelerators: 16, Within: packer.WithinRack}, {Accelerators: 32, Within: packer.WithinRack}}
	classes := w.documents[0].Classes
	organisations := w.documents[0].Organisations
	j := Job{
		ID:           fmt.Sprintf("job-%04d", len(w.jobs)),
		Organisation: organisations[w.random.IntN(len(organisations))].Name,
		Class:        classes[w.random.IntN(len(classes))].Name,
		Shape:        shapes[w.random.IntN(len(shapes))],
		Submitted:    w.now,
	}
	if w.random.IntN(10) == 0 {
		j.Deadline = w.now.Add(time.Minute)
	}
	w.jobs = append(w.jobs, j)
	w.apply(JobSubmitted{Job: j})
}

func (w *simulator) confirm() {
	id, d, ok := pick(w, w.attempts)
	if !ok {
		return
	}
	if w.random.IntN(8) == 0 && !w.confirmed[id] {
		w.apply(AttemptRefused{ID: id, Attempt: d.Attempt, Worker: d.Members[0].Worker})
		return
	}
	w.ran[id] = true
	w.confirmed[id] = true
	w.apply(AttemptStarted{ID: id, Attempt: d.Attempt})
	if w.random.IntN(3) == 0 {
		w.apply(AttemptCheckpointed{ID: id, Attempt: d.Attempt})
	}
}

func (w *simulator) finish() {
	id, d, ok := pick(w, w.attempts)
	if !ok {
		return
	}
	w.ran[id] = true
	outcome := OutcomeSucceeded
	if w.random.IntN(4) == 0 {
		outcome = OutcomeFailed
	}
	w.apply(AttemptFinished{ID: id, Attempt: d.Attempt, Outcome: outcome, Worker: d.Members[0].Worker})
}

func (w *simulator) acknowledgeStop() {
	id, d, ok := pick(w, w.stopping)
	if !ok {
		return
	}
	delete(w.stopping, id)
	w.ran[id] = true
	w.apply(AttemptStopped{ID: id, Attempt: d.Attempt, Checkpoint: d.Checkpoint})
}

func (w *simulator) changeWorker() {
	at := w.random.IntN(len(w.workers))
	info := w.workers[at]
	switch w.random.IntN(6) {
	case 0:
		delete(w.live, info.ID)
		w.apply(WorkerLost{ID: info.ID})
	case 1:
		w.report(info, true)
	case 2:
		w.apply(WorkerSilent{ID: info.ID})
	case 3:
		w.workers[at].Incarnation += "+"
		w.report(w.workers[at], false)
	default:
		w.report(info, false)
	}
}

// run applies random steps and returns the first violation.
func (w *simulator) run(steps int) (err error) {
	step := 0
	defer func() {
		if broken := recover(); broken != nil {
			err = fmt.Errorf("step %d: %v", step, broken)
		}
	}()
	for ; step < steps; step++ {
		w.step()
		if w.err != nil {
			return fmt.Errorf("step %d: %w", step, w.err)
		}
		for id := range w.admitted {
			if _, ok := w.s.Job(id); !ok && !w.ended[id] {
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
