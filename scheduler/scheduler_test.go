package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
)

var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// testDocument guarantees a gang shape, whole workers and single accelerators on two racks of four workers.
func testDocument() documenter.Document {
	return documenter.Document{
		Service: "tabulator",
		Workers: []documenter.WorkerGroup{{Zone: "a", Racks: 2, WorkersPerRack: 4, Accelerators: 8}},
		Organisations: []documenter.Organisation{
			{Name: "unions", Guarantees: []documenter.Guarantee{{Shape: rackShape(16), Count: 2}}},
			{Name: "offices", Guarantees: []documenter.Guarantee{{Shape: workerShape(8), Count: 1}, {Shape: workerShape(1), Count: 4}}},
			{Name: "researchers"},
		},
		Classes: []documenter.Class{
			{Name: "lookup", StartWithinSeconds: 10, Idempotent: true, Borrows: true, Limits: documenter.Limits{Queued: 50, Retries: 3, RunSeconds: 60}},
			{Name: "weighting", Checkpointable: true, Borrows: true, Limits: documenter.Limits{Queued: 50, RunSeconds: 36000}},
			{Name: "imputation", Idempotent: true, Borrows: true, Limits: documenter.Limits{Queued: 50, Retries: 2, RunSeconds: 3600}},
			{Name: "preview", Limits: documenter.Limits{Queued: 50, RunSeconds: 600}},
		},
	}
}

func rackShape(n int) packer.Shape { return packer.Shape{Accelerators: n, Within: packer.WithinRack} }

func workerShape(n int) packer.Shape {
	return packer.Shape{Accelerators: n, Within: packer.WithinWorker}
}

func testWorkers() []Worker {
	var list []Worker
	for i := range 8 {
		list = append(list, Worker{
			ID: fmt.Sprintf("worker-%d", i), Zone: "a", Rack: fmt.Sprintf("rack-%d", i/4),
			Incarnation: "1", Accelerators: 8, Slots: 8, MemoryMB: 64 << 10,
		})
	}
	return list
}

// bench drives a scheduler by hand.
type bench struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	all []Decision
}

func newBench(t *testing.T, d documenter.Document) *bench {
	t.Helper()
	b := &bench{t: t, s: New(d, Options{Checked: true}), now: testStart}
	for _, w := range testWorkers() {
		b.apply(WorkerReported{Worker: w})
	}
	return b
}

func (b *bench) apply(e Event) []Decision {
	b.t.Helper()
	list := b.s.Apply(b.now, e)
	b.all = append(b.all, list...)
	return list
}

func (b *bench) after(d time.Duration, e Event) []Decision {
	b.t.Helper()
	b.now = b.now.Add(d)
	return b.apply(e)
}

// submit submits a job and returns what was decided.
func (b *bench) submit(id, organisation, class string, shape packer.Shape) []Decision {
	b.t.Helper()
	return b.after(time.Second, JobSubmitted{Job: Job{ID: id, Organisation: organisation, Class: class, Shape: shape, Submitted: b.now.Add(time.Second)}})
}

// run submits a job that must start at once, and confirms the start.
func (b *bench) run(id, organisation, class string, shape packer.Shape) Started {
	b.t.Helper()
	d := find[Started](b.t, b.submit(id, organisation, class, shape))
	b.apply(AttemptStarted{ID: id, Attempt: d.Attempt})
	return d
}

// find returns the one decision of the type.
func find[T Decision](t *testing.T, list []Decision) T {
	t.Helper()
	found := all[T](list)
	if len(found) != 1 {
		t.Fatalf("decisions of type %T: got %d, want 1, in %+v", *new(T), len(found), list)
	}
	return found[0]
}

func all[T Decision](list []Decision) []T {
	var found []T
	for _, d := range list {
		if wanted, ok := d.(T); ok {
			found = append(found, wanted)
		}
	}
	return found
}

func none[T Decision](t *testing.T, list []Decision) {
	t.Helper()
	if found := all[T](list); len(found) > 0 {
		t.Fatalf("unexpected decisions: %+v", found)
	}
}

