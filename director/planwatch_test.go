package director

import (
	"bytes"
	"context"
	"log/slog"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/registrar"
)

// TestHeldUpPlansAreLoggedOncePerChange guards against an owner that makes no plans, or makes them late, without a line
// in its log.
func TestHeldUpPlansAreLoggedOncePerChange(t *testing.T) {
	const second = time.Second
	plan := func(at, took time.Duration) func(*planWatch) {
		return func(w *planWatch) {
			w.begin(at)
			w.end(at + took)
		}
	}
	hold := func(at time.Duration) func(*planWatch) { return func(w *planWatch) { w.hold(at, maxRenewalAge) } }
	for _, test := range []struct {
		name  string
		steps []func(*planWatch)
		want  []string
	}{
		{"plans in time", []func(*planWatch){plan(second, second/10), plan(2*second, second/10), plan(3*second, second)}, nil},
		{
			"lease not renewed",
			[]func(*planWatch){plan(second, 0), hold(2 * second), hold(4 * second), hold(9 * second), plan(9*second+1, 0), plan(10*second, 0)},
			[]string{"no plans: lease not renewed in time", "plans are made again: lease renewed"},
		},
		{
			"blocked loop",
			[]func(*planWatch){plan(second, 0), plan(5*second, 0), plan(9*second, 0), plan(9*second+1, 0), plan(10*second, 0)},
			[]string{"plans are late", "plans are on time again"},
		},
		{
			"slow plans",
			[]func(*planWatch){plan(second, 2*second), plan(3*second, 2*second), plan(5*second, second/10), plan(6*second, 0)},
			[]string{"plans are slow", "plans are fast again"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			w := planWatch{logger: slog.New(slog.NewTextHandler(&out, nil)), epoch: 2}
			for _, step := range test.steps {
				step(&w)
			}
			var got []string
			for _, match := range regexp.MustCompile(`msg="([^"]*)"`).FindAllStringSubmatch(out.String(), -1) {
				got = append(got, match[1])
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("lines %q, want %q", got, test.want)
			}
		})
	}
}

func TestGaugesShowWhatWaitsAndWhatFailed(t *testing.T) {
	got := map[string]int64{}
	d := &Director{SetGauge: func(name string, value int64) { got[name] = value }}
	d.setGauges(
		arranger.Waits{Stages: 3, Longest: 1500 * time.Millisecond, Exclusions: arranger.Exclusions{Quarantined: 4, Unreachable: 5}},
		arranger.Counts{StartsUnknown: 6, Quarantines: 7},
	)
	for name, want := range map[string]int64{
		"owner.waiting.stages": 3, "owner.waiting.longestMillis": 1500, "owner.workers.quarantined": 4,
		"owner.workers.unreachable": 5, "owner.starts.unknown": 6, "owner.quarantines": 7, "owner.starts.refused": 0,
	} {
		if value, ok := got[name]; !ok || value != want {
			t.Errorf("%s is %d (set: %t), want %d", name, value, ok, want)
		}
	}
	(&Director{}).setGauges(arranger.Waits{}, arranger.Counts{})
}

// TestTheOwnerShowsThatItMakesPlans guards against a plan loop that does not report, and against values that outlive the
// term.
func TestTheOwnerShowsThatItMakesPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var plans, waiting atomic.Int64
		began := time.Now()
		d := &Director{
			Logger: slog.New(slog.NewTextHandler(&out, nil)), Config: &follower.Follower{}, Clock: func() time.Duration { return time.Since(began) },
			SetGauge: func(name string, value int64) {
				if name == "owner.waiting.stages" {
					waiting.Store(value)
				}
			},
			ObserveDuration: func(string, time.Duration) { plans.Add(1) },
		}
		owner := newTerm(d, registrar.Lease{Epoch: 2}, 1, 0)
		owner.arranger.AddJob(began, arranger.Job{ID: "job", Steps: []arranger.Step{{Count: 1}}, Accepted: began}, arranger.Progress{}, false)
		ctx, cancel := context.WithCancel(t.Context())
		owner.spawn(func() { owner.planLoop(ctx) })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if plans.Load() == 0 || waiting.Load() != 1 {
			t.Errorf("%d plans and %d waiting stages, want plans and one waiting stage", plans.Load(), waiting.Load())
		}
		time.Sleep(maxRenewalAge)
		owner.writer.lastRenewal.Store(int64(owner.now()))
		time.Sleep(time.Second)
		cancel()
		owner.goroutines.Wait()
		for _, line := range []string{"no plans: lease not renewed in time", "plans are made again: lease renewed"} {
			if got := strings.Count(out.String(), line); got != 1 {
				t.Errorf("%d lines %q in %s", got, line, out.String())
			}
		}
		if got := waiting.Load(); got != 0 {
			t.Errorf("%d stages wait after the term", got)
		}
	})
}
