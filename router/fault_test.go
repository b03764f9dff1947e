package router

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/spreader"
	"github.com/snipelift/snipelift/storer"
)

// urgentBound is the maximum latency of urgent work under any fault.
const urgentBound = 10 * time.Second

func TestAnyEntryAnswersWhatAnotherTook(t *testing.T) {
	withFleet(t, 3, 1, func(_ *testing.T, f *fleet) {
		w := gang("gang", 30*time.Second)
		f.mustAccept(f.other(), w)
		for _, e := range f.entries {
			f.mustSucceed(e, w, time.Minute)
		}
		f.mustRunOnce(w)
	})
}

func TestUrgentWorkIsAnsweredInTimeAfterOwnerFailure(t *testing.T) {
	for _, test := range []struct {
		name string
		down bool
	}{{"with the table up", false}, {"with the table down", true}} {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 3, 2, func(t *testing.T, f *fleet) {
				f.platform.SetFaults(faker.Faults{})
				f.table().SetFaults(faker.Faults{Down: test.down})
				f.mustOwner().isolated.Store(true)
				for i := range 10 {
					if latency := f.urgentLatency(f.other(), fmt.Sprintf("lookup-%d", i)); latency > urgentBound {
						t.Fatalf("lookup %d took %s", i, latency)
					}
				}
			})
		})
	}
}