// fillWithLent lets researchers borrow every accelerator, one by one job of 4.
func (b *bench) fillWithLent() {
	b.t.Helper()
	for i := range 16 {
		b.run(fmt.Sprintf("lent-%02d", i), "researchers", "imputation", workerShape(4))
	}
}

func TestAGuaranteedGangTakesItsShapeBackFromLentWork(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	decisions := b.submit("gang", "unions", "weighting", rackShape(16))
	stopped := all[Stopped](decisions)
	if len(stopped) != 4 {
		t.Fatalf("stopped %d jobs, want the 4 that hold two workers", len(stopped))
	}
	none[Started](t, decisions)
	var last []Decision
	for _, d := range stopped {
		last = b.after(time.Second, AttemptStopped{ID: d.ID, Attempt: d.Attempt})
	}
	started := find[Started](t, last)
	if started.Job.ID != "gang" || len(started.Members) != 2 {
		t.Fatalf("started %+v, want the gang on two workers", started)
	}
}

func TestAGangNeverHoldsPartOfItsShape(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	stopped := all[Stopped](b.submit("gang", "unions", "weighting", rackShape(16)))
	decisions := b.after(time.Second, AttemptStopped{ID: stopped[0].ID, Attempt: 1})
	none[Started](t, decisions)
	view, _ := b.s.Job("gang")
	if view.Phase != "waiting" || len(view.Members) != 0 {
		t.Fatalf("gang is %+v, want it to wait without accelerators", view)
	}
}

func TestWorkThatCannotBeMovedLeavesTheGuaranteesPackable(t *testing.T) {
	d := testDocument()
	b := newBench(t, d)
	started := 0
	for i := range 64 {
		decisions := b.submit(fmt.Sprintf("preview-%02d", i), "researchers", "preview", workerShape(1))
		started += len(all[Started](decisions))
	}
	guaranteed := 2*16 + 8 + 4
	if started != 64-guaranteed-4 && started != 64-guaranteed {
		t.Fatalf("started %d previews beside %d guaranteed accelerators", started, guaranteed)
	}
	find[Started](t, b.submit("gang", "unions", "weighting", rackShape(16)))
}

func TestUrgentWorkMovesLentWorkOfLaterClasses(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	decisions := b.submit("lookup", "researchers", "lookup", workerShape(1))
	stopped := find[Stopped](t, decisions)
	if stopped.Reason.Rule != RulePreemptedByUrgent {
		t.Fatalf("stopped for %s, want %s", stopped.Reason.Rule, RulePreemptedByUrgent)
	}
	decisions = b.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1})
	if d := all[Started](decisions); len(d) == 0 || d[0].Job.ID != "lookup" {
		t.Fatalf("decisions %+v, want the lookup to start first", decisions)
	}
}

func TestReclaimTakesTheLeastLostWork(t *testing.T) {
	d := testDocument()
	d.Workers[0] = documenter.WorkerGroup{Zone: "a", Racks: 2, WorkersPerRack: 4, Accelerators: 8}
	b := newBench(t, d)
	b.run("checkpointable", "researchers", "weighting", workerShape(8))
	for i := range 7 {
		b.run(fmt.Sprintf("repeatable-%d", i), "researchers", "imputation", workerShape(8))
	}
	b.now = b.now.Add(30 * time.Minute)
	stopped := find[Stopped](t, b.submit("own", "offices", "weighting", workerShape(8)))
	if stopped.ID != "checkpointable" || !stopped.Checkpoint {
		t.Fatalf("stopped %+v, want the job that loses nothing at its checkpoint", stopped)
	}
}

