package documenter

import (
	"errors"
	"strings"
	"testing"

	"github.com/snipelift/snipelift/examples"
)

func TestExamplesAreAccepted(t *testing.T) {
	for name, text := range map[string][]byte{"berkep": examples.Berkep, "qurum": examples.Qurum} {
		if _, err := Decode(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestInvalidDocumentsNameThePathOfTheKey(t *testing.T) {
	valid := string(examples.Berkep)
	for _, test := range []struct {
		name, old, new, want string
	}{
		{"an unknown key", `"count": 2`, `"count": 2, "weight": 3`, `unknown field "weight"`},
		{"a guarantee that does not pack", `"within": "rack", "count": 1`, `"within": "rack", "count": 6`, "organisations[1].guarantees[0]: 6 times 64 within a rack"},
		{"a shape that is not a power of two", `"accelerators": 32, "within": "rack"`, `"accelerators": 24, "within": "rack"`, "organisations[0].guarantees[0]"},
		{"an organisation twice", `"name": "researchers"`, `"name": "unions"`, "organisations[3].name"},
		{"a class twice", `"name": "imputation-batch"`, `"name": "lookup"`, "classes[2].name"},
		{"borrowing by jobs that can be neither resumed nor repeated", `"idempotent": true, "checkpointable": false, "borrows": true`, `"idempotent": false, "checkpointable": false, "borrows": true`, "classes[0].borrows"},
		{"retries of a class that is not idempotent", `"queued": 100, "retries": 0`, `"queued": 100, "retries": 1`, "classes[1].limits.retries"},
		{"no limit of the run time", `"runSeconds": 120`, `"runSeconds": 0`, "classes[0].limits.runSeconds"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode([]byte(strings.Replace(valid, test.old, test.new, 1)))
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want ErrInvalid naming %s", err, test.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(examples.Berkep)
	f.Add([]byte(`{"service":"s","workers":[{"zone":"z","racks":10000,"workersPerRack":10000,"accelerators":64}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		if len(Describe(d)) < 1+len(d.Organisations)+len(d.Classes) {
			t.Fatal("the description of a valid document is incomplete")
		}
	})
}
