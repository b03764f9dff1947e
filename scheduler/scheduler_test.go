package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
)

var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// testDocument guarantees gangs, a whole worker and single accelerators on two racks of four workers.
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

// harness applies events to a scheduler that checks its invariants and keeps the decisions.
type harness struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	all []Decision
}

func newHarness(t *testing.T, d documenter.Document) *harness {
	t.Helper()
	h := &harness{t: t, s: New(d, Options{Checked: true}), now: testStart}
	for _, w := range testWorkers() {
		h.apply(WorkerReported{Worker: w})
	}
	return h
}

func (h *harness) apply(e Event) []Decision {
	h.t.Helper()
	list := h.s.Apply(h.now, e)
	h.all = append(h.all, list...)
	return list
}

func (h *harness) after(d time.Duration, e Event) []Decision {
	h.t.Helper()
	h.now = h.now.Add(d)
	return h.apply(e)
}

// submit submits a job one second later and returns the decisions.
func (h *harness) submit(id, organisation, class string, shape packer.Shape) []Decision {
	h.t.Helper()
	return h.after(time.Second, JobSubmitted{Job: Job{ID: id, Organisation: organisation, Class: class, Shape: shape, Submitted: h.now.Add(time.Second)}})
}

// run submits a job that must start at once, and confirms its start.
func (h *harness) run(id, organisation, class string, shape packer.Shape) Started {
	h.t.Helper()
	d := find[Started](h.t, h.submit(id, organisation, class, shape))
	h.apply(AttemptStarted{ID: id, Attempt: d.Attempt})
	return d
}

// find returns the decision of the type and fails unless there is exactly one.
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

// fillWithLent has the researchers borrow all accelerators with 16 jobs of 4.
func (h *harness) fillWithLent() {
	h.t.Helper()
	for i := range 16 {
		h.run(fmt.Sprintf("lent-%02d", i), "researchers", "imputation", workerShape(4))
	}
}

func TestAGuaranteedGangReclaimsItsShapeFromLentJobs(t *testing.T) {
	h := newHarness(t, testDocument())
	h.fillWithLent()
	decisions := h.submit("gang", "unions", "weighting", rackShape(16))
	stopped := all[Stopped](decisions)
	if len(stopped) != 4 {
		t.Fatalf("stopped %d jobs, want the 4 on two workers", len(stopped))
	}
	none[Started](t, decisions)
	var last []Decision
	for _, d := range stopped {
		last = h.after(time.Second, AttemptStopped{ID: d.ID, Attempt: d.Attempt})
	}
	started := find[Started](t, last)
	if started.Job.ID != "gang" || len(started.Members) != 2 {
		t.Fatalf("started %+v, want the gang on two workers", started)
	}
}

func TestAGangNeverHoldsPartOfItsShape(t *testing.T) {
	h := newHarness(t, testDocument())
	h.fillWithLent()
	stopped := all[Stopped](h.submit("gang", "unions", "weighting", rackShape(16)))
	decisions := h.after(time.Second, AttemptStopped{ID: stopped[0].ID, Attempt: 1})
	none[Started](t, decisions)
	view, _ := h.s.Job("gang")
	if view.Phase != "waiting" || len(view.Members) != 0 {
		t.Fatalf("gang is %+v, want it to wait without accelerators", view)
	}
}

func TestNonPreemptibleJobsLeaveCapacityForTheGuarantees(t *testing.T) {
	d := testDocument()
	h := newHarness(t, d)
	started := 0
	for i := range 64 {
		decisions := h.submit(fmt.Sprintf("preview-%02d", i), "researchers", "preview", workerShape(1))
		started += len(all[Started](decisions))
	}
	guaranteed := 2*16 + 8 + 4
	if started != 64-guaranteed-4 && started != 64-guaranteed {
		t.Fatalf("started %d previews beside %d guaranteed accelerators", started, guaranteed)
	}
	find[Started](t, h.submit("gang", "unions", "weighting", rackShape(16)))
}

