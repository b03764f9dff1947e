package measurer

import (
	"slices"
	"time"

	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

// ClassReport is how the jobs of one class fared.
type ClassReport struct {
	Class     string `json:"class"`
	Jobs      int    `json:"jobs"`
	Succeeded int    `json:"succeeded"`
	// SlowdownMean and SlowdownP99 are the time from submission to end over the run time alone.
	SlowdownMean float64 `json:"slowdownMean"`
	SlowdownP99  float64 `json:"slowdownP99"`
	// WaitP99 is the 99th percentile of the time from submission to the first start, in seconds.
	WaitP99 float64 `json:"waitP99Seconds"`
}

// Report is how one policy fared in one run.
type Report struct {
	Policy  string        `json:"policy"`
	Seed    uint64        `json:"seed"`
	Classes []ClassReport `json:"classes"`
	// UrgentInBound is the share of urgent jobs that started within their bound; UrgentCovered counts only those that the guarantee covers.
	UrgentInBound float64 `json:"urgentInBound"`
	UrgentCovered float64 `json:"urgentCoveredInBound"`
	// Unusable is the mean share of free accelerators that the shapes asked for cannot use.
	Unusable float64 `json:"unusableShare"`
	// GangWaitP99 is over all jobs within a rack, in seconds.
	GangWaitP99 float64 `json:"gangWaitP99Seconds"`
	// GuaranteeDelay is the longest time from a demand within the guarantee to its start, in seconds.
	GuaranteeDelay float64 `json:"guaranteeDelaySeconds"`
	// WastedHours are accelerator-hours lost to moves and stops.
	WastedHours float64 `json:"wastedAcceleratorHours"`
	// Unfinished counts jobs that had not ended twelve hours after the last arrival.
	Unfinished int `json:"unfinished"`
	// Breaches counts starts on accelerators that were not free; it must be 0.
	Breaches     int     `json:"breaches"`
	Events       int     `json:"events"`
	DecisionMean float64 `json:"decisionMeanMicros"`
	DecisionP99  float64 `json:"decisionP99Micros"`
	Allocations  float64 `json:"allocationsPerDecision"`
}

// allocationSample is the number of events between measurements of allocations.
const allocationSample = 64

type collector struct {
	scenario  Scenario
	slowdowns map[string][]float64
	waits     map[string][]float64
	counts    map[string]int
	gangWaits []float64
	urgent    [2]int
	coveredOf [2]int
	unusable  []float64
	delay     float64
	wasted    float64
	cancelled int
	breaches  int
	events    int
	micros    []float64
	mallocs   []float64
	kept      int
}

func newCollector(s Scenario) *collector {
	return &collector{
		scenario:  s,
		slowdowns: map[string][]float64{},
		waits:     map[string][]float64{},
		counts:    map[string]int{},
	}
}

func (c *collector) cost(took time.Duration) {
	c.events++
	c.micros = append(c.micros, float64(took.Nanoseconds())/1000)
}

func (c *collector) allocations(n uint64) { c.mallocs = append(c.mallocs, float64(n)) }

func (c *collector) fragmentation(share float64) { c.unusable = append(c.unusable, share) }

func (c *collector) keep(*life) { c.kept++ }

func (c *collector) ended(now time.Time, l *life, outcome scheduler.Outcome) {
	if l == nil || l.job.Shape.Accelerators >= 1024 {
		return
	}
	name := l.job.Class
	c.counts[name]++
	class, _, _ := c.scenario.Document.Class(name)
	if !l.first.IsZero() {
		c.started(l, class.StartWithin())
	} else if class.Urgent() && outcome != scheduler.OutcomeCancelled {
		c.urgent[1]++
	}
	if outcome == scheduler.OutcomeSucceeded {
		took := now.Sub(l.job.Submitted)
		c.slowdowns[name] = append(c.slowdowns[name], took.Seconds()/l.work.Seconds())
	}
}

func (c *collector) started(l *life, bound time.Duration) {
	wait := l.first.Sub(l.job.Submitted)
	c.waits[l.job.Class] = append(c.waits[l.job.Class], wait.Seconds())
	if l.job.Shape.Within == packer.WithinRack {
		c.gangWaits = append(c.gangWaits, wait.Seconds())
	}
	if l.covered {
		c.delay = max(c.delay, wait.Seconds())
	}
	if bound == 0 {
		return
	}
	late := 0
	if wait > bound {
		late = 1
	}
	c.urgent[late]++
	if l.covered {
		c.coveredOf[late]++
	}
}

func (c *collector) finish(policy string, seed uint64, left []*life) Report {
	unfinished := 0
	for _, l := range left {
		if !l.done {
			unfinished++
		}
	}
	r := Report{
		Policy:         policy,
		Seed:           seed,
		UrgentInBound:  share(c.urgent),
		UrgentCovered:  share(c.coveredOf),
		Unusable:       mean(c.unusable),
		GangWaitP99:    p99(c.gangWaits),
		GuaranteeDelay: c.delay,
		WastedHours:    c.wasted / 3600,
		Unfinished:     unfinished,
		Breaches:       c.breaches,
		Events:         c.events,
		DecisionMean:   mean(c.micros),
		DecisionP99:    p99(c.micros),
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

// share returns the first count over both, or 1 if there are none.
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
