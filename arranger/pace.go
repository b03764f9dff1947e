package arranger

import (
	"time"
)

// paceKey names tasks that take about as long as each other.
type paceKey struct {
	queue string
	step  int
}

const (
	// paceWeight is the weight of a new run in the usual time of its kind.
	paceWeight = 0.2
	// minSample is the least time over which a run's pace is observed.
	minSample = 400 * time.Millisecond
	// maxRatio bounds a single observation, so that one odd run does not condemn a worker for long.
	maxRatio = 8.0
	// wholePercent is the percentage of a run that is done.
	wholePercent = 100.0
)

// learnDuration notes how long a run took from its start to its end.
func (a *Arranger) learnDuration(now time.Time, p *place) {
	if p.resumed || p.adopted || p.task.stage.step.Lasting || p.worker.health.factor(now) > 1 {
		return
	}
	key := paceKey{p.task.stage.job.Queue, p.task.stage.number}
	took := now.Sub(p.began)
	usual, known := a.usual[key]
	if !known {
		a.usual[key] = took
		return
	}
	a.usual[key] = usual + time.Duration(paceWeight*float64(took-usual))
}

// expected returns how long a task is expected to take on a sound worker.
func (a *Arranger) expected(s *stage) time.Duration {
	if usual, ok := a.usual[paceKey{s.job.Queue, s.number}]; ok {
		return usual
	}
	return s.step.Estimate
}

// observePace compares a run's progress since the last observation with what is usual.
func (a *Arranger) observePace(now time.Time, p *place, percent int) {
	usual, known := a.usual[paceKey{p.task.stage.job.Queue, p.task.stage.number}]
	if !known || p.task.stage.step.Lasting || p.sampled.IsZero() {
		p.sampled, p.sampledPercent = now, percent
		return
	}
	span := now.Sub(p.sampled)
	if span < minSample || p.worked.IsZero() || percent >= wholePercent {
		return
	}
	done := max(float64(percent-p.sampledPercent)/wholePercent*float64(usual), float64(span)/maxRatio)
	weight := sampleWeight
	if p.task.stage.step.Gang {
		// Members wait for each other, so that each tells little about its own worker.
		weight /= float64(len(p.task.stage.tasks))
	}
	p.worker.health.observe(float64(span)/done, weight, now)
	p.sampled, p.sampledPercent = now, percent
}

// leaveStalled stops runs that stand still where little is lost by starting them elsewhere.
func (a *Arranger) leaveStalled(now time.Time) {
	for _, w := range a.order {
		if !w.reachable {
			continue
		}
		for p := range w.places {
			if p.state != placeRunning || p.worked.IsZero() || p.task.done || p.task.stage.step.Lasting ||
				now.Sub(p.advanced) < stallLimit || p.reported.Sub(p.advanced) < stallLimit || p.percent >= wholePercent {
				continue
			}
			if !p.task.stage.step.Checkpoints && p.advanced.Sub(p.worked) > stallLoss {
				continue
			}
			w.health.observe(maxRatio, 1, now)
			a.options.Note("run stands still", "task", p.task.name().String(), "run", p.run, "worker", w.ID,
				"percent", p.percent, "since", now.Sub(p.advanced).String())
			a.stop(p, "run stands still")
		}
	}
}