func TestUrgentJobsPreemptLentJobsOfLaterClasses(t *testing.T) {
	h := newHarness(t, testDocument())
	h.fillWithLent()
	decisions := h.submit("lookup", "researchers", "lookup", workerShape(1))
	stopped := find[Stopped](t, decisions)
	if stopped.Reason.Rule != RulePreemptedByUrgent {
		t.Fatalf("stopped for %s, want %s", stopped.Reason.Rule, RulePreemptedByUrgent)
	}
	decisions = h.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1})
	if d := all[Started](decisions); len(d) == 0 || d[0].Job.ID != "lookup" {
		t.Fatalf("decisions %+v, want the lookup to start first", decisions)
	}
}

func TestReclaimStopsTheJobThatLosesLeastWork(t *testing.T) {
	d := testDocument()
	d.Workers[0] = documenter.WorkerGroup{Zone: "a", Racks: 2, WorkersPerRack: 4, Accelerators: 8}
	h := newHarness(t, d)
	h.run("checkpointable", "researchers", "weighting", workerShape(8))
	for i := range 7 {
		h.run(fmt.Sprintf("repeatable-%d", i), "researchers", "imputation", workerShape(8))
	}
	h.now = h.now.Add(30 * time.Minute)
	stopped := find[Stopped](t, h.submit("own", "offices", "weighting", workerShape(8)))
	if stopped.ID != "checkpointable" || !stopped.Checkpoint {
		t.Fatalf("stopped %+v, want the checkpointable job, at a checkpoint", stopped)
	}
}

func TestAPreemptedJobKeepsItsSubmitTimeAndIsRequeuedOnce(t *testing.T) {
	h := newHarness(t, testDocument())
	h.fillWithLent()
	stopped := find[Stopped](t, h.submit("lookup", "researchers", "lookup", workerShape(1)))
	decisions := h.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1})
	requeued := find[Requeued](t, decisions)
	if requeued.Moves != 1 {
		t.Fatalf("moves %d, want 1", requeued.Moves)
	}
	none[Requeued](t, h.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1}))
	view, _ := h.s.Job(stopped.ID)
	if !view.Submitted.Before(h.now.Add(-2 * time.Second)) {
		t.Fatalf("job was submitted at %s, want its original submit time", view.Submitted)
	}
}

