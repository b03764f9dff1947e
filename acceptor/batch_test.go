package acceptor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

const id = "aaaaaaaaaaaaaaaa"

// newBatcher returns a batcher that calls a fake store as the named client.
func newBatcher(client string) (*batcher, *faker.RowStore) {
	store := faker.NewRowStore()
	board := faker.NewHTTPNetwork()
	board.Handle("store:1", store)
	return &batcher{
		store:  &platform.Store{Client: board.Client(client), Address: "store:1", Timeout: time.Second},
		logger: slog.New(slog.DiscardHandler), partition: registrar.Partition(id),
	}, store
}

func valueOf(digest string) []byte { return registrar.Encode(registrar.Job{Digest: digest}) }

func TestOutcomesOfAJobWrite(t *testing.T) {
	for _, test := range []struct {
		name   string
		before string
		faults faker.RowFaults
		want   error
		stored bool
	}{
		{"written", "", faker.RowFaults{}, nil, true},
		{"the same job is stored", "d", faker.RowFaults{}, nil, true},
		{"another job is stored", "other", faker.RowFaults{}, errIDInUse, true},
		{"store busy", "", faker.RowFaults{Busy: true}, platform.ErrNotExecuted, false},
		{"reply lost once", "", faker.RowFaults{LoseReplies: 1}, nil, true},
		{"store unresponsive", "", faker.RowFaults{Silent: true}, platform.ErrOutcomeUnknown, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, store := newBatcher("entry")
				if test.before != "" {
					if err := b.writeJob(t.Context(), identity{id: id}, test.before, valueOf(test.before)); err != nil {
						t.Fatal(err)
					}
				}
				store.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
				defer cancel()
				if err := b.writeJob(ctx, identity{id: id}, "d", valueOf("d")); !errors.Is(err, test.want) {
					t.Fatalf("got %v, want %v", err, test.want)
				}
				if _, ok := store.Rows(registrar.JobTable, registrar.Partition(id))[id]; ok != test.stored {
					t.Fatalf("stored: %v", ok)
				}
				store.SetFaults(faker.RowFaults{})
				time.Sleep(5 * time.Second)
			})
		})
	}
}

func TestJobsQueuedDuringAWriteShareATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, store := newBatcher("entry")
		store.SetFaults(faker.RowFaults{Delay: 100 * time.Millisecond})
		began := time.Now()
		const jobs = 30
		done := make(chan error, jobs)
		for i, sent := 0, 0; sent < jobs; i++ {
			other := fmt.Sprintf("%016x", i)
			if registrar.Partition(other) != registrar.Partition(id) {
				continue
			}
			sent++
			go func() { done <- b.writeJob(t.Context(), identity{id: other}, "d", valueOf("d")) }()
		}
		for range jobs {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took > 300*time.Millisecond {
			t.Fatalf("took %s, want two transactions", took)
		}
	})
}

// A job that the store rejects costs the jobs that are written with it another attempt, and is answered as not accepted.
func TestAJobRejectedByTheStoreDoesNotFailItsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, store := newBatcher("entry")
		store.SetFaults(faker.RowFaults{MaxValue: 1000, Delay: 50 * time.Millisecond})
		other := sameBatch(t)
		results := map[string]chan error{id: make(chan error, 1), other: make(chan error, 1)}
		for _, job := range []struct {
			id   string
			size int
		}{{"ffffffffffffffff", 10}, {id, 2000}, {other, 10}} {
			go func() {
				err := b.writeJob(t.Context(), identity{id: job.id}, "d", []byte(`"`+strings.Repeat("x", job.size)+`"`))
				if result := results[job.id]; result != nil {
					result <- err
				}
			}()
			synctest.Wait()
		}
		if err := <-results[id]; !errors.Is(err, platform.ErrRejected) {
			t.Errorf("got %v for the rejected job", err)
		}
		if err := <-results[other]; err != nil {
			t.Errorf("got %v for the other job", err)
		}
	})
}