func TestMovedWorkKeepsItsAgeAndIsRequeuedOnce(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	stopped := find[Stopped](t, b.submit("lookup", "researchers", "lookup", workerShape(1)))
	decisions := b.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1})
	requeued := find[Requeued](t, decisions)
	if requeued.Moves != 1 {
		t.Fatalf("moves %d, want 1", requeued.Moves)
	}
	none[Requeued](t, b.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1}))
	view, _ := b.s.Job(stopped.ID)
	if !view.Submitted.Before(b.now.Add(-2 * time.Second)) {
		t.Fatalf("job was submitted at %s, want its first age", view.Submitted)
	}
}

func TestALostMemberEndsTheGangAsAWhole(t *testing.T) {
	for _, test := range []struct {
		name       string
		checkpoint bool
		want       Outcome
	}{
		{"with a checkpoint it goes on from there", true, ""},
		{"without one nobody can tell whether it ran", false, OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testDocument())
			gang := b.run("gang", "unions", "weighting", rackShape(16))
			if test.checkpoint {
				b.after(time.Minute, AttemptCheckpointed{ID: "gang", Attempt: 1})
			}
			decisions := b.after(time.Second, WorkerLost{ID: gang.Members[0].Worker})
			stopped := find[Stopped](t, decisions)
			if len(stopped.Members) != 1 {
				t.Fatalf("stopped %d members, want the one that is left", len(stopped.Members))
			}
			decisions = b.after(time.Second, AttemptStopped{ID: "gang", Attempt: 1})
			if test.want != "" {
				if d := find[Ended](t, decisions); d.Outcome != test.want {
					t.Fatalf("outcome %s, want %s", d.Outcome, test.want)
				}
				none[Started](t, decisions)
				return
			}
			if d := find[Started](t, decisions); !d.Checkpoint || d.Attempt != 2 {
				t.Fatalf("started %+v, want a second attempt from the checkpoint", d)
			}
		})
	}
}

func TestNonIdempotentWorkIsNotStartedWhileItCannotBeRecorded(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	b.apply(StoreChanged{Unavailable: true})
	decisions := b.submit("gang", "unions", "weighting", rackShape(16))
	none[Stopped](t, decisions)
	if len(all[Stopped](b.submit("lookup", "researchers", "lookup", workerShape(1)))) != 1 {
		t.Fatal("urgent idempotent work must go on without a record")
	}
	if len(all[Stopped](b.after(time.Minute, StoreChanged{Unavailable: false}))) == 0 {
		t.Fatal("the gang must reclaim its shape once it can be recorded")
	}
}

func TestAGangBeyondItsGuaranteeIsNotStarvedBySmallJobs(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	b.submit("gang", "researchers", "weighting", rackShape(16))
	started := false
	for i := range 40 {
		id := fmt.Sprintf("lent-%02d", i%16)
		view, ok := b.s.Job(id)
		var decisions []Decision
		if ok && view.Phase == "running" {
			decisions = b.after(10*time.Second, AttemptFinished{ID: id, Attempt: view.Attempt, Outcome: OutcomeSucceeded})
		}
		decisions = append(decisions, b.submit(fmt.Sprintf("stream-%02d", i), "researchers", "imputation", workerShape(4))...)
		for _, s := range all[Stopped](decisions) {
			b.after(time.Second, AttemptStopped{ID: s.ID, Attempt: s.Attempt})
		}
		if view, _ := b.s.Job("gang"); view.Phase != "waiting" {
			started = true
			break
		}
	}
	if !started {
		t.Fatal("the gang still waits behind a stream of small jobs")
	}
}

