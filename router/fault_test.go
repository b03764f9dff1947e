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

// urgentBound is how long urgent work may wait for its start, whatever happens.
const urgentBound = 10 * time.Second

func TestAnyEntryAnswersWhatAnotherTook(t *testing.T) {
	withFleet(t, 3, 1, func(_ *testing.T, f *fleet) {
		w := gang("gang", 30*time.Second)
		f.accept(f.other(), w)
		for _, e := range f.entries {
			f.mustSucceed(e, w, time.Minute)
		}
		f.mustRunOnce(w)
	})
}

func TestUrgentWorkIsAnsweredInTimeWhenTheOwnerDies(t *testing.T) {
	for _, test := range []struct {
		name string
		down bool
	}{{"with the table up", false}, {"with the table down", true}} {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 3, 2, func(t *testing.T, f *fleet) {
				f.platform.Set(faker.Faults{})
				f.table().Set(faker.Faults{Down: test.down})
				f.mustOwner().cut.Store(true)
				for i := range 10 {
					if took := f.urgent(f.other(), fmt.Sprintf("lookup-%d", i)); took > urgentBound {
						t.Fatalf("lookup %d took %s", i, took)
					}
				}
			})
		})
	}
}

func TestRunningWorkSurvivesTheDeathOfItsOwner(t *testing.T) {
	withFleet(t, 3, 3, func(_ *testing.T, f *fleet) {
		long, short, once := gang("long", 5*time.Minute), lookup("short"), preview("once", time.Minute)
		f.accept(f.other(), long)
		f.accept(f.other(), short)
		f.accept(f.other(), once)
		time.Sleep(10 * time.Second)
		f.mustOwner().cut.Store(true)
		for _, w := range []work{long, short, once} {
			f.mustSucceed(f.other(), w, 10*time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestAnOwnerPausedPastItsLeaseDoesNoHarm(t *testing.T) {
	withFleet(t, 3, 4, func(t *testing.T, f *fleet) {
		f.table().Set(faker.Faults{DelayMillis: 400})
		var all []work
		for i := range 6 {
			w := preview(fmt.Sprintf("once-%d", i), 20*time.Second)
			all = append(all, w)
			f.accept(f.other(), w)
		}
		paused := f.mustOwner()
		paused.cut.Store(true)
		time.Sleep(15 * time.Second)
		if f.owner() == nil {
			t.Fatal("no other entry took over")
		}
		paused.cut.Store(false)
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
				f.beforeStart = func(e *entry) {
					mu.Lock()
					defer mu.Unlock()
					if sent == startsBefore {
						e.cut.Store(true)
					}
					sent++
				}
				w := gang("gang", time.Minute)
				killed := f.mustOwner()
				f.accept(f.other(), w)
				time.Sleep(time.Second)
				if startsBefore == 4 {
					killed.cut.Store(true)
				}
				a := f.answer(f.other(), w, 5*time.Minute)
				f.mustRunOnce(w)
				if startsBefore == 0 || startsBefore == 4 {
					if a.Outcome != scheduler.OutcomeSucceeded {
						t.Fatalf("ended %s: %s", a.Outcome, a.Reason.Sentence())
					}
				}
				if a.Outcome != scheduler.OutcomeSucceeded && a.Ran != scheduler.RanUnknown {
					t.Fatalf("ended %s and said %s", a.Outcome, a.Ran)
				}
			})
		})
	}
}

func TestAWriteWhoseReplyIsLostIsSettledByItsID(t *testing.T) {
	withFleet(t, 3, 5, func(_ *testing.T, f *fleet) {
		for i := range 12 {
			f.table().Set(faker.Faults{LoseReplies: 1 + i%3})
			w := preview(fmt.Sprintf("once-%d", i), time.Duration(i)*300*time.Millisecond)
			f.accept(f.other(), w)
			f.table().Set(faker.Faults{LoseReplies: 2})
			f.mustSucceed(f.other(), w, time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestTheTableAwayForTenMinutesWithTheOwnerKilledInTheMiddle(t *testing.T) {
	withFleet(t, 5, 6, func(t *testing.T, f *fleet) {
		long := gang("long", 15*time.Minute)
		f.accept(f.other(), long)
		time.Sleep(20 * time.Second)
		f.table().Set(faker.Faults{Down: true})
		for i := range 60 {
			if i == 30 {
				f.mustOwner().cut.Store(true)
			}
			if took := f.urgent(f.other(), fmt.Sprintf("lookup-%d", i)); took > urgentBound {
				t.Fatalf("lookup %d took %s", i, took)
			}
			time.Sleep(10 * time.Second)
		}
		refused := f.submit(f.other(), preview("refused", time.Second), 5*time.Second)
		if refused.Accepted || refused.Unrecorded || refused.Answer != nil {
			t.Fatalf("work that must be recorded was taken: %+v", refused)
		}
		f.table().Set(faker.Faults{})
		f.mustSucceed(f.other(), long, 20*time.Minute)
		f.mustRunOnce(long)
		if n := f.starts(preview("refused", time.Second)); n != 0 && !refused.Unknown {
			t.Fatalf("refused work ran %d times", n)
		}
	})
}

func TestALeavingWorkerGetsNoNewWorkWithinThreeSeconds(t *testing.T) {
	withFleet(t, 3, 7, func(t *testing.T, f *fleet) {
		f.workers["worker-0"].Set(faker.Faults{Leaving: true})
		f.workers["worker-1"].Set(faker.Faults{Leaving: true})
		time.Sleep(3 * time.Second)
		for i := range 30 {
			f.accept(f.other(), lookup(fmt.Sprintf("lookup-%d", i)))
		}
		time.Sleep(5 * time.Second)
		for _, name := range []string{"worker-0", "worker-1"} {
			if n := len(f.workers[name].Starts()); n != 0 {
				t.Fatalf("%s is leaving and was given %d jobs", name, n)
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
			f.accept(f.other(), w)
		}
		time.Sleep(5 * time.Second)
		for _, worker := range f.workers {
			if len(worker.Starts()) > 0 {
				worker.Set(faker.Faults{Down: true})
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
		f.accept(f.other(), w)
		time.Sleep(5 * time.Second)
		for _, worker := range f.workers {
			if worker.Starts()[w.id()] > 0 {
				worker.Set(faker.Faults{Down: true})
			}
		}
		a := f.answer(f.other(), w, 10*time.Minute)
		if a.Outcome != scheduler.OutcomeUnknown || a.Ran != scheduler.RanUnknown {
			t.Fatalf("ended %s, ran %s; want unknown", a.Outcome, a.Ran)
		}
		f.mustRunOnce(w)
	})
}

func TestLostRepliesFromWorkersAreAskedAbout(t *testing.T) {
	withFleet(t, 3, 20, func(_ *testing.T, f *fleet) {
		for i := range 10 {
			for _, worker := range f.workers {
				worker.Set(faker.Faults{LoseReplies: 1 + i%3, RepeatAnswers: i%2 == 0})
			}
			w := preview(fmt.Sprintf("once-%d", i), time.Second)
			f.accept(f.other(), w)
			f.mustSucceed(f.other(), w, time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	withFleet(t, 5, 21, func(t *testing.T, f *fleet) {
		w := gang("gang", time.Minute)
		f.accept(f.other(), w)
		for i := range 5 {
			f.network.Silence()
			if took := f.urgent(f.other(), fmt.Sprintf("lookup-%d", i)); took > urgentBound {
				t.Fatalf("lookup %d took %s", i, took)
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
			t.Fatalf("got %v and %v, want one edit accepted and one told that it is stale", first, last)
		}
		time.Sleep(3 * time.Second)
		for _, e := range f.entries {
			if v, _ := e.Document().Current(); v.Number != 2 {
				t.Fatalf("%s has version %d, want 2", e.name, v.Number)
			}
			if e.Document().Apply(spreader.Version{Number: 1, Document: mustDecode(t, fleetDocument)}) {
				t.Fatalf("%s went back to version 1", e.name)
			}
		}
	})
}

func TestAnEditWhoseReplyIsLostIsOneEdit(t *testing.T) {
	withFleet(t, 3, 23, func(t *testing.T, f *fleet) {
		text := strings.Replace(fleetDocument, `"queued":100,`, `"queued":101,`, 1)
		for range 2 {
			f.table().Set(faker.Faults{LoseReplies: 1})
			v, err := f.entries[1].Document().Put(context.Background(), 1, []byte(text), "edit", "test")
			if err != nil || v.Number != 2 {
				t.Fatalf("got version %d, %v; want 2", v.Number, err)
			}
		}
	})
}

func TestAnEntryThatStartsWhileTheTableIsAwayLearnsTheDocumentFromItsPeers(t *testing.T) {
	withFleet(t, 3, 24, func(t *testing.T, f *fleet) {
		f.putDocument(1, strings.Replace(fleetDocument, `"queued":100,`, `"queued":101,`, 1))
		f.table().Set(faker.Faults{Down: true})
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

func TestAnEntryCutOffFromAllStopsTakingWork(t *testing.T) {
	withFleet(t, 3, 25, func(t *testing.T, f *fleet) {
		e := f.other()
		e.cut.Store(true)
		time.Sleep(spreader.MaxStaleness + time.Second)
		s := f.submit(e, lookup("lookup"), 5*time.Second)
		if s.Accepted || s.Unknown || s.Reason.Rule != scheduler.RuleDocumentUnconfirmed {
			t.Fatalf("got %+v, want a refusal since the document may be out of date", s)
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
				f.accept(f.entries[len(f.entries)-1], w)
			}
			old := f.entries[0]
			f.entries = f.entries[1:]
			f.vms = f.vms[:8]
			for _, e := range f.entries {
				f.vms = append(f.vms, vmOf(e))
			}
			old.stop()
			f.addReplacement(9 + i)
			if took := f.urgent(f.entries[0], fmt.Sprintf("lookup-%d", i)); took > urgentBound {
				t.Fatalf("lookup %d took %s", i, took)
			}
		}
		for _, w := range all {
			f.mustSucceed(f.entries[0], w, 5*time.Minute)
			f.mustRunOnce(w)
		}
	})
}

func TestATaskThatAnEarlierOwnerLeftBehindIsStopped(t *testing.T) {
	withFleet(t, 3, 27, func(t *testing.T, f *fleet) {
		w := work{key: "batch", organisation: "researchers", class: "imputation", shape: packer.Shape{Accelerators: 4}, run: 10 * time.Minute}
		f.accept(f.other(), w)
		time.Sleep(time.Second)
		left := f.runningOn()
		f.workers[left].Set(faker.Faults{Down: true})
		f.mustOwner().cut.Store(true)
		time.Sleep(20 * time.Second)
		f.workers[left].Set(faker.Faults{})
		time.Sleep(10 * time.Second)
		if n := f.workers[left].Running(); n != 0 {
			t.Fatalf("%s still runs %d tasks of an earlier owner", left, n)
		}
		f.mustSucceed(f.other(), w, 20*time.Minute)
	})
}

// runningOn returns the first worker that runs a task.
func (f *fleet) runningOn() string {
	f.t.Helper()
	for _, vm := range f.vms {
		if w := f.workers[vm.ID]; w != nil && w.Running() > 0 {
			return vm.ID
		}
	}
	f.t.Fatal("no worker runs a task")
	return ""
}

func TestGivingUpOnUrgentWorkLeavesNoRefusalBehind(t *testing.T) {
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

func TestALateSecondAnswerGivesWayAndLeavesNoOpenJob(t *testing.T) {
	withFleet(t, 3, 29, func(t *testing.T, f *fleet) {
		w := lookup("late")
		w.run = 5 * time.Second
		f.accept(f.other(), w)
		first := recorder.Answer{Job: w.record().Job, Outcome: scheduler.OutcomeSucceeded, Result: []byte(`"first"`)}
		err := f.table().Write(context.Background(), "first", []storer.Change{
			{Key: recorder.DoneKey(w.id()), Expect: 0, Value: recorder.Encode(first)},
		})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		for _, e := range f.entries {
			if a := f.answer(e, w, 10*time.Second); string(a.Result) != `"first"` {
				t.Fatalf("%s tells %s, want the answer that was recorded first", e.name, a.Result)
			}
		}
		if _, err := f.table().Read(context.Background(), recorder.OpenKey(w.id())); !errors.Is(err, storer.ErrNotFound) {
			t.Fatalf("the job is still open after its answer: %v", err)
		}
	})
}
