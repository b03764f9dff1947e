package arranger

import (
	"testing"
	"time"
)

// reportOne lets a worker list one run of the job with the percentage, in a report that was requested before.
func (h *harness) reportOne(s StartOrder, requested time.Time, percent int) {
	h.HandleReport(h.now, Report{
		Worker: s.Worker, RequestedAt: requested,
		Running: []RunReport{{Task: s.Task.String(), Run: s.Run, Percent: percent}},
	})
}

// startOne starts a job of a single task and returns its start.
func (h *harness) startOne(step Step) StartOrder {
	h.t.Helper()
	h.AddJob(h.now, jobOf("job", 1, step), Progress{}, false)
	o := h.planAfter(0)
	if len(o.Starts) != 1 {
		h.t.Fatalf("got %d starts, want 1", len(o.Starts))
	}
	h.confirmStarts(o)
	return o.Starts[0]
}

// A report shows the progress at some time after its request; it may arrive much later.
func TestOnlyAReportRequestedAfterTheStallTimeoutShowsAStall(t *testing.T) {
	for _, test := range []struct {
		name string
		// requested and arrived are the times of the reports after the first one, which shows 10 percent.
		requested, arrived []time.Duration
		percent            int
		want               bool
	}{
		{"requested after the timeout", []time.Duration{stallTimeout}, []time.Duration{stallTimeout}, 10, true},
		{"requested just before the timeout", []time.Duration{stallTimeout - time.Nanosecond}, []time.Duration{stallTimeout}, 10, false},
		{"requested at once, arrived late", []time.Duration{0}, []time.Duration{time.Minute}, 10, false},
		{"requested late after a late arrival", []time.Duration{0, 4 * time.Second}, []time.Duration{3 * time.Second, 4 * time.Second}, 10, true},
		{"progress after the timeout", []time.Duration{stallTimeout}, []time.Duration{stallTimeout}, 11, false},
		{"complete", []time.Duration{0, stallTimeout + time.Second}, []time.Duration{0, stallTimeout + time.Second}, 100, false},
		{"no report", nil, nil, 10, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			s := h.startOne(single(1, 1))
			h.now = h.now.Add(time.Second)
			h.reportOne(s, h.now, 10)
			h.planAfter(0)
			began, stopped := h.now, false
			for i := range test.requested {
				h.now = began.Add(test.arrived[i])
				h.reportOne(s, began.Add(test.requested[i]), test.percent)
				stopped = stopped || len(h.planAfter(0).Stops) > 0
			}
			stopped = stopped || len(h.planAfter(time.Minute).Stops) > 0
			if quarantined := h.workers[s.Worker].health.quarantineTime > 0; stopped != test.want || quarantined != test.want {
				t.Errorf("stopped: %t, quarantined: %t, want %t", stopped, quarantined, test.want)
			}
		})
	}
}

// A run of hours gains a percent every half minute, whatever its estimate.
func TestTheStallTimeoutFollowsThePaceOfTheRun(t *testing.T) {
	for _, test := range []struct {
		name     string
		estimate time.Duration
		// percentTime is how long a percent takes until the run stops to make progress at stopsAt percent.
		percentTime time.Duration
		stopsAt     int
		// least and most bound the time from the latest progress to the stop.
		least, most time.Duration
	}{
		{"short run", 10 * time.Second, 100 * time.Millisecond, 30, stallTimeout, 4 * time.Second},
		{"long run at the first percent", 400 * time.Second, 4 * time.Second, 1, 12 * time.Second, 16 * time.Second},
		{"long run", 400 * time.Second, 4 * time.Second, 20, 12 * time.Second, 14 * time.Second},
		{"run of an hour", time.Hour, 36 * time.Second, 10, 108 * time.Second, 110 * time.Second},
		{"estimate too short", time.Second, 36 * time.Second, 10, 108 * time.Second, 110 * time.Second},
		{"estimate too short, first percent", time.Second, 36 * time.Second, 1, 108 * time.Second, 114 * time.Second},
		{"estimate too long", time.Hour, 100 * time.Millisecond, 30, stallTimeout, 4 * time.Second},
		{"no estimate", 0, 4 * time.Second, 10, 12 * time.Second, 14 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			step := single(1, 1)
			step.Estimate, step.Checkpoints = test.estimate, true
			s := h.startOne(step)
			began, progressed, percent := h.now, h.now, 0
			for h.now.Sub(progressed) < 5*time.Minute {
				h.now = h.now.Add(time.Second)
				now := min(test.stopsAt, int(h.now.Sub(began)/test.percentTime))
				if now > percent {
					progressed, percent = h.now, now
				}
				h.reportOne(s, h.now, percent)
				if o := h.planAfter(0); len(o.Stops) == 0 {
					continue
				}
				if got := h.now.Sub(progressed); percent < test.stopsAt || got < test.least || got > test.most {
					t.Errorf("stopped %s after its latest progress at %d percent, want %s to %s at %d", got, percent, test.least, test.most, test.stopsAt)
				}
				return
			}
			t.Errorf("not stopped for %s after it reached %d percent", h.now.Sub(progressed), percent)
		})
	}
}

// The pace of an adopted run before its adoption is not known.
func TestAnAdoptedRunIsMeasuredByItsEstimateFirst(t *testing.T) {
	h := newHarness(t, 1, 2)
	step := single(1, 1)
	step.Estimate, step.Checkpoints = 400*time.Second, true
	h.ExpectReport("w0-0", h.now.Add(time.Minute))
	h.AddJob(h.now, jobOf("job", 1, step), Progress{}, true)
	s := StartOrder{Task: TaskName{Job: "job"}, Run: 9, Worker: "w0-0"}
	for range 11 {
		h.now = h.now.Add(time.Second)
		h.reportOne(s, h.now, 50)
		if o := h.planAfter(0); len(o.Stops) > 0 {
			t.Fatalf("stopped after %s: %s", h.now.Sub(start), o.Stops[0].Reason)
		}
	}
}
