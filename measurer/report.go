package measurer

import (
	"slices"
	"time"

	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

// ClassReport holds the metrics of the jobs of one class.
type ClassReport struct {
	Class     string `json:"class"`
	Jobs      int    `json:"jobs"`
	Succeeded int    `json:"succeeded"`
	// SlowdownMean and SlowdownP99 are statistics of the slowdown: the time from submission to end divided by the run time.
	SlowdownMean float64 `json:"slowdownMean"`
	SlowdownP99  float64 `json:"slowdownP99"`
	// WaitP99 is the 99th percentile of the time from submission to the first start, in seconds.
	WaitP99 float64 `json:"waitP99Seconds"`
}

// Report holds the metrics of one policy in one simulation run.
type Report struct {
	Policy  string        `json:"policy"`
	Seed    uint64        `json:"seed"`
	Classes []ClassReport `json:"classes"`
	// UrgentInBound is the share of urgent jobs that started within the bound of their class; UrgentCovered is the same share among the started jobs that their organisation's guarantees covered on submission.
	UrgentInBound float64 `json:"urgentInBound"`
	UrgentCovered float64 `json:"urgentCoveredInBound"`
	// Unusable is the fragmentation: the mean share of free accelerators that the guaranteed and requested shapes cannot use.
	Unusable float64 `json:"unusableShare"`
	// GangWaitP99 is the 99th percentile of the time from submission to the first start of jobs within a rack, in seconds.
	GangWaitP99 float64 `json:"gangWaitP99Seconds"`
	// GuaranteeDelay is the longest time from submission to the first start of a job that the guarantees covered, in seconds.
	GuaranteeDelay float64 `json:"guaranteeDelaySeconds"`
	// WastedHours are the accelerator-hours of work lost when attempts were stopped or moved.
	WastedHours float64 `json:"wastedAcceleratorHours"`
	// Unfinished counts jobs that had not ended twelve hours after the end of the workload.
	Unfinished int `json:"unfinished"`
	// Breaches counts members of attempts that were placed on a lost worker or on more accelerators than the worker had free; it must be 0.
	Breaches     int     `json:"breaches"`
	Events       int     `json:"events"`
	DecisionMean float64 `json:"decisionMeanMicros"`
	DecisionP99  float64 `json:"decisionP99Micros"`
	Allocations  float64 `json:"allocationsPerDecision"`
}

// allocationSampleEvery is the number of events between two samples of the heap allocations.
const allocationSampleEvery = 64

// collector accumulates the metrics of a simulation run.
type collector struct {
	scenario       Scenario
	slowdowns      map[string][]float64
	waits          map[string][]float64
	counts         map[string]int
	gangWaits      []float64
	urgent         [2]int
	urgentCovered  [2]int
	unusable       []float64
	guaranteeDelay float64
	wastedSeconds  float64
	cancelled      int
	breaches       int
	events         int
	decisionMicros []float64
	mallocs        []float64
	removed        int
}

func newCollector(s Scenario) *collector {
	return &collector{
		scenario:  s,
		slowdowns: map[string][]float64{},
		waits:     map[string][]float64{},
		counts:    map[string]int{},
	}
}

func (c *collector) recordDecisionTime(took time.Duration) {
	c.events++
	c.decisionMicros = append(c.decisionMicros, float64(took.Nanoseconds())/1000)
}

func (c *collector) recordAllocations(n uint64) { c.mallocs = append(c.mallocs, float64(n)) }

func (c *collector) recordUnusableShare(share float64) { c.unusable = append(c.unusable, share) }

func (c *collector) countRemoved(*jobState) { c.removed++ }

// recordEnd records a job that has ended, unless it had an impossible shape.
func (c *collector) recordEnd(now time.Time, j *jobState, outcome scheduler.Outcome) {
	if j == nil || j.job.Shape.Accelerators >= 1024 {
		return
	}
	name := j.job.Class
	c.counts[name]++
	class, _, _ := c.scenario.Document.Class(name)
	if !j.firstStart.IsZero() {
		c.recordStart(j, class.StartWithin())
	} else if class.Urgent() && outcome != scheduler.OutcomeCancelled {
		c.urgent[1]++
	}
	if outcome == scheduler.OutcomeSucceeded {
		took := now.Sub(j.job.Submitted)
		c.slowdowns[name] = append(c.slowdowns[name], took.Seconds()/j.runTime.Seconds())
	}
}

// recordStart records the waiting time of a job that was started at least once; bound is 0 unless its class is urgent.
func (c *collector) recordStart(j *jobState, bound time.Duration) {
	wait := j.firstStart.Sub(j.job.Submitted)
	c.waits[j.job.Class] = append(c.waits[j.job.Class], wait.Seconds())
	if j.job.Shape.Within == packer.WithinRack {
		c.gangWaits = append(c.gangWaits, wait.Seconds())
	}
	if j.covered {
		c.guaranteeDelay = max(c.guaranteeDelay, wait.Seconds())
	}
	if bound == 0 {
		return
	}
	late := 0
	if wait > bound {
		late = 1
	}
	c.urgent[late]++
	if j.covered {
		c.urgentCovered[late]++
	}
}

func (c *collector) finish(policy string, seed uint64, jobs []*jobState) Report {
	unfinished := 0
	for _, j := range jobs {
		if !j.done {
			unfinished++
		}
	}
	r := Report{
		Policy:         policy,
		Seed:           seed,
		UrgentInBound:  share(c.urgent),
		UrgentCovered:  share(c.urgentCovered),
		Unusable:       mean(c.unusable),
		GangWaitP99:    p99(c.gangWaits),
		GuaranteeDelay: c.guaranteeDelay,
		WastedHours:    c.wastedSeconds / 3600,
		Unfinished:     unfinished,
		Breaches:       c.breaches,
		Events:         c.events,
		DecisionMean:   mean(c.decisionMicros),
		DecisionP99:    p99(c.decisionMicros),
		Allocations:    mean(c.mallocs),
	}
	for _, class := range c.scenario.Document.Classes {
		r.Classes = append(r.Classes, ClassReport{
			Class:        class.Name,
			Jobs:         c.counts[class.Name],
			Succeeded:    len(c.slowdowns[class.Name]),
			SlowdownMean: mean(c.slowdowns[class.Name]),
			SlowdownP99:  p99(c.slowdowns[class.Name]),
			WaitP99:      p99(c.waits[class.Name]),
		})
	}
	return r
}

// share returns the first count divided by the sum of both, or 1 if both are 0.
func share(counts [2]int) float64 {
	if counts[0]+counts[1] == 0 {
		return 1
	}
	return float64(counts[0]) / float64(counts[0]+counts[1])
}

func mean(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

func p99(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(0.99*float64(len(sorted))))]
}