func TestAWorkerThatFailsEverythingIsQuarantinedAndProbedBack(t *testing.T) {
	b := newBench(t, testDocument())
	bad := ""
	for i := range 3 {
		d := b.run(fmt.Sprintf("job-%d", i), "researchers", "imputation", workerShape(1))
		if bad == "" {
			bad = d.Members[0].Worker
		}
		if d.Members[0].Worker != bad {
			t.Fatalf("job %d went to %s, want best fit to keep to %s", i, d.Members[0].Worker, bad)
		}
	}
	var decisions []Decision
	for i := range 3 {
		decisions = b.after(time.Millisecond, AttemptFinished{ID: fmt.Sprintf("job-%d", i), Attempt: 1, Outcome: OutcomeFailed, Worker: bad})
	}
	if d := find[WorkerChanged](t, decisions); d.Worker != bad || d.Usable {
		t.Fatalf("decided %+v, want %s out of use", d, bad)
	}
	for _, d := range all[Started](b.after(minQuarantine-time.Second, Ticked{})) {
		if d.Members[0].Worker == bad {
			t.Fatalf("started %+v on the quarantined worker", d)
		}
	}
	b.after(time.Second, Ticked{})
	probe := find[Started](t, b.submit("probe", "researchers", "imputation", workerShape(1)))
	if probe.Members[0].Worker != bad || probe.Reason.Rule != RuleProbe {
		t.Fatalf("started %+v, want a probe on %s", probe, bad)
	}
	b.apply(AttemptStarted{ID: "probe", Attempt: 1})
	back := find[WorkerChanged](t, b.after(time.Second, AttemptFinished{ID: "probe", Attempt: 1, Outcome: OutcomeSucceeded}))
	if !back.Usable {
		t.Fatalf("decided %+v, want the worker back", back)
	}
}

func TestAPoisonousJobEndsWithItsOwnFault(t *testing.T) {
	b := newBench(t, testDocument())
	d := find[Started](t, b.submit("poison", "researchers", "lookup", workerShape(1)))
	for {
		decisions := b.after(time.Second, AttemptFinished{ID: "poison", Attempt: d.Attempt, Outcome: OutcomeFailed, Worker: d.Members[0].Worker})
		if ended := all[Ended](decisions); len(ended) == 1 {
			if ended[0].Reason.Rule != RuleJobAtFault || ended[0].Reason.Count != maxFailedWorkers {
				t.Fatalf("ended %+v, want the job's own fault after %d workers", ended[0], maxFailedWorkers)
			}
			return
		}
		again := find[Started](t, b.after(maxRetryDelay, Ticked{}))
		if again.Members[0].Worker == d.Members[0].Worker {
			t.Fatalf("tried on %s again, want another worker", d.Members[0].Worker)
		}
		d = again
	}
}

func TestAdmission(t *testing.T) {
	for _, test := range []struct {
		name         string
		organisation string
		class        string
		shape        packer.Shape
		memoryMB     int
		want         Rule
	}{
		{"a class that the document lacks", "unions", "poetry", workerShape(1), 0, RuleUnknownClass},
		{"an organisation that the document lacks", "strangers", "lookup", workerShape(1), 0, RuleUnknownOrganisation},
		{"a shape that is no power of two", "unions", "lookup", workerShape(3), 0, RuleImpossibleShape},
		{"a shape that no rack has", "unions", "weighting", rackShape(64), 0, RuleNeverFits},
		{"more memory than goes with the accelerators", "unions", "lookup", workerShape(1), 9 << 10, RuleTooMuchMemory},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testDocument())
			job := Job{ID: "j", Organisation: test.organisation, Class: test.class, Shape: test.shape, MemoryMB: test.memoryMB, Submitted: b.now}
			d := find[Refused](t, b.apply(JobSubmitted{Job: job}))
			if d.Reason.Rule != test.want {
				t.Fatalf("refused for %s, want %s", d.Reason.Rule, test.want)
			}
		})
	}
}

func TestABurstOfOneOrganisationIsBoundedAndDelaysNoOther(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	refused := 0
	for i := range 60 {
		refused += len(all[Refused](b.submit(fmt.Sprintf("burst-%d", i), "researchers", "imputation", workerShape(4))))
	}
	if refused != 10 {
		t.Fatalf("refused %d of 60, want those over the limit of 50", refused)
	}
	stopped := find[Stopped](t, b.submit("own", "offices", "imputation", workerShape(1)))
	decisions := b.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1})
	if d := all[Started](decisions); len(d) == 0 || d[0].Job.ID != "own" {
		t.Fatalf("decisions %+v, want the guaranteed job first", decisions)
	}
}

