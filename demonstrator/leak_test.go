package demonstrator_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks for leaked goroutines, except the ticker that go-metrics starts with the first meter and never stops.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
