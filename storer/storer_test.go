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

// platform serves a fake platform over HTTP and returns it with clients for its table and object store.
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

func TestTableAndObjectsOverHTTP(t *testing.T) {
	_, table, objects := platform(t)
	ctx := context.Background()
	if _, err := table.Read(ctx, "a"); !errors.Is(err, storer.ErrNotFound) {
		t.Fatalf("read of a missing row: %v", err)
	}
	if err := table.Write(ctx, "w1", []storer.Change{put("a", 0, "1"), put("b", 0, "2")}); err != nil {
		t.Fatal(err)
	}
	err := table.Write(ctx, "w2", []storer.Change{put("c", 0, "3"), put("a", 0, "4")})
	if !errors.Is(err, storer.ErrConflict) {
		t.Fatalf("create of an existing row: %v", err)
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
		t.Fatalf("read of a missing object: %v", err)
	}
}

func TestOnlyWritesThatWereNotExecutedAreUnavailable(t *testing.T) {
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
	unreachable := storer.NewDynamo(storer.DynamoOptions{
		Endpoint: "http://127.0.0.1:1", Region: "local", Table: "t", Service: "s",
		Credentials: aws.AnonymousCredentials{}, HTTPClient: &http.Client{}, Timeout: time.Minute,
	})
	if err := unreachable.Write(ctx, "w", []storer.Change{put("c", 0, "1")}); !errors.Is(err, storer.ErrUnavailable) {
		t.Fatalf("connection refused: %v", err)
	}
}

func TestUnknownOutcomeIsResolvedByWriteID(t *testing.T) {
	for _, test := range []struct {
		name        string
		lostReplies int
		otherFirst  bool
		want        error
	}{
		{"the reply arrives", 0, false, nil},
		{"the reply is lost", 1, false, nil},
		{"the reply is lost twice", 2, false, nil},
		{"another writer was first", 0, true, storer.ErrConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := faker.NewTable()
			ctx := context.Background()
			if test.otherFirst {
				_ = table.Write(ctx, "other", []storer.Change{put("a", 0, "other")})
			}
			table.SetFaults(faker.Faults{LoseReplies: test.lostReplies})
			err := table.Client().WriteIdempotent(ctx, "own", []storer.Change{put("a", 0, "own")})
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if row, _ := table.Read(ctx, "a"); row.Version != 1 {
				t.Fatalf("the row is at version %d, want one write", row.Version)
			}
		})
	}
}

func TestDelayedFirstWriteIsNotAppliedTwice(t *testing.T) {
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
	if err := client.WriteIdempotent(ctx, "own", []storer.Change{put("a", 0, "own")}); err != nil {
		t.Fatalf("got %v, want success, since the delayed first write has the same ID", err)
	}
	if row, _ := table.Read(ctx, "a"); row.Version != 1 {
		t.Fatalf("the row is at version %d, want one write", row.Version)
	}
}

// leaveIdleConnection writes row a until the transport keeps the connection of a write idle.
//
// The SDK closes the request body when the response arrives. If the transport is still
// writing the body then, it closes the connection instead of keeping it.
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

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
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
		t.Fatalf("read over an unresponsive connection: %v", err)
	}
	if _, err := table.Read(ctx, "a"); err != nil {
		t.Fatalf("read over a new connection: %v", err)
	}
}
