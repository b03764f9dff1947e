package arranger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	crashTick = 100 * time.Millisecond
	// crashDowntime is how long a crashed worker is away.
	crashDowntime = 3 * time.Second
	reportEvery   = time.Second
)

// crashRun is a run on a simulated worker.
type crashRun struct {
	order       StartOrder
	began, ends time.Time
}

func (r crashRun) report(now time.Time) RunReport {
	return RunReport{Task: r.order.Task.String(), Run: r.order.Run, Percent: int(100 * now.Sub(r.began) / r.ends.Sub(r.began))}
}

// crashWorld simulates workers that tasks and other causes crash.
type crashWorld struct {
	*harness
	random *rand.Rand
	// crashAfter is how long after its start a deadly task crashes its worker.
	crashAfter time.Duration
	deadly     map[string]bool
	runs       map[string][]crashRun
	incarnations,
	ends map[string]int64
	backAt map[string]time.Time
	// crashes counts the crashes by each task, late its starts after the third, and lostUnder the workers that crashed while they ran it.
	crashes, late, lostUnder map[string]int
}

func newCrashWorld(t *testing.T, seed uint64) *crashWorld {
	t.Helper()
	w := &crashWorld{
		harness: newHarness(t, 4, 6), random: rand.New(rand.NewPCG(seed, 31)), deadly: map[string]bool{}, runs: map[string][]crashRun{},
		incarnations: map[string]int64{}, ends: map[string]int64{}, backAt: map[string]time.Time{}, crashes: map[string]int{}, late: map[string]int{}, lostUnder: map[string]int{},
	}
	w.crashAfter = []time.Duration{0, 0, 500 * time.Millisecond, 2 * time.Second}[w.random.IntN(4)]
	for _, worker := range w.sortedWorkers {
		w.incarnations[worker.ID] = 1
	}
	return w
}

// crash ends a worker: its runs are lost, and it does not answer until it is back.
func (w *crashWorld) crash(id string) {
	if _, down := w.backAt[id]; down {
		return
	}
	w.backAt[id] = w.now.Add(crashDowntime)
	lost := w.runs[id]
	w.runs[id] = nil
	w.SetReachable(w.now, id, false)
	for _, run := range lost {
		w.lostUnder[run.order.Task.String()]++
		if run.order.Gang {
			w.breakGang(run)
		}
	}
}

// crashUnnoticed ends a worker that the owner takes for reachable until it does not answer a start.
func (w *crashWorld) crashUnnoticed(id string) {
	w.crash(id)
	w.SetReachable(w.now, id, true)
}

// breakGang ends the other members of a gang that has lost a run.
func (w *crashWorld) breakGang(lost crashRun) {
	for _, id := range w.ids() {
		w.endRuns(id, EndedInterrupted, func(r crashRun) bool {
			return r.order.Task.Job == lost.order.Task.Job && r.order.Run == lost.order.Run
		})
	}
}

// comeBack lets the next incarnations of crashed workers appear.
func (w *crashWorld) comeBack() {
	for _, id := range w.ids() {
		if at, down := w.backAt[id]; !down || w.now.Before(at) {
			continue
		}
		delete(w.backAt, id)
		info, _ := w.Worker(id)
		w.incarnations[id]++
		info.Incarnation = w.incarnations[id]
		w.ends[id] = 0
		w.SetWorker(w.now, info)
		w.report(id)
	}
}

func (w *crashWorld) ids() []string {
	ids := make([]string, 0, len(w.incarnations))
	for id := range w.incarnations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *crashWorld) report(id string) {
	r := Report{Worker: id, RequestedAt: w.now}
	for _, run := range w.runs[id] {
		r.Running = append(r.Running, run.report(w.now))
	}
	w.HandleReport(w.now, r)
}

// carryOut carries out the orders of a plan.
func (w *crashWorld) carryOut(o Orders) {
	for _, stop := range o.Stops {
		w.endRuns(stop.Worker, EndedInterrupted, func(r crashRun) bool { return r.order.Task.String() == stop.Task && r.order.Run == stop.Run })
	}
	for _, start := range o.Starts {
		if _, down := w.backAt[start.Worker]; down {
			w.StartOutcomeUnknown(start.Task, start.Run)
			continue
		}
		task := start.Task.String()
		if w.crashes[task] >= 3 {
			if w.late[task]++; w.late[task] == 3 {
				w.t.Fatalf("%s started three times more after it had crashed three workers", task)
			}
		}
		w.runs[start.Worker] = append(w.runs[start.Worker], crashRun{start, w.now, w.now.Add(4*time.Second + time.Duration(w.random.IntN(4000))*time.Millisecond)})
		w.StartConfirmed(w.now, start.Task, start.Run)
		if w.deadly[start.Task.Job] && start.Task.Index == 0 && w.crashAfter == 0 {
			w.crashes[task]++
			w.crash(start.Worker)
		}
	}
}