func TestALostMemberStopsTheWholeGang(t *testing.T) {
	for _, test := range []struct {
		name       string
		checkpoint bool
		want       Outcome
	}{
		{"it resumes from its checkpoint", true, ""},
		{"its outcome is unknown without a checkpoint", false, OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testDocument())
			gang := h.run("gang", "unions", "weighting", rackShape(16))
			if test.checkpoint {
				h.after(time.Minute, AttemptCheckpointed{ID: "gang", Attempt: 1})
			}
			decisions := h.after(time.Second, WorkerLost{ID: gang.Members[0].Worker})
			stopped := find[Stopped](t, decisions)
			if len(stopped.Members) != 1 {
				t.Fatalf("stopped %d members, want the one that is left", len(stopped.Members))
			}
			decisions = h.after(time.Second, AttemptStopped{ID: "gang", Attempt: 1})
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
	h := newHarness(t, testDocument())
	h.fillWithLent()
	h.apply(StoreChanged{Unavailable: true})
	decisions := h.submit("gang", "unions", "weighting", rackShape(16))
	none[Stopped](t, decisions)
	if len(all[Stopped](h.submit("lookup", "researchers", "lookup", workerShape(1)))) != 1 {
		t.Fatal("urgent idempotent jobs must start without a record")
	}
	if len(all[Stopped](h.after(time.Minute, StoreChanged{Unavailable: false}))) == 0 {
		t.Fatal("the gang must reclaim its shape once it can be recorded")
	}
}

func TestAGangBeyondItsGuaranteeIsNotStarvedBySmallJobs(t *testing.T) {
	h := newHarness(t, testDocument())
	h.fillWithLent()
	h.submit("gang", "researchers", "weighting", rackShape(16))
	started := false
	for i := range 40 {
		id := fmt.Sprintf("lent-%02d", i%16)
		view, ok := h.s.Job(id)
		var decisions []Decision
		if ok && view.Phase == "running" {
			decisions = h.after(10*time.Second, AttemptFinished{ID: id, Attempt: view.Attempt, Outcome: OutcomeSucceeded})
		}
		decisions = append(decisions, h.submit(fmt.Sprintf("stream-%02d", i), "researchers", "imputation", workerShape(4))...)
		for _, s := range all[Stopped](decisions) {
			h.after(time.Second, AttemptStopped{ID: s.ID, Attempt: s.Attempt})
		}
		if view, _ := h.s.Job("gang"); view.Phase != "waiting" {
			started = true
			break
		}
	}
	if !started {
		t.Fatal("the gang is still waiting behind a stream of small jobs")
	}
}

func TestAWorkerThatFailsEverythingIsQuarantinedAndProbedBack(t *testing.T) {
	h := newHarness(t, testDocument())
	bad := ""
	for i := range 3 {
		d := h.run(fmt.Sprintf("job-%d", i), "researchers", "imputation", workerShape(1))
		if bad == "" {
			bad = d.Members[0].Worker
		}
		if d.Members[0].Worker != bad {
			t.Fatalf("job %d was placed on %s, want best fit to choose %s", i, d.Members[0].Worker, bad)
		}
	}
	var decisions []Decision
	for i := range 3 {
		decisions = h.after(time.Millisecond, AttemptFinished{ID: fmt.Sprintf("job-%d", i), Attempt: 1, Outcome: OutcomeFailed, Worker: bad})
	}
	if d := find[WorkerChanged](t, decisions); d.Worker != bad || d.Usable {
		t.Fatalf("decided %+v, want %s unusable", d, bad)
	}
	for _, d := range all[Started](h.after(minQuarantine-time.Second, Ticked{})) {
		if d.Members[0].Worker == bad {
			t.Fatalf("started %+v on the quarantined worker", d)
		}
	}
	h.after(time.Second, Ticked{})
	probe := find[Started](t, h.submit("probe", "researchers", "imputation", workerShape(1)))
	if probe.Members[0].Worker != bad || probe.Reason.Rule != RuleProbe {
		t.Fatalf("started %+v, want a probe on %s", probe, bad)
	}
	h.apply(AttemptStarted{ID: "probe", Attempt: 1})
	back := find[WorkerChanged](t, h.after(time.Second, AttemptFinished{ID: "probe", Attempt: 1, Outcome: OutcomeSucceeded}))
	if !back.Usable {
		t.Fatalf("decided %+v, want the worker usable", back)
	}
}

func TestAPoisonousJobEndsWithItsOwnFault(t *testing.T) {
	h := newHarness(t, testDocument())
	d := find[Started](t, h.submit("poison", "researchers", "lookup", workerShape(1)))
	for {
		decisions := h.after(time.Second, AttemptFinished{ID: "poison", Attempt: d.Attempt, Outcome: OutcomeFailed, Worker: d.Members[0].Worker})
		if ended := all[Ended](decisions); len(ended) == 1 {
			if ended[0].Reason.Rule != RuleJobAtFault || ended[0].Reason.Count != maxFailedWorkers {
				t.Fatalf("ended %+v, want the job at fault after %d workers", ended[0], maxFailedWorkers)
			}
			return
		}
		again := find[Started](t, h.after(maxRetryDelay, Ticked{}))
		if again.Members[0].Worker == d.Members[0].Worker {
			t.Fatalf("retried on %s, want another worker", d.Members[0].Worker)
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
			h := newHarness(t, testDocument())
			job := Job{ID: "j", Organisation: test.organisation, Class: test.class, Shape: test.shape, MemoryMB: test.memoryMB, Submitted: h.now}
			d := find[Refused](t, h.apply(JobSubmitted{Job: job}))
			if d.Reason.Rule != test.want {
				t.Fatalf("refused for %s, want %s", d.Reason.Rule, test.want)
			}
		})
	}
}

