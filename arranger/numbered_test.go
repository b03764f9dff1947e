package arranger

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// maxProgressBytes is the size of a row less what the names of a queue and an organisation take.
const maxProgressBytes = 64<<10 - 1<<10

// formsOfProgress returns the forms in which the progress of a job can be recorded.
func formsOfProgress(a *Arranger, id string) map[string]Progress {
	return map[string]Progress{"named": a.Progress(id), "numbered": a.NumberedProgress(id), "counted": a.CountedProgress(id)}
}

// decoded returns the progress as the next owner reads it.
func decoded(t *testing.T, p Progress) (Progress, int) {
	t.Helper()
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var next Progress
	if err := json.Unmarshal(data, &next); err != nil {
		t.Fatal(err)
	}
	return next, len(data)
}

// An owner that resumes a job from any form knows the same of its tasks, but for what the counted form leaves out.
func TestProgressIsTheSameInEachForm(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 6)) //nolint:gosec // Tests need repeatable numbers.
		h := newHarness(t, 1, 2)
		h.options.RunBase = 1 << 20
		spec := jobOf("job", 1, single(1+random.IntN(20), 1), gang(2, 1), single(1+random.IntN(3), 1))
		spec.Occurrences, spec.FirstDue, spec.Interval = 1+random.IntN(4), start, time.Second
		spec.Steps[2].After = []int{0}
		h.AddJob(h.now.Add(time.Duration(random.IntN(5))*time.Second), spec, Progress{}, false)
		j := h.jobs["job"]
		for _, s := range j.stages {
			done := random.IntN(3)
			for i, task := range s.tasks {
				task.done = done == 2 || done == 1 && !s.step.Gang && random.IntN(2) == 0
				if task.done {
					s.unfinished--
					continue
				}
				for run := range random.IntN(3) {
					task.failedRuns = append(task.failedRuns, int64(100*i+run))
				}
				if random.IntN(4) == 0 {
					task.crashes, s.suspects = []string{"w@1", "x@2"}, s.suspects+1
				}
			}
		}
		for name, p := range formsOfProgress(h.Arranger, "job") {
			p, _ = decoded(t, p)
			next := newHarness(t, 1, 2)
			next.options.RunBase = 1 << 21
			next.AddJob(start, spec, p, true)
			restored := next.jobs["job"]
			if restored.created < j.created && slices.ContainsFunc(j.stages[restored.created*len(spec.Steps):], func(s *stage) bool { return s.unfinished < len(s.tasks) }) {
				t.Fatalf("seed %d, %s: %d occurrences, want %d", seed, name, restored.created, j.created)
			}
			for i, s := range restored.stages {
				before := j.stages[i]
				if s.unfinished != before.unfinished || s.suspects != before.suspects {
					t.Fatalf("seed %d, %s, stage %d: %d unfinished and %d suspects, want %d and %d", seed, name, i, s.unfinished, s.suspects, before.unfinished, before.suspects)
				}
				for k, task := range s.tasks {
					if was := before.tasks[k]; task.done != was.done || task.failures() != was.failures() || len(task.crashes) != len(was.crashes) {
						t.Fatalf("seed %d, %s, task %s: done %t, %d failures, %d crashes, want %t, %d, %d", seed, name, task.label(),
							task.done, task.failures(), len(task.crashes), was.done, was.failures(), len(was.crashes))
					}
				}
			}
		}
	}
}

// review/6: nothing limited the size of a job's progress.
func TestTheCountedFormOfProgressHasALimit(t *testing.T) {
	const tasks, workers = 20_000, 1_100
	for _, occurrences := range []int{1, 10, tasks} {
		t.Run(fmt.Sprintf("%d occurrences", occurrences), func(t *testing.T) {
			h := newHarness(t, 0, 0)
			for i := range workers {
				h.addWorker(fmt.Sprintf("worker-%d-%s", i, strings.Repeat("x", 40)), fmt.Sprintf("r%d", i/12))
			}
			spec := jobOf("job", 1, single(tasks/occurrences, 1))
			spec.Occurrences, spec.FirstDue = occurrences, start
			h.AddJob(h.now, spec, Progress{}, false)
			h.confirmStarts(h.planAfter(0))
			for _, s := range h.jobs["job"].stages {
				for i, task := range s.tasks {
					if i%2 == 1 {
						task.done = true
						s.unfinished--
						continue
					}
					task.failedRuns, task.crashes = []int64{1 << 40, 1<<40 + 1}, []string{"worker@1700000000000", "worker@1700000000001"}
					task.checkpoint = "00000bb87a21d94b"
				}
			}
			p, size := decoded(t, h.CountedProgress("job"))
			if size > maxProgressBytes {
				t.Errorf("%d bytes, want at most %d", size, maxProgressBytes)
			}
			if len(p.Workers) == 0 && !p.WorkersUnknown {
				t.Error("no workers recorded")
			}
			if _, size := decoded(t, h.Progress("job")); size <= maxProgressBytes {
				t.Errorf("the named form has %d bytes, so that this test shows nothing", size)
			}
		})
	}
}

