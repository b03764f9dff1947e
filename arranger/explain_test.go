package arranger

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// stateDump writes all values that are reachable from an arranger, each pointer and map once.
type stateDump struct {
	strings.Builder

	seen map[uintptr]bool
}

func dumpState(a *Arranger) string {
	d := &stateDump{seen: map[uintptr]bool{}}
	d.write(reflect.ValueOf(a))
	return d.String()
}

func (d *stateDump) write(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Map:
		fmt.Fprintf(d, "%x", v.Pointer())
		if v.IsNil() || d.seen[v.Pointer()] {
			return
		}
		d.seen[v.Pointer()] = true
		if v.Kind() == reflect.Pointer {
			d.write(v.Elem())
			return
		}
		keys := v.MapKeys()
		slices.SortFunc(keys, func(x, y reflect.Value) int { return strings.Compare(fmt.Sprint(x), fmt.Sprint(y)) })
		for _, key := range keys {
			fmt.Fprintf(d, "\n%v:", key)
			d.write(v.MapIndex(key))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprintf(d, "\n%s ", v.Type().Field(i).Name)
			d.write(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			d.write(v.Index(i))
			d.WriteByte(',')
		}
	case reflect.Interface:
		d.write(v.Elem())
	case reflect.Func, reflect.Chan, reflect.UnsafePointer, reflect.Invalid:
	default:
		fmt.Fprint(d, v)
	}
}

// explainedLoad is a full fleet with waiting work, learned run times, observed speeds, workers in quarantine and one that has not reported.
func explainedLoad(t *testing.T, logged func()) *harness {
	t.Helper()
	h := newHarness(t, 2, 3)
	h.options.Log = func(string, ...any) { logged() }
	h.learnQueue("q", 4*time.Second, 6*time.Second)
	h.SetWorker(h.now, Worker{ID: "silent", Incarnation: 1, Service: "tabulator", Rack: "r1-0", Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}})
	h.ExpectReport("silent", h.now.Add(10*time.Millisecond))
	for i, j := range []Job{jobOf("wide", 2, single(30, 1)), jobOf("large", 1, gang(5, 8)), jobOf("other", 2, single(40, 2))} {
		j.Accepted, j.Organisation = h.now, fmt.Sprint("organisation-", i%2)
		h.AddJob(h.now, j, Progress{}, false)
	}
	h.confirmStarts(h.planAfter(time.Millisecond))
	for second := range 3 {
		h.now = h.now.Add(time.Second)
		for i, w := range h.sortedWorkers[1:] {
			r := Report{Worker: w.ID, RequestedAt: h.now}
			for _, p := range w.places {
				r.Running = append(r.Running, RunReport{Task: p.task.label(), Run: p.run, Percent: 10 * (second + 1) * (1 + i%2)})
			}
			h.HandleReport(h.now, r)
		}
	}
	for i, id := range []string{"w1-0", "w1-1", "w1-2"} {
		// One more than quarantine may exclude.
		h.workers[id].health.quarantinedAt, h.workers[id].health.quarantinedUntil = h.now.Add(time.Duration(i-9)*time.Second), h.now.Add(time.Minute)
	}
	// Its estimates have not been used by any plan.
	h.AddJob(h.now, jobOf("new", 1, gang(2, 8)), Progress{}, false)
	return h
}

// TestAnExplanationChangesNothing guards against orders, log lines, estimates, ratings, readmitted workers or a reserve that follow from a question.
func TestAnExplanationChangesNothing(t *testing.T) {
	lines := 0
	asked, other := explainedLoad(t, func() { lines++ }), explainedLoad(t, func() {})
	before, linesBefore := dumpState(asked.Arranger), lines
	at := asked.now.Add(1500 * time.Millisecond)
	for i, j := range []Job{
		jobOf("placement", 0, gang(3, 8)), jobOf("placement", 1, gang(5, 8)), jobOf("placement", 2, single(9, 1), single(500, 1)), jobOf("placement", 0, single(9, 3), gang(2, 8)),
	} {
		if e := asked.Explain(at, j); len(e.Steps) != len(j.Steps) {
			t.Errorf("job %d: %d steps explained, want %d", i, len(e.Steps), len(j.Steps))
		}
	}
	if after := dumpState(asked.Arranger); after != before || lines != linesBefore {
		old, changed := strings.Split(before, "\n"), strings.Split(after, "\n")
		for i := range min(len(old), len(changed)) {
			if old[i] != changed[i] {
				t.Fatalf("state changed, line %d: %s is now %s", i, old[i], changed[i])
			}
		}
		t.Fatalf("state changed: %d lines are now %d, or %d log lines were written", len(old), len(changed), lines-linesBefore)
	}
	for range 5 {
		if x, y := fmt.Sprint(asked.planAfter(400*time.Millisecond)), fmt.Sprint(other.planAfter(400*time.Millisecond)); withoutPointers(x) != withoutPointers(y) {
			t.Fatalf("orders %s, want %s as without the question", x, y)
		}
	}
}