func TestWorkNobodyWaitsForIsNotStarted(t *testing.T) {
	b := newBench(t, testDocument())
	b.fillWithLent()
	job := Job{ID: "late", Organisation: "researchers", Class: "imputation", Shape: workerShape(4), Submitted: b.now, Deadline: b.now.Add(time.Minute)}
	b.apply(JobSubmitted{Job: job})
	d := find[Ended](t, b.after(2*time.Minute, Ticked{}))
	if d.Outcome != OutcomeExpired || d.Ran != NotRun {
		t.Fatalf("ended %+v, want expired and not run", d)
	}
}

func TestACancelThatRacesAStartHasOneTrueOutcome(t *testing.T) {
	for _, test := range []struct {
		name  string
		event Event
		want  Outcome
		ran   Ran
	}{
		{"the start was refused", AttemptRefused{ID: "j", Attempt: 1}, OutcomeCancelled, NotRun},
		{"it had started", AttemptStopped{ID: "j", Attempt: 1}, OutcomeCancelled, DidRun},
		{"it had finished", AttemptFinished{ID: "j", Attempt: 1, Outcome: OutcomeSucceeded}, OutcomeSucceeded, DidRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testDocument())
			find[Started](t, b.submit("j", "unions", "preview", workerShape(1)))
			find[Stopped](t, b.apply(JobCancelled{ID: "j"}))
			d := find[Ended](t, b.apply(test.event))
			if d.Outcome != test.want || d.Ran != test.ran {
				t.Fatalf("ended %s %s, want %s %s", d.Outcome, d.Ran, test.want, test.ran)
			}
		})
	}
}

func TestLostWorkersBreakGuaranteesByNameInTheDocumentsOrder(t *testing.T) {
	b := newBench(t, testDocument())
	var broken []GuaranteeChanged
	for i := range 5 {
		broken = append(broken, all[GuaranteeChanged](b.after(time.Second, WorkerLost{ID: fmt.Sprintf("worker-%d", i)}))...)
	}
	if len(broken) == 0 || broken[0].Organisation != "offices" {
		t.Fatalf("announced %+v, want the later organisation's guarantee to break first", broken)
	}
	restored := 0
	for _, w := range testWorkers() {
		for _, d := range all[GuaranteeChanged](b.apply(WorkerReported{Worker: w})) {
			if d.Missing == 0 {
				restored++
			}
		}
	}
	if restored == 0 {
		t.Fatal("no guarantee was announced as restored")
	}
}

func TestALeavingWorkerGetsNoNewWorkAndItsCheckpointableWorkMoves(t *testing.T) {
	b := newBench(t, testDocument())
	gang := b.run("gang", "unions", "weighting", rackShape(16))
	leaving := testWorkers()[0]
	leaving.ID = gang.Members[0].Worker
	for _, w := range testWorkers() {
		if w.ID == leaving.ID {
			leaving = w
		}
	}
	stopped := find[Stopped](t, b.after(time.Second, WorkerReported{Worker: leaving, Leaving: true}))
	if !stopped.Checkpoint || len(stopped.Members) != 2 {
		t.Fatalf("stopped %+v, want the whole gang at a checkpoint", stopped)
	}
	d := find[Started](t, b.after(time.Second, AttemptStopped{ID: "gang", Attempt: 1, Checkpoint: true}))
	for _, m := range d.Members {
		if m.Worker == leaving.ID {
			t.Fatal("the gang was started on the leaving worker again")
		}
	}
}

func TestMemoryOverItsShareIsThrottledThenStopped(t *testing.T) {
	b := newBench(t, testDocument())
	d := b.run("greedy", "researchers", "imputation", workerShape(1))
	worker := d.Members[0].Worker
	find[Throttled](t, b.after(time.Second, UsageReported{ID: "greedy", Worker: worker, MemoryMB: 9 << 10}))
	stopped := find[Stopped](t, b.after(time.Second, UsageReported{ID: "greedy", Worker: worker, MemoryMB: 9 << 10}))
	if stopped.Reason.Rule != RuleMemoryStopped {
		t.Fatalf("stopped for %s, want %s", stopped.Reason.Rule, RuleMemoryStopped)
	}
}