// endRuns ends the runs of a worker that match.
func (w *crashWorld) endRuns(id string, outcome Outcome, matches func(r crashRun) bool) {
	r := Report{Worker: id, RequestedAt: w.now}
	w.runs[id] = slices.DeleteFunc(w.runs[id], func(run crashRun) bool {
		if !matches(run) {
			return false
		}
		w.ends[id]++
		r.Ended = append(r.Ended, EndReport{Number: w.ends[id], Task: run.order.Task.String(), Run: run.order.Run, Outcome: outcome})
		return true
	})
	if len(r.Ended) == 0 {
		return
	}
	for _, run := range w.runs[id] {
		r.Running = append(r.Running, run.report(w.now))
	}
	w.HandleReport(w.now, r)
}

// step advances the time by one tick.
func (w *crashWorld) step(i int) {
	w.now = w.now.Add(crashTick)
	for _, id := range w.ids() {
		for _, run := range slices.Clone(w.runs[id]) {
			if w.crashAfter > 0 && w.deadly[run.order.Task.Job] && run.order.Task.Index == 0 && w.now.Sub(run.began) >= w.crashAfter {
				w.crashes[run.order.Task.String()]++
				w.crash(id)
				break
			}
		}
		if _, down := w.backAt[id]; down {
			continue
		}
		w.endRuns(id, EndedDone, func(r crashRun) bool { return !w.now.Before(r.ends) })
		if (i+int(w.random.Uint32()))%int(reportEvery/crashTick) == 0 {
			w.report(id)
		}
	}
	w.comeBack()
	w.Plan(w.now)
	if err := w.Check(); err != nil {
		w.t.Fatal(err)
	}
	w.carryOut(w.TakeOrders())
}

// Each crash counted against each run on the worker would give up the work beside the cause.
func TestOnlyTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	const seeds, ticks, jobs = 100, 900, 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newCrashWorld(t, seed)
			for i := range ticks {
				if i%15 == 0 && i/15 < jobs {
					id := fmt.Sprintf("%016x", i)
					w.deadly[id] = w.random.IntN(8) == 0
					step := single(1+w.random.IntN(8), 1+w.random.IntN(2))
					if w.random.IntN(3) == 0 {
						step = gang(2+w.random.IntN(4), 2)
					}
					w.AddJob(w.now, jobOf(id, w.random.IntN(3), step), Progress{}, false)
				}
				switch cause := w.random.IntN(120); {
				case i >= ticks/3*2:
					// Nothing but tasks crashes workers.
				case cause == 0:
					w.crash(w.ids()[w.random.IntN(len(w.incarnations))])
				case cause == 1 && w.random.IntN(3) == 0:
					rack := w.random.IntN(4)
					for j := range 6 {
						w.crash(fmt.Sprintf("w%d-%d", rack, j))
					}
				}
				w.step(i)
			}
			for _, id := range slices.Sorted(maps.Keys(w.deadly)) {
				state := w.Progress(id).State
				if w.deadly[id] && state != Failed || !w.deadly[id] && state != Succeeded {
					t.Errorf("job %s, which crashes workers: %t, is %s, after %d crashes", id, w.deadly[id], state, w.crashes[id+".0.0.0"])
				}
			}
		})
	}
}

// A start that a crashed worker had not answered counted as a crash under its task, so that waves of crashes gave up jobs that had run on none of
// the workers.
func TestJobsAreGivenUpOnlyIfWorkersAreLostUnderThem(t *testing.T) {
	const (
		seeds, ticks, jobs = 60, 900, 60
		// mayGiveUp is the number of workers that may be lost under a task before its job may be given up.
		mayGiveUp = 2
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newCrashWorld(t, seed)
			for i := range ticks {
				if i%10 == 0 && i/10 < jobs {
					w.AddJob(w.now, jobOf(fmt.Sprintf("%016x", i), w.random.IntN(3), single(1+w.random.IntN(8), 1+w.random.IntN(2))), Progress{}, false)
				}
				if i%20 == 0 {
					for _, id := range w.ids() {
						if w.random.IntN(4) == 0 {
							w.crashUnnoticed(id)
						}
					}
				}
				w.step(i)
			}
			for i := range jobs {
				id := fmt.Sprintf("%016x", 10*i)
				most := 0
				for task, count := range w.lostUnder {
					if strings.HasPrefix(task, id) {
						most = max(most, count)
					}
				}
				if w.Progress(id).State == Failed && most < mayGiveUp {
					t.Errorf("job %s is failed after %d workers were lost under one of its tasks", id, most)
				}
			}
		})
	}
}