// withoutPointers removes the addresses of estimates from printed orders.
func withoutPointers(orders string) string {
	fields := strings.Fields(orders)
	return strings.Join(slices.DeleteFunc(fields, func(f string) bool { return strings.HasPrefix(f, "0x") }), " ")
}

// TestAnExplanationAgreesWithThePlan guards against an answer that the next plan does not carry out.
func TestAnExplanationAgreesWithThePlan(t *testing.T) {
	for _, test := range []struct {
		name string
		job  Job
		// running is the number of tasks that request whole workers; five of six start on the eight workers, since the others are kept for urgent work.
		running  int
		placed   int
		claimed  bool
		preempts int
		reason   waitReason
	}{
		{"gang fits", jobOf("j", 1, gang(3, 8)), 2, 3, false, 0, ""},
		{"gang has no room", jobOf("j", 1, gang(4, 8)), 6, 0, false, 0, waitCapacity},
		{"gang exceeds the fleet", jobOf("j", 1, gang(9, 8)), 2, 0, false, 0, waitExceedsFleet},
		{"urgent gang preempts", jobOf("j", 0, gang(4, 8)), 6, 4, true, 1, ""},
		{"reserve leaves room for one of the tasks", jobOf("j", 2, single(5, 4)), 6, 1, false, 0, waitReserve},
		{"some single tasks have room", jobOf("j", 2, Step{Count: 30, Need: Resources{CPU: 20000}, Estimate: time.Second}), 6, 8, false, 0, waitCapacity},
		{"limit per worker", jobOf("j", 2, Step{Count: 5, Need: Resources{CPU: 1000}, Estimate: time.Second, MaxPerWorker: 1, Requires: "r1-0"}), 6, 4, false, 0, waitCapacity},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, 4)
			h.AddJob(h.now, jobOf("running", 2, single(test.running, 8)), Progress{}, false)
			h.confirmStarts(h.planAfter(0))
			h.now = h.now.Add(time.Second)
			test.job.Accepted = h.now
			s := h.Explain(h.now, test.job).Steps[0]
			if s.Placed != test.placed || s.Claimed != test.claimed || s.Preempted != test.preempts || s.Reason != string(test.reason) {
				t.Fatalf("got %+v", s)
			}
			if s.Placed > 0 && (s.Forecast == nil || s.Estimate.Source != "declared") {
				t.Errorf("no forecast: %+v", s)
			}
			h.AddJob(h.now, test.job, Progress{}, false)
			o := h.planAfter(0)
			starts := map[string]int{}
			for _, start := range o.Starts {
				starts[start.Worker]++
			}
			if test.claimed {
				starts = map[string]int{}
				for _, group := range h.claims {
					for _, p := range group {
						starts[p.worker.ID]++
					}
				}
			}
			want := map[string]int{}
			for _, w := range s.Workers {
				want[w.Worker] = w.Tasks
			}
			if !reflect.DeepEqual(starts, want) || len(o.Stops) != s.Preempted {
				t.Errorf("plan placed %v with %d stops, explained %v with %d", starts, len(o.Stops), want, s.Preempted)
			}
		})
	}
}

// TestAnExplanationCountsWhatPrecedesAndWhatIsExcluded guards against a job that seems to be first, and workers that are missing without a cause.
func TestAnExplanationCountsWhatPrecedesAndWhatIsExcluded(t *testing.T) {
	h := explainedLoad(t, func() {})
	e := h.Explain(h.now, jobOf("placement", 2, single(1, 8)))
	if s := e.Steps[0]; s.Placed != 0 || s.Reason != string(waitExcluded) || s.Estimate.Source != "corrected" || s.Estimate.Samples == 0 {
		t.Errorf("got %+v, want room on excluded workers only, and learned run times", s)
	}
	if e.Exclusions.Workers != 7 || e.Exclusions.NotReported != 1 || e.Exclusions.Quarantined != 2 {
		t.Errorf("got %+v, want one of seven workers that has not reported and two in quarantine, the limit of the service", e.Exclusions)
	}
	h = newHarness(t, 1, 1)
	for i := range 4 {
		h.AddJob(h.now, jobOf(fmt.Sprint("waiting-", i), 1, single(1, 8)), Progress{}, false)
	}
	h.confirmStarts(h.planAfter(0))
	for priority, want := range []int{0, 3, 3} {
		if s := h.Explain(h.now, jobOf("placement", priority, single(1, 8))).Steps[0]; s.Preceding != want {
			t.Errorf("priority %d: %d units precede it, want %d", priority, s.Preceding, want)
		}
	}
	h.startsHeld = true
	if s := h.Explain(h.now, jobOf("placement", 0, gang(1, 1))).Steps[0]; s.Placed != 0 || s.Reason != string(waitZones) {
		t.Errorf("got %+v while starts are held", s)
	}
}
