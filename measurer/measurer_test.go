package measurer

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/snipelift/snipelift/documenter"
)

// example reads a document from the examples folder.
func example(t *testing.T, name string) documenter.Document {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	d, err := documenter.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestServiceScenariosKeepInvariants simulates eight hours of each service with all faults and invariant checks.
// It fails if a placement exceeds the free capacity, if an urgent job that the guarantees cover starts late, or if a job never ends.
func TestServiceScenariosKeepInvariants(t *testing.T) {
	for _, test := range []struct {
		name     string
		scenario Scenario
	}{
		{"berkep", Berkep(example(t, "berkep.json"))},
		{"qurum", Qurum(example(t, "qurum.json"))},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.scenario.Length = 8 * time.Hour
			r := Run(test.scenario, Snipelift(test.scenario.Document, true), 1)
			if r.Breaches != 0 {
				t.Errorf("%d starts on accelerators that were not free", r.Breaches)
			}
			if r.UrgentCovered < 1 {
				t.Errorf("%.4f of the urgent jobs within the guarantee started in time, want all", r.UrgentCovered)
			}
			if r.Unfinished != 0 {
				t.Errorf("%d jobs never ended", r.Unfinished)
			}
		})
	}
}
