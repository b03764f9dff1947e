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

// withoutLookups is the fleet's document after an edit that dropped the class of urgent work.
func withoutLookups(t *testing.T) string {
	t.Helper()
	before, after, ok := strings.Cut(fleetDocument, ` {"name":"lookup"`)
	_, after, found := strings.Cut(after, "\n")
	if !ok || !found {
		t.Fatal("the document has no class of lookups")
	}
	return before + after
}

func TestWorkThatWasPlacedWithoutAnOwnerIsNeverSaidNotToHaveRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// meanwhile happens between the run without an owner and the return of an owner.
		meanwhile func(t *testing.T, f *fleet)
	}{
		{"accepted later and cancelled", func(_ *testing.T, f *fleet) {
			for _, w := range f.workers {
				w.Set(faker.Faults{Leaving: true})
			}
		}},
		{"refused later", func(t *testing.T, f *fleet) {
			f.editDocument(1, withoutLookups(t))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 3, 31, func(t *testing.T, f *fleet) {
				for _, w := range f.workers {
					w.Set(faker.Faults{FailTasks: true})
				}
				f.mustOwner().cut.Store(true)
				var once sync.Once
				f.beforeStart = func(*entry) {
					once.Do(func() { time.AfterFunc(time.Second, func() { test.meanwhile(t, f) }) })
				}
				w := lookup("direct")
				e := f.other()
				s := f.submit(e, w, time.Minute)
				if f.starts(w) == 0 {
					t.Fatal("nothing was started without an owner")
				}
				if !s.Accepted {
					if !s.Unknown {
						t.Fatalf("refused as not run, but was started: %+v", s)
					}
					return
				}
				time.Sleep(time.Second)
				if err := e.Cancel(context.Background(), w.id()); err != nil {
					t.Fatal(err)
				}
				if a := f.answer(e, w, time.Minute); a.Ran == scheduler.NotRun {
					t.Fatalf("said not to have run, but was started: %s", a.Reason.Sentence())
				}
			})
		})
	}
}

// editDocument edits the document at an entry that is not cut off.
func (f *fleet) editDocument(base int64, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if _, err := f.other().Document().Put(ctx, base, []byte(text), f.newID(), "test"); err != nil {
		f.t.Errorf("put document: %v", err)
	}
}