// A rack that crashed while the owner changed counted as several crashes under each waiting task of a job that had run there.
func TestCrashesBetweenOwnersCountOnceForATask(t *testing.T) {
	for _, test := range []struct {
		workers, want int
	}{{1, 1}, {2, 1}, {6, 0}} {
		t.Run(fmt.Sprintf("%d workers", test.workers), func(t *testing.T) {
			h := newHarness(t, 0, 0)
			var ids []string
			for i := range 12 {
				id := fmt.Sprintf("w0-%d", i)
				h.SetWorker(h.now, Worker{ID: id, Incarnation: 1, Service: "tabulator", Rack: "r1-0", Labels: []string{"a"}, Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}})
				ids = append(ids, id)
			}
			confirmed := map[string][]string{}
			for i, id := range ids[:test.workers] {
				confirmed[id+"@1"] = []string{fmt.Sprintf("0.0.%d", i)}
			}
			h.AddJob(h.now, jobOf("job", 1, single(8, 4)), Progress{State: Running, Workers: ids[:test.workers], Confirmed: confirmed}, true)
			for _, id := range ids[:test.workers] {
				info, _ := h.Worker(id)
				info.Incarnation = 2
				h.SetWorker(h.now, info)
			}
			for _, id := range ids {
				h.HandleReport(h.now, Report{Worker: id, RequestedAt: h.now})
			}
			h.planAfter(0)
			p := h.Progress("job")
			if p.State != Running {
				t.Fatalf("the job is %s", p.State)
			}
			for i := range 8 {
				want := 0
				if i < test.workers {
					want = test.want
				}
				if got := len(p.Tasks[fmt.Sprintf("0.0.%d", i)].Crashes); got != want {
					t.Errorf("task %d is suspected of %d crashes, want %d", i, got, want)
				}
			}
		})
	}
}

// The runs on a worker may have been confirmed by several of its incarnations.
func TestCrashesOfEachIncarnationAreInherited(t *testing.T) {
	h := newHarness(t, 0, 0)
	w := Worker{ID: "w", Incarnation: 2, Service: "tabulator", Rack: "r1-0", Labels: []string{"a"}, Capacity: Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}}
	h.SetWorker(h.now, w)
	h.AddJob(h.now, jobOf("job", 1, single(4, 1)), Progress{
		State: Running, Workers: []string{"w"},
		Confirmed: map[string][]string{"w@1": {"0.0.0"}, "w@2": {"0.0.1"}, "w@3": {"0.0.2"}, "@": {"0.0.3"}, "none@1": {"0.0.3"}},
	}, true)
	w.Incarnation = 3
	h.SetWorker(h.now, w)
	h.HandleReport(h.now, Report{Worker: "w", RequestedAt: h.now})
	h.planAfter(0)
	for i, want := range []string{"w@1", "w@2", "", ""} {
		crashes := h.Progress("job").Tasks[fmt.Sprintf("0.0.%d", i)].Crashes
		if got := strings.Join(crashes, " "); got != want {
			t.Errorf("task %d is suspected of %q, want %q", i, got, want)
		}
	}
}

// Crashes with other causes would add up over the life of a long-running task.
func TestASuspectedTaskThatRunsOnIsCleared(t *testing.T) {
	h := newHarness(t, 1, 4)
	step := single(1, 1)
	step.LongRunning = true
	h.AddJob(h.now, jobOf("job", 1, step), Progress{}, false)
	for i := range int64(5) {
		o := h.planAfter(time.Second)
		if len(o.Starts) != 1 {
			t.Fatalf("%d starts after %d crashes, want one", len(o.Starts), i)
		}
		h.confirmStarts(o)
		start := o.Starts[0]
		for range 12 {
			h.now = h.now.Add(time.Second)
			h.HandleReport(h.now, Report{Worker: start.Worker, RequestedAt: h.now, Running: []RunReport{{Task: start.Task.String(), Run: start.Run, Percent: 100}}})
		}
		if crashes := h.Progress("job").Tasks["0.0.0"].Crashes; len(crashes) > 0 {
			t.Fatalf("suspected of %v after running for 12 s", crashes)
		}
		// The next run crashes its worker at once, by chance.
		h.WorkerReplaced(h.now, start.Worker, "restarted")
		o = h.planAfter(0)
		h.confirmStarts(o)
		h.WorkerReplaced(h.now, o.Starts[0].Worker, "restarted")
		for _, w := range []string{start.Worker, o.Starts[0].Worker} {
			h.addWorker(w, "r1-0")
		}
	}
	if state := h.Progress("job").State; state != Running {
		t.Errorf("the job is %s", state)
	}
}
