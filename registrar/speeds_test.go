package registrar_test

import (
	"fmt"
	"testing"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// An earlier version of the program reads the row as a map of workers by name and writes it without errors.
func TestSpeedsAreExchangedWithEarlierVersions(t *testing.T) {
	type earlierSpeed struct {
		Incarnation int64 `json:"born"`
		Steps       int   `json:"steps"`
	}
	speeds := map[string]registrar.WorkerSpeed{
		"slow": {Incarnation: 7, Steps: -5, ErrorPercent: 5}, "average": {Incarnation: 8, ErrorPercent: 20},
	}
	row := registrar.SpeedsRow(speeds)
	earlier, err := registrar.Decode[map[string]earlierSpeed](row)
	if err != nil || earlier["slow"] != (earlierSpeed{7, -5}) {
		t.Errorf("an earlier version reads %v, %v", earlier, err)
	}
	own, err := registrar.DecodeSpeeds(row)
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range speeds {
		if got, ok := own.Of(id, want.Incarnation); !ok || got != want {
			t.Errorf("%s is %+v (%t), want %+v", id, got, ok, want)
		}
		if _, ok := own.Of(id, want.Incarnation+1); ok {
			t.Errorf("the next incarnation of %s is rated", id)
		}
	}
	old, err := registrar.DecodeSpeeds(platform.Row{Value: registrar.Encode(map[string]earlierSpeed{"fast": {9, 5}})})
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := old.Of("fast", 9); !ok || got.Steps != 5 || got.ErrorPercent == 0 {
		t.Errorf("the row of an earlier version gives %+v (%t)", got, ok)
	}
	if _, err := registrar.DecodeSpeeds(platform.Row{Value: []byte(`{"":{"compact":"AAAA"}}`)}); err == nil {
		t.Error("no error for a compact form that ends within a worker")
	}
}

func TestTheRowOfSpeedsStaysBelowItsLimit(t *testing.T) {
	for _, workers := range []int{0, 350, 1100, 4000} {
		speeds := map[string]registrar.WorkerSpeed{}
		for i := range workers {
			speeds[fmt.Sprintf("i-%010x", i)] = registrar.WorkerSpeed{Incarnation: 1_764_000_000_000 + int64(i), Steps: i%7 - 3, ErrorPercent: 5}
		}
		row := registrar.SpeedsRow(speeds)
		if len(row.Value) > registrar.MaxValueBytes {
			t.Errorf("%d bytes for %d workers", len(row.Value), workers)
		}
		own, err := registrar.DecodeSpeeds(row)
		if err != nil || own.Len() != workers {
			t.Fatalf("%d workers read of %d: %v", own.Len(), workers, err)
		}
		for id, want := range speeds {
			if got, ok := own.Of(id, want.Incarnation); !ok || got != want {
				t.Fatalf("%s is %+v (%t), want %+v", id, got, ok, want)
			}
		}
	}
}
