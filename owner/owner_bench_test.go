package owner

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
)

// benchRecord returns the record of a running job with a payload of 200 bytes.
func benchRecord(i int) recorder.OpenJob {
	payload, _ := json.Marshal(fmt.Sprintf("%0198d", i))
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	record := recorder.OpenJob{
		Job: scheduler.Job{
			ID: recorder.JobID("team", fmt.Sprint(i)), Organisation: "team", Class: "batch",
			Shape: packer.Shape{Within: packer.WithinWorker}, Submitted: now,
		},
		Payload:     payload,
		Fingerprint: recorder.JobID("fingerprint", fmt.Sprint(i)),
		Attempt:     1,
		Members:     []scheduler.Member{{Worker: "worker-001", Accelerators: []int{}}},
	}
	for _, rule := range []scheduler.Rule{scheduler.RuleAdmitted, scheduler.RuleLent} {
		record.Notes = recorder.AddNote(record.Notes, now, scheduler.Reason{Rule: rule, Organisation: "team", Worker: "worker-001"})
	}
	return record
}

// BenchmarkTrackedState reports the heap and row size of a running job in an owner, without the scheduler's state.
func BenchmarkTrackedState(b *testing.B) {
	for _, jobs := range []int{1000, 12_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				jobState := map[string]*jobState{}
				for i := range jobs {
					record := benchRecord(i)
					t := newJobState(record, classTraits{}, 1)
					t.attempt = newAttempt(1, record.Members)
					t.attempt.statuses[0] = dispatcher.Status{Attempt: dispatcher.Attempt{Job: record.Job.ID, Number: 1}, State: dispatcher.StateRunning}
					jobState[record.Job.ID] = t
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(jobs), "B/job")
				runtime.KeepAlive(jobState)
			}
			b.ReportMetric(float64(len(recorder.Encode(benchRecord(1)))), "B/row")
		})
	}
}