func TestCancelWaveEndsEachJobOnce(t *testing.T) {
	d := testDocument()
	d.Classes[2].Limits.Queued = 5000
	b := newBench(t, d)
	b.fillWithLent()
	for i := range 3000 {
		b.submit(fmt.Sprintf("wave-%d", i), "researchers", "imputation", workerShape(4))
	}
	ended := 0
	for i := range 3000 {
		list := b.apply(JobCancelled{ID: fmt.Sprintf("wave-%d", i)})
		ended += len(all[Ended](list))
		none[Stopped](t, list)
	}
	if ended != 3000 {
		t.Fatalf("ended %d of 3000", ended)
	}
}

func TestSmallWorkThatOverflowedIntoALargeCellMakesRoomForTheGang(t *testing.T) {
	d := testDocument()
	d.Organisations = d.Organisations[:1]
	d.Organisations[0].Guarantees = []documenter.Guarantee{{Shape: rackShape(32), Count: 2}}
	b := newBench(t, d)
	for i := range 64 {
		b.run(fmt.Sprintf("small-%02d", i), "unions", "imputation", workerShape(1))
	}
	decisions := b.submit("gang", "unions", "weighting", rackShape(32))
	stopped := all[Stopped](decisions)
	if len(stopped) == 0 {
		t.Fatal("the organisation's own small work kept its gang from its shape")
	}
	var last []Decision
	for _, v := range stopped {
		last = append(last, b.after(time.Second, AttemptStopped{ID: v.ID, Attempt: v.Attempt})...)
	}
	if s := all[Started](last); len(s) == 0 || s[0].Job.ID != "gang" {
		t.Fatalf("decisions %+v, want the gang to start first", last)
	}
}

func TestARefusedJobTriesAnotherWorker(t *testing.T) {
	b := newBench(t, testDocument())
	first := find[Started](t, b.submit("j", "researchers", "lookup", workerShape(1)))
	refusing := first.Members[0].Worker
	b.apply(AttemptRefused{ID: "j", Attempt: 1, Worker: refusing})
	second := find[Started](t, b.after(refusedDelay, Ticked{}))
	if second.Members[0].Worker == refusing {
		t.Fatalf("asked %s again at once", refusing)
	}
}

func TestAQuarantinedWorkerStaysOutAfterSilence(t *testing.T) {
	b := newBench(t, testDocument())
	bad := testWorkers()[0]
	for i := range quarantineFailures {
		id := fmt.Sprintf("job-%d", i)
		d := b.run(id, "researchers", "imputation", workerShape(1))
		if d.Members[0].Worker != bad.ID {
			t.Fatalf("job went to %s, want %s", d.Members[0].Worker, bad.ID)
		}
	}
	for i := range quarantineFailures {
		b.apply(AttemptFinished{ID: fmt.Sprintf("job-%d", i), Attempt: 1, Outcome: OutcomeFailed, Worker: bad.ID})
	}
	b.apply(WorkerSilent{ID: bad.ID})
	b.apply(WorkerReported{Worker: bad})
	for _, w := range b.s.View(false).Workers {
		if w.ID == bad.ID && w.State != "quarantined" {
			t.Fatalf("the worker is %s after its silence, want quarantined", w.State)
		}
	}
}

func TestAlarmsOfEndedJobsDoNotPileUp(t *testing.T) {
	b := newBench(t, testDocument())
	for i := range 5000 {
		id := fmt.Sprintf("job-%d", i)
		b.run(id, "researchers", "weighting", workerShape(1))
		b.apply(AttemptFinished{ID: id, Attempt: 1, Outcome: OutcomeSucceeded})
	}
	if n := len(b.s.timers.list); n > 2*maxStaleTimers {
		t.Fatalf("%d timers are left of 5000 jobs that have ended", n)
	}
}