// The end of a failed run that a previous owner may have counted is not counted again.
func TestFailuresThatWereOnlyCountedAreNotCountedTwice(t *testing.T) {
	for _, step := range []Step{single(1, 1), gang(2, 1)} {
		h := newHarness(t, 1, 2)
		h.AddJob(h.now, jobOf("job", 1, step), Progress{}, false)
		o := h.planAfter(0)
		h.confirmStarts(o)
		failed := o.Starts[0]
		h.endRun(failed.Worker, failed.Task, failed.Run, EndedFailed)
		p, _ := decoded(t, h.CountedProgress("job"))
		next := newHarness(t, 1, 2)
		next.options.RunBase = 1 << 20
		next.AddJob(start, jobOf("job", 1, step), p, true)
		next.endRun(failed.Worker, failed.Task, failed.Run, EndedFailed)
		if got := next.jobs["job"].stages[0].tasks[0].failures(); got != 1 {
			t.Errorf("gang %t: %d failures, want 1", step.Gang, got)
		}
		o = next.planAfter(time.Second)
		next.confirmStarts(o)
		if len(o.Starts) == 0 {
			t.Fatalf("gang %t: the task is not started again", step.Gang)
		}
		next.endNumbers[o.Starts[0].Worker] = 10
		next.endRun(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, EndedFailed)
		if got := next.jobs["job"].stages[0].tasks[0].failures(); got != 2 {
			t.Errorf("gang %t: %d failures after another one, want 2", step.Gang, got)
		}
	}
}

// The record of a job whose workers are not known says so until all workers have reported.
func TestUnknownWorkersStayUnknownForTheNextOwner(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.options.WorkersRecorded = true
	h.ExpectReport("silent", h.now.Add(10*time.Second))
	h.AddJob(h.now, jobOf("job", 1, single(1, 1)), Progress{State: Running, WorkersUnknown: true}, true)
	for name, p := range formsOfProgress(h.Arranger, "job") {
		if p, _ := decoded(t, p); !p.WorkersUnknown {
			t.Errorf("%s: the workers are recorded as known", name)
		}
	}
	h.TakeDirtyJobs()
	h.planAfter(11 * time.Second)
	h.planAfter(time.Second)
	if p := h.Progress("job"); p.WorkersUnknown || !slices.Contains(h.TakeDirtyJobs(), "job") {
		t.Errorf("unknown %t once all leases have expired, or not to be written", p.WorkersUnknown)
	}
}

// A field of Progress that a form leaves out is lost with a change of the owner.
func TestFormsOfProgressRecordEachField(t *testing.T) {
	wanted := map[string][]string{
		"named":    {"State", "Done", "Tasks", "Workers", "Confirmed", "WorkersUnknown"},
		"numbered": {"State", "DoneTasks", "Tasks", "Workers", "Confirmed", "WorkersUnknown"},
		// Without confirmed runs a crash is blamed on nobody.
		"counted": {"State", "DoneTasks", "Counts", "Workers", "WorkersUnknown"},
	}
	h := newHarness(t, 1, 1)
	h.AddJob(h.now, jobOf("job", 1, single(3, 1)), Progress{}, true)
	o := h.planAfter(0)
	h.confirmStarts(o)
	h.endRun(o.Starts[0].Worker, o.Starts[0].Task, o.Starts[0].Run, EndedDone)
	h.endRun(o.Starts[1].Worker, o.Starts[1].Task, o.Starts[1].Run, EndedFailed)
	h.ExpectReport("silent", h.now.Add(time.Minute))
	h.jobs["job"].workersUnknown = true
	h.jobs["job"].stages[0].tasks[2].place.requestedAt = time.Time{}
	recorded := map[string]bool{}
	for name, p := range formsOfProgress(h.Arranger, "job") {
		var got []string
		v := reflect.ValueOf(p)
		for i := range v.NumField() {
			if !v.Field(i).IsZero() {
				got = append(got, v.Type().Field(i).Name)
				recorded[v.Type().Field(i).Name] = true
			}
		}
		if slices.Sort(got); !slices.Equal(got, slices.Sorted(slices.Values(wanted[name]))) {
			t.Errorf("%s records %v, want %v", name, got, wanted[name])
		}
	}
	if got, want := len(recorded), reflect.TypeFor[Progress]().NumField(); got != want {
		t.Errorf("the forms record %d of %d fields: a new one needs a place in each form", got, want)
	}
}