func TestRunningWorkSurvivesOwnerFailure(t *testing.T) {
	withFleet(t, 3, 3, func(_ *testing.T, f *fleet) {
		long, short, once := gang("long", 5*time.Minute), lookup("short"), preview("once", time.Minute)
		f.mustAccept(f.other(), long)
		f.mustAccept(f.other(), short)
		f.mustAccept(f.other(), once)
		time.Sleep(10 * time.Second)
		f.mustOwner().isolated.Store(true)
		for _, w := range []work{long, short, once} {
			f.mustSucceed(f.other(), w, 10*time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestAnOwnerPausedPastItsLeaseStepsDownAndRepeatsNoWork(t *testing.T) {
	withFleet(t, 3, 4, func(t *testing.T, f *fleet) {
		f.table().SetFaults(faker.Faults{DelayMillis: 400})
		var all []work
		for i := range 6 {
			w := preview(fmt.Sprintf("once-%d", i), 20*time.Second)
			all = append(all, w)
			f.mustAccept(f.other(), w)
		}
		paused := f.mustOwner()
		paused.isolated.Store(true)
		time.Sleep(15 * time.Second)
		if f.owner() == nil {
			t.Fatal("no other entry acquired the lease")
		}
		paused.isolated.Store(false)
		time.Sleep(15 * time.Second)
		if paused.localOwner() != nil && paused != f.owner() {
			t.Fatal("the paused owner still owns the service")
		}
		owners := 0
		for _, e := range f.entries {
			if e.localOwner() != nil {
				owners++
			}
		}
		if owners != 1 {
			t.Fatalf("%d entries own the service", owners)
		}
		for _, w := range all {
			f.mustSucceed(f.other(), w, time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestAnOwnerKilledBetweenReserveAndStartLeavesAllOrNone(t *testing.T) {
	for startsBefore := range 5 {
		t.Run(fmt.Sprintf("after %d of 4 starts", startsBefore), func(t *testing.T) {
			withFleet(t, 3, uint64(10+startsBefore), func(t *testing.T, f *fleet) {
				var mu sync.Mutex
				sent := 0
				f.onStart = func(e *entry) {
					mu.Lock()
					defer mu.Unlock()
					if sent == startsBefore {
						e.isolated.Store(true)
					}
					sent++
				}
				w := gang("gang", time.Minute)
				killed := f.mustOwner()
				f.mustAccept(f.other(), w)
				time.Sleep(time.Second)
				if startsBefore == 4 {
					killed.isolated.Store(true)
				}
				a := f.mustAnswer(f.other(), w, 5*time.Minute)
				f.mustRunOnce(w)
				if startsBefore == 0 || startsBefore == 4 {
					if a.Outcome != scheduler.OutcomeSucceeded {
						t.Fatalf("ended %s: %s", a.Outcome, a.Reason.Sentence())
					}
				}
				if a.Outcome != scheduler.OutcomeSucceeded && a.Ran != scheduler.RanUnknown {
					t.Fatalf("job ended %s with run status %s, want unknown", a.Outcome, a.Ran)
				}
			})
		})
	}
}

func TestAWriteWithALostReplyIsResolvedByItsID(t *testing.T) {
	withFleet(t, 3, 5, func(_ *testing.T, f *fleet) {
		for i := range 12 {
			f.table().SetFaults(faker.Faults{LoseReplies: 1 + i%3})
			w := preview(fmt.Sprintf("once-%d", i), time.Duration(i)*300*time.Millisecond)
			f.mustAccept(f.other(), w)
			f.table().SetFaults(faker.Faults{LoseReplies: 2})
			f.mustSucceed(f.other(), w, time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestTheTableAwayForTenMinutesWithTheOwnerKilledInTheMiddle(t *testing.T) {
	withFleet(t, 5, 6, func(t *testing.T, f *fleet) {
		long := gang("long", 15*time.Minute)
		f.mustAccept(f.other(), long)
		time.Sleep(20 * time.Second)
		f.table().SetFaults(faker.Faults{Down: true})
		for i := range 60 {
			if i == 30 {
				f.mustOwner().isolated.Store(true)
			}
			if latency := f.urgentLatency(f.other(), fmt.Sprintf("lookup-%d", i)); latency > urgentBound {
				t.Fatalf("lookup %d took %s", i, latency)
			}
			time.Sleep(10 * time.Second)
		}
		refused := f.submit(f.other(), preview("refused", time.Second), 5*time.Second)
		if refused.Accepted || refused.Unrecorded || refused.Answer != nil {
			t.Fatalf("job that must be recorded was not refused: %+v", refused)
		}
		f.table().SetFaults(faker.Faults{})
		f.mustSucceed(f.other(), long, 20*time.Minute)
		f.mustRunOnce(long)
		if n := f.starts(preview("refused", time.Second)); n != 0 && !refused.Unknown {
			t.Fatalf("refused job ran %d times", n)
		}
	})
}

func TestALeavingWorkerGetsNoNewWorkWithinThreeSeconds(t *testing.T) {
	withFleet(t, 3, 7, func(t *testing.T, f *fleet) {
		f.workers["worker-0"].SetFaults(faker.Faults{Leaving: true})
		f.workers["worker-1"].SetFaults(faker.Faults{Leaving: true})
		time.Sleep(3 * time.Second)
		for i := range 30 {
			f.mustAccept(f.other(), lookup(fmt.Sprintf("lookup-%d", i)))
		}
		time.Sleep(5 * time.Second)
		for _, name := range []string{"worker-0", "worker-1"} {
			if n := len(f.workers[name].Starts()); n != 0 {
				t.Fatalf("%s is about to leave and got %d jobs", name, n)
			}
		}
	})
}

func TestALostWorkerCostsOnlyWhatRanThere(t *testing.T) {
	withFleet(t, 3, 8, func(_ *testing.T, f *fleet) {
		var all []work
		for i := range 20 {
			w := lookup(fmt.Sprintf("lookup-%d", i))
			w.run = 50 * time.Second
			all = append(all, w)
			f.mustAccept(f.other(), w)
		}
		time.Sleep(5 * time.Second)
		for _, worker := range f.workers {
			if len(worker.Starts()) > 0 {
				worker.SetFaults(faker.Faults{Down: true})
				break
			}
		}
		for _, w := range all {
			f.mustSucceed(f.other(), w, 10*time.Minute)
		}
	})
}

func TestNonIdempotentWorkOnALostWorkerIsNeverSentAgain(t *testing.T) {
	withFleet(t, 3, 9, func(t *testing.T, f *fleet) {
		w := preview("once", 5*time.Minute)
		f.mustAccept(f.other(), w)
		time.Sleep(5 * time.Second)
		for _, worker := range f.workers {
			if worker.Starts()[w.id()] > 0 {
				worker.SetFaults(faker.Faults{Down: true})
			}
		}
		a := f.mustAnswer(f.other(), w, 10*time.Minute)
		if a.Outcome != scheduler.OutcomeUnknown || a.Ran != scheduler.RanUnknown {
			t.Fatalf("ended %s, ran %s; want unknown", a.Outcome, a.Ran)
		}
		f.mustRunOnce(w)
	})
}

func TestLostWorkerRepliesAreResolved(t *testing.T) {
	withFleet(t, 3, 20, func(_ *testing.T, f *fleet) {
		for i := range 10 {
			for _, worker := range f.workers {
				worker.SetFaults(faker.Faults{LoseReplies: 1 + i%3, RepeatAnswers: i%2 == 0})
			}
			w := preview(fmt.Sprintf("once-%d", i), time.Second)
			f.mustAccept(f.other(), w)
			f.mustSucceed(f.other(), w, time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	withFleet(t, 5, 21, func(t *testing.T, f *fleet) {
		w := gang("gang", time.Minute)
		f.mustAccept(f.other(), w)
		for i := range 5 {
			f.network.Blackhole()
			if latency := f.urgentLatency(f.other(), fmt.Sprintf("lookup-%d", i)); latency > urgentBound {
				t.Fatalf("lookup %d took %s", i, latency)
			}
		}
		f.mustSucceed(f.other(), w, 5*time.Minute)
		f.mustRunOnce(w)
	})
}

func TestRacingEditsHaveOneWinnerAndNeverGoBack(t *testing.T) {
	withFleet(t, 3, 22, func(t *testing.T, f *fleet) {
		second := strings.Replace(fleetDocument, `"queued":100,`, `"queued":101,`, 1)
		third := strings.Replace(fleetDocument, `"queued":100,`, `"queued":102,`, 1)
		put := func(e *entry, text, id string) error {
			_, err := e.Document().Put(context.Background(), 1, []byte(text), id, "test")
			return err
		}
		results := make(chan error, 2)
		go func() { results <- put(f.entries[0], second, "edit-a") }()
		go func() { results <- put(f.entries[1], third, "edit-b") }()
		first, last := <-results, <-results
		if (first == nil) == (last == nil) || !errors.Is(errors.Join(first, last), spreader.ErrVersionConflict) {
			t.Fatalf("got %v and %v, want one edit accepted and one version conflict", first, last)
		}
		time.Sleep(3 * time.Second)
		for _, e := range f.entries {
			if v, _ := e.Document().Current(); v.Number != 2 {
				t.Fatalf("%s has version %d, want 2", e.name, v.Number)
			}
			if e.Document().Apply(spreader.Version{Number: 1, Document: mustDecode(t, fleetDocument)}) {
				t.Fatalf("%s reverted to version 1", e.name)
			}
		}
	})
}

func TestAnEditWithALostReplyIsAppliedOnce(t *testing.T) {
	withFleet(t, 3, 23, func(t *testing.T, f *fleet) {
		text := strings.Replace(fleetDocument, `"queued":100,`, `"queued":101,`, 1)
		for range 2 {
			f.table().SetFaults(faker.Faults{LoseReplies: 1})
			v, err := f.entries[1].Document().Put(context.Background(), 1, []byte(text), "edit", "test")
			if err != nil || v.Number != 2 {
				t.Fatalf("got version %d, %v; want 2", v.Number, err)
			}
		}
	})
}

func TestAnEntryStartedDuringATableOutageGetsTheDocumentFromPeers(t *testing.T) {
	withFleet(t, 3, 24, func(t *testing.T, f *fleet) {
		f.putDocument(1, strings.Replace(fleetDocument, `"queued":100,`, `"queued":101,`, 1))
		f.table().SetFaults(faker.Faults{Down: true})
		e := f.addEntry()
		if e.Ready() {
			t.Fatal("the entry is ready before it knows the document")
		}
		time.Sleep(10 * time.Second)
		if v, _ := e.Document().Current(); v.Number != 2 || !e.Ready() {
			t.Fatalf("the entry has version %d and ready is %v, want 2 and true", v.Number, e.Ready())
		}
	})
}

func TestAnIsolatedEntryRefusesWork(t *testing.T) {
	withFleet(t, 3, 25, func(t *testing.T, f *fleet) {
		e := f.other()
		e.isolated.Store(true)
		time.Sleep(spreader.MaxStaleness + time.Second)
		s := f.submit(e, lookup("lookup"), 5*time.Second)
		if s.Accepted || s.Unknown || s.Reason.Rule != scheduler.RuleDocumentUnconfirmed {
			t.Fatalf("got %+v, want a refusal because the document may be stale", s)
		}
	})
}

func TestReplacingAllEntriesUnderLoadLosesAndDoublesNothing(t *testing.T) {
	withFleet(t, 9, 26, func(t *testing.T, f *fleet) {
		var all []work
		for i := range 9 {
			for k := range 4 {
				w := preview(fmt.Sprintf("once-%d-%d", i, k), time.Duration(k)*10*time.Second)
				all = append(all, w)
				f.mustAccept(f.entries[len(f.entries)-1], w)
			}
			old := f.entries[0]
			f.entries = f.entries[1:]
			f.vms = f.vms[:8]
			for _, e := range f.entries {
				f.vms = append(f.vms, vmOf(e))
			}
			old.stop()
			f.startEntry(9 + i)
			if latency := f.urgentLatency(f.entries[0], fmt.Sprintf("lookup-%d", i)); latency > urgentBound {
				t.Fatalf("lookup %d took %s", i, latency)
			}
		}
		for _, w := range all {
			f.mustSucceed(f.entries[0], w, 5*time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestAnOrphanedTaskOfAPreviousOwnerIsStopped(t *testing.T) {
	withFleet(t, 3, 27, func(t *testing.T, f *fleet) {
		w := work{key: "batch", organisation: "researchers", class: "imputation", shape: packer.Shape{Accelerators: 4}, run: 10 * time.Minute}
		f.mustAccept(f.other(), w)
		time.Sleep(time.Second)
		worker := f.firstBusyWorker()
		f.workers[worker].SetFaults(faker.Faults{Down: true})
		f.mustOwner().isolated.Store(true)
		time.Sleep(20 * time.Second)
		f.workers[worker].SetFaults(faker.Faults{})
		time.Sleep(10 * time.Second)
		if n := f.workers[worker].Running(); n != 0 {
			t.Fatalf("%s still runs %d tasks of the previous owner", worker, n)
		}
		f.mustSucceed(f.other(), w, 20*time.Minute)
	})
}

// firstBusyWorker returns the ID of the first worker that runs a task.
func (f *fleet) firstBusyWorker() string {
	f.t.Helper()
	for _, vm := range f.vms {
		if w := f.workers[vm.ID]; w != nil && w.Running() > 0 {
			return vm.ID
		}
	}
	f.t.Fatal("no worker runs a task")
	return ""
}

func TestATimedOutUrgentJobLeavesNoRefusalInTheTable(t *testing.T) {
	withFleet(t, 3, 28, func(t *testing.T, f *fleet) {
		for _, test := range []struct {
			w    work
			want error
		}{{lookup("urgent"), storer.ErrNotFound}, {preview("recorded", time.Second), nil}} {
			s := f.other().resolveTimeout(test.w.record(), true)
			_, err := f.table().Read(context.Background(), recorder.DoneKey(test.w.id()))
			if !errors.Is(err, test.want) || s.Unknown != (test.want != nil) {
				t.Fatalf("%s: got %+v and row %v, want row %v", test.w.key, s, err, test.want)
			}
		}
	})
}

func TestALaterAnswerIsDiscardedAndTheJobClosed(t *testing.T) {
	withFleet(t, 3, 29, func(t *testing.T, f *fleet) {
		w := lookup("late")
		w.run = 5 * time.Second
		f.mustAccept(f.other(), w)
		first := recorder.Answer{Job: w.record().Job, Outcome: scheduler.OutcomeSucceeded, Result: []byte(`"first"`)}
		err := f.table().Write(context.Background(), "first", []storer.Change{
			{Key: recorder.DoneKey(w.id()), Expect: 0, Value: recorder.Encode(first)},
		})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		for _, e := range f.entries {
			if a := f.mustAnswer(e, w, 10*time.Second); string(a.Result) != `"first"` {
				t.Fatalf("%s returned %s, want the answer that was recorded first", e.name, a.Result)
			}
		}
		if _, err := f.table().Read(context.Background(), recorder.OpenKey(w.id())); !errors.Is(err, storer.ErrNotFound) {
			t.Fatalf("the job is still open after its answer: %v", err)
		}
	})
}