func TestABurstOfOneOrganisationIsBoundedAndDelaysNoOther(t *testing.T) {
	h := newHarness(t, testDocument())
	h.fillWithLent()
	refused := 0
	for i := range 60 {
		refused += len(all[Refused](h.submit(fmt.Sprintf("burst-%d", i), "researchers", "imputation", workerShape(4))))
	}
	if refused != 10 {
		t.Fatalf("refused %d of 60, want those over the limit of 50", refused)
	}
	stopped := find[Stopped](t, h.submit("own", "offices", "imputation", workerShape(1)))
	decisions := h.after(time.Second, AttemptStopped{ID: stopped.ID, Attempt: 1})
	if d := all[Started](decisions); len(d) == 0 || d[0].Job.ID != "own" {
		t.Fatalf("decisions %+v, want the guaranteed job first", decisions)
	}
}

func TestAJobPastItsDeadlineIsNotStarted(t *testing.T) {
	h := newHarness(t, testDocument())
	h.fillWithLent()
	job := Job{ID: "late", Organisation: "researchers", Class: "imputation", Shape: workerShape(4), Submitted: h.now, Deadline: h.now.Add(time.Minute)}
	h.apply(JobSubmitted{Job: job})
	d := find[Ended](t, h.after(2*time.Minute, Ticked{}))
	if d.Outcome != OutcomeExpired || d.Ran != NotRun {
		t.Fatalf("ended %+v, want expired and not run", d)
	}
}

func TestACancelDuringAStartReportsWhetherTheJobRan(t *testing.T) {
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
			h := newHarness(t, testDocument())
			find[Started](t, h.submit("j", "unions", "preview", workerShape(1)))
			find[Stopped](t, h.apply(JobCancelled{ID: "j"}))
			d := find[Ended](t, h.apply(test.event))
			if d.Outcome != test.want || d.Ran != test.ran {
				t.Fatalf("ended %s %s, want %s %s", d.Outcome, d.Ran, test.want, test.ran)
			}
		})
	}
}

