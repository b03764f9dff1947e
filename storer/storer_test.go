package storer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/storer"
)

// platform serves the stand-in over HTTP and returns it with clients for its table and objects.
func platform(t *testing.T) (*faker.Platform, storer.Table, storer.Objects) {
	t.Helper()
	p := faker.NewPlatform()
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	table := storer.NewDynamo(storer.DynamoOptions{
		Endpoint: s.URL, Region: "local", Table: "snipelift", Service: "tabulator",
		Credentials: aws.AnonymousCredentials{}, HTTPClient: s.Client(), Timeout: time.Minute,
	})
	objects := storer.NewS3(storer.S3Options{
		Endpoint: s.URL, Region: "local", Bucket: "snipelift",
		Credentials: aws.AnonymousCredentials{}, HTTPClient: s.Client(), Timeout: time.Minute,
	})
	return p, table, objects
}

func put(key string, expect int64, value string) storer.Change {
	return storer.Change{Key: key, Expect: expect, Value: []byte(value)}
}

func TestRowsOverTheDynamoAPI(t *testing.T) {
	_, table, objects := platform(t)
	ctx := context.Background()
	if _, err := table.Read(ctx, "a"); !errors.Is(err, storer.ErrNotFound) {
		t.Fatalf("read of no row: %v", err)
	}
	if err := table.Write(ctx, "w1", []storer.Change{put("a", 0, "1"), put("b", 0, "2")}); err != nil {
		t.Fatal(err)
	}
	err := table.Write(ctx, "w2", []storer.Change{put("c", 0, "3"), put("a", 0, "4")})
	if !errors.Is(err, storer.ErrConflict) {
		t.Fatalf("write over a row that is there: %v", err)
	}
	err = table.Write(ctx, "w3", []storer.Change{{Key: "b", Expect: 1, Delete: true}, put("a", 1, "5"), {Key: "z", Expect: 0, CheckOnly: true}})
	if err != nil {
		t.Fatal(err)
	}
	rows, err := table.Range(ctx, "")
	if err != nil || len(rows) != 1 || rows[0].Version != 2 || string(rows[0].Value) != "5" || rows[0].WriteID != "w3" {
		t.Fatalf("rows %+v, %v; want only a at version 2", rows, err)
	}
	if err := objects.Put(ctx, "results/x", []byte("whole")); err != nil {
		t.Fatal(err)
	}
	if data, err := objects.Get(ctx, "results/x"); err != nil || string(data) != "whole" {
		t.Fatalf("object %q, %v", data, err)
	}
	if _, err := objects.Get(ctx, "results/y"); !errors.Is(err, storer.ErrNotFound) {
		t.Fatalf("read of no object: %v", err)
	}
}

func TestOnlyAWriteThatSurelyFailedIsCalledUnavailable(t *testing.T) {
	p, table, _ := platform(t)
	ctx := context.Background()
	p.SetFaults(faker.Faults{LoseReplies: 1})
	if err := table.Write(ctx, "w", []storer.Change{put("a", 0, "1")}); !errors.Is(err, storer.ErrOutcomeUnknown) {
		t.Fatalf("lost reply: %v", err)
	}
	p.SetFaults(faker.Faults{Down: true})
	if err := table.Write(ctx, "w", []storer.Change{put("b", 0, "1")}); !errors.Is(err, storer.ErrOutcomeUnknown) {
		t.Fatalf("status 503: %v", err)
	}
	gone := storer.NewDynamo(storer.DynamoOptions{
		Endpoint: "http://127.0.0.1:1", Region: "local", Table: "t", Service: "s",
		Credentials: aws.AnonymousCredentials{}, HTTPClient: &http.Client{}, Timeout: time.Minute,
	})
	if err := gone.Write(ctx, "w", []storer.Change{put("c", 0, "1")}); !errors.Is(err, storer.ErrUnavailable) {
		t.Fatalf("connection refused: %v", err)
	}
}

func TestAWriteIsSettledByItsID(t *testing.T) {
	for _, test := range []struct {
		name  string
		lose  int
		other bool
		want  error
	}{
		{"the reply arrives", 0, false, nil},
		{"the reply is lost", 1, false, nil},
		{"the reply is lost twice", 2, false, nil},
		{"another was faster", 0, true, storer.ErrConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := faker.NewTable()
			ctx := context.Background()
			if test.other {
				_ = table.Write(ctx, "other", []storer.Change{put("a", 0, "other")})
			}
			table.SetFaults(faker.Faults{LoseReplies: test.lose})
			err := table.Client().WriteSettled(ctx, "own", []storer.Change{put("a", 0, "own")})
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if row, _ := table.Read(ctx, "a"); row.Version != 1 {
				t.Fatalf("the row is at version %d, want one write", row.Version)
			}
		})
	}
}

func TestALateFirstWriteIsNotAppliedTwice(t *testing.T) {
	table := faker.NewTable()
	ctx := context.Background()
	client := table.Client()
	sent := 0
	client.Write = func(ctx context.Context, id string, changes []storer.Change) error {
		sent++
		if sent == 1 {
			return storer.ErrOutcomeUnknown
		}
		if err := table.Write(ctx, id, changes); err != nil {
			t.Fatal(err)
		}
		return table.Write(ctx, id, changes)
	}
	if err := client.WriteSettled(ctx, "own", []storer.Change{put("a", 0, "own")}); err != nil {
		t.Fatalf("got %v, want the late first write to count as its own", err)
	}
	if row, _ := table.Read(ctx, "a"); row.Version != 1 {
		t.Fatalf("the row is at version %d, want one write", row.Version)
	}
}

// leaveIdleConnection writes row a until the transport has kept the connection of a write.
//
// The SDK closes a request's body once the answer is there. Where the transport
// is still writing it then, it closes the connection instead of keeping it.
func leaveIdleConnection(t *testing.T, table storer.Table) {
	t.Helper()
	kept := make(chan struct{}, 1)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{PutIdleConn: func(err error) {
		if err == nil {
			kept <- struct{}{}
		}
	}})
	for version := int64(0); ; version++ {
		if err := table.Write(ctx, fmt.Sprintf("w%d", version), []storer.Change{put("a", version, "1")}); err != nil {
			t.Fatal(err)
		}
		select {
		case <-kept:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func TestASilentConnectionIsReplacedByANewOne(t *testing.T) {
	p := faker.NewPlatform()
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	table := storer.NewDynamo(storer.DynamoOptions{
		Endpoint: s.URL, Region: "local", Table: "snipelift", Service: "tabulator",
		Credentials: aws.AnonymousCredentials{}, HTTPClient: s.Client(), Timeout: 300 * time.Millisecond,
	})
	ctx := context.Background()
	leaveIdleConnection(t, table)
	p.SetFaults(faker.Faults{Silent: true})
	if _, err := table.Read(ctx, "a"); !errors.Is(err, storer.ErrUnavailable) {
		t.Fatalf("read over a silent connection: %v", err)
	}
	if _, err := table.Read(ctx, "a"); err != nil {
		t.Fatalf("read over a new connection: %v", err)
	}
}
