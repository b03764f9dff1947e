package router

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/scheduler"
)

// documentWithoutLookups returns the fleet's document without the class of urgent work.
func documentWithoutLookups(t *testing.T) string {
	t.Helper()
	before, after, ok := strings.Cut(fleetDocument, ` {"name":"lookup"`)
	_, after, found := strings.Cut(after, "\n")
	if !ok || !found {
		t.Fatal("the document has no class named lookup")
	}
	return before + after
}

// A job is started without an owner and fails; the next owner then accepts it and the
// caller cancels it, or the next owner refuses it. That owner has no record of the first
// run, so the job could wrongly be reported as not run.
func TestDirectlyPlacedWorkIsNeverReportedAsNotRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// meanwhile is called after the direct run and before a new owner serves.
		meanwhile func(t *testing.T, f *fleet)
	}{
		{"accepted later and cancelled", func(_ *testing.T, f *fleet) {
			for _, w := range f.workers {
				w.SetFaults(faker.Faults{Leaving: true})
			}
		}},
		{"refused later", func(t *testing.T, f *fleet) {
			f.editDocument(1, documentWithoutLookups(t))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 3, 31, func(t *testing.T, f *fleet) {
				for _, w := range f.workers {
					w.SetFaults(faker.Faults{FailTasks: true})
				}
				f.mustOwner().isolated.Store(true)
				var once sync.Once
				f.onStart = func(*entry) {
					once.Do(func() { time.AfterFunc(time.Second, func() { test.meanwhile(t, f) }) })
				}
				w := lookup("direct")
				e := f.other()
				s := f.submit(e, w, time.Minute)
				if f.starts(w) == 0 {
					t.Fatal("no task was started without an owner")
				}
				if !s.Accepted {
					if !s.Unknown {
						t.Fatalf("job was refused as not run, but was started: %+v", s)
					}
					return
				}
				time.Sleep(time.Second)
				if err := e.Cancel(context.Background(), w.id()); err != nil {
					t.Fatal(err)
				}
				if a := f.mustAnswer(e, w, time.Minute); a.Ran == scheduler.NotRun {
					t.Fatalf("said not to have run, but was started: %s", a.Reason.Sentence())
				}
			})
		})
	}
}

// editDocument edits the document through an entry that is not isolated.
func (f *fleet) editDocument(base int64, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if _, err := f.other().Document().Put(ctx, base, []byte(text), f.newID(), "test"); err != nil {
		f.t.Errorf("put document: %v", err)
	}
}