func TestLostWorkersBreakGuaranteesByNameInTheDocumentsOrder(t *testing.T) {
	h := newHarness(t, testDocument())
	var broken []GuaranteeChanged
	for i := range 5 {
		broken = append(broken, all[GuaranteeChanged](h.after(time.Second, WorkerLost{ID: fmt.Sprintf("worker-%d", i)}))...)
	}
	if len(broken) == 0 || broken[0].Organisation != "offices" {
		t.Fatalf("announced %+v, want the later organisation's guarantee to break first", broken)
	}
	restored := 0
	for _, w := range testWorkers() {
		for _, d := range all[GuaranteeChanged](h.apply(WorkerReported{Worker: w})) {
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
	h := newHarness(t, testDocument())
	gang := h.run("gang", "unions", "weighting", rackShape(16))
	leaving := testWorkers()[0]
	leaving.ID = gang.Members[0].Worker
	for _, w := range testWorkers() {
		if w.ID == leaving.ID {
			leaving = w
		}
	}
	stopped := find[Stopped](t, h.after(time.Second, WorkerReported{Worker: leaving, Leaving: true}))
	if !stopped.Checkpoint || len(stopped.Members) != 2 {
		t.Fatalf("stopped %+v, want the whole gang at a checkpoint", stopped)
	}
	d := find[Started](t, h.after(time.Second, AttemptStopped{ID: "gang", Attempt: 1, Checkpoint: true}))
	for _, m := range d.Members {
		if m.Worker == leaving.ID {
			t.Fatal("the gang was started on the leaving worker again")
		}
	}
}

func TestMemoryOverItsShareIsThrottledThenStopped(t *testing.T) {
	h := newHarness(t, testDocument())
	d := h.run("greedy", "researchers", "imputation", workerShape(1))
	worker := d.Members[0].Worker
	find[Throttled](t, h.after(time.Second, UsageReported{ID: "greedy", Worker: worker, MemoryMB: 9 << 10}))
	stopped := find[Stopped](t, h.after(time.Second, UsageReported{ID: "greedy", Worker: worker, MemoryMB: 9 << 10}))
	if stopped.Reason.Rule != RuleMemoryStopped {
		t.Fatalf("stopped for %s, want %s", stopped.Reason.Rule, RuleMemoryStopped)
	}
}

func TestCancellingManyJobsEndsEachOnce(t *testing.T) {
	d := testDocument()
	d.Classes[2].Limits.Queued = 5000
	h := newHarness(t, d)
	h.fillWithLent()
	for i := range 3000 {
		h.submit(fmt.Sprintf("wave-%d", i), "researchers", "imputation", workerShape(4))
	}
	ended := 0
	for i := range 3000 {
		list := h.apply(JobCancelled{ID: fmt.Sprintf("wave-%d", i)})
		ended += len(all[Ended](list))
		none[Stopped](t, list)
	}
	if ended != 3000 {
		t.Fatalf("ended %d of 3000", ended)
	}
}

func TestSmallJobsInALargeCellYieldToTheGang(t *testing.T) {
	d := testDocument()
	d.Organisations = d.Organisations[:1]
	d.Organisations[0].Guarantees = []documenter.Guarantee{{Shape: rackShape(32), Count: 2}}
	h := newHarness(t, d)
	for i := range 64 {
		h.run(fmt.Sprintf("small-%02d", i), "unions", "imputation", workerShape(1))
	}
	decisions := h.submit("gang", "unions", "weighting", rackShape(32))
	stopped := all[Stopped](decisions)
	if len(stopped) == 0 {
		t.Fatal("no small job of the organisation was stopped for its gang")
	}
	var last []Decision
	for _, v := range stopped {
		last = append(last, h.after(time.Second, AttemptStopped{ID: v.ID, Attempt: v.Attempt})...)
	}
	if s := all[Started](last); len(s) == 0 || s[0].Job.ID != "gang" {
		t.Fatalf("decisions %+v, want the gang to start first", last)
	}
}

func TestARefusedStartIsRetriedOnAnotherWorker(t *testing.T) {
	h := newHarness(t, testDocument())
	first := find[Started](t, h.submit("j", "researchers", "lookup", workerShape(1)))
	refusing := first.Members[0].Worker
	h.apply(AttemptRefused{ID: "j", Attempt: 1, Worker: refusing})
	second := find[Started](t, h.after(refusedDelay, Ticked{}))
	if second.Members[0].Worker == refusing {
		t.Fatalf("the next attempt was on %s again", refusing)
	}
}

func TestAQuarantinedWorkerStaysQuarantinedAfterSilence(t *testing.T) {
	h := newHarness(t, testDocument())
	bad := testWorkers()[0]
	for i := range quarantineFailures {
		id := fmt.Sprintf("job-%d", i)
		d := h.run(id, "researchers", "imputation", workerShape(1))
		if d.Members[0].Worker != bad.ID {
			t.Fatalf("job was placed on %s, want %s", d.Members[0].Worker, bad.ID)
		}
	}
	for i := range quarantineFailures {
		h.apply(AttemptFinished{ID: fmt.Sprintf("job-%d", i), Attempt: 1, Outcome: OutcomeFailed, Worker: bad.ID})
	}
	h.apply(WorkerSilent{ID: bad.ID})
	h.apply(WorkerReported{Worker: bad})
	for _, w := range h.s.View(false).Workers {
		if w.ID == bad.ID && w.State != "quarantined" {
			t.Fatalf("the worker is %s after its silence, want quarantined", w.State)
		}
	}
}

func TestTimersOfEndedJobsAreRemoved(t *testing.T) {
	h := newHarness(t, testDocument())
	for i := range 5000 {
		id := fmt.Sprintf("job-%d", i)
		h.run(id, "researchers", "weighting", workerShape(1))
		h.apply(AttemptFinished{ID: id, Attempt: 1, Outcome: OutcomeSucceeded})
	}
	if n := len(h.s.timers.list); n > 2*maxStaleTimers {
		t.Fatalf("%d timers are left after 5000 jobs ended", n)
	}
}
