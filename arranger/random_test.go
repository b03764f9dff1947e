package arranger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// randomPlays and randomSteps bound the random plays of CI; the plays of a seed are always the same.
	randomPlays = 60
	randomSteps = 400
)

func TestRandomEventsKeepTheInvariantsAndEndAllJobs(t *testing.T) {
	for seed := range uint64(randomPlays) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			p := &play{bench: newBench(t, 2, 4), random: rand.New(rand.NewPCG(seed, 7))} //nolint:gosec // A test repeats its numbers.
			p.SetGuarantees(map[string]int{"unions": 16})
			for range randomSteps {
				p.step()
			}
			p.finish()
		})
	}
}

// play is a random sequence of events.
type play struct {
	*bench

	random *rand.Rand
	jobs   []string
}

func (p *play) step() {
	switch n := p.random.IntN(20); {
	case n < 3:
		p.submit()
	case n < 4 && len(p.jobs) > 0:
		p.CancelJob(p.jobs[p.random.IntN(len(p.jobs))])
	case n < 5:
		w := p.sortedWorkers[p.random.IntN(len(p.sortedWorkers))]
		p.SetReachable(w.ID, p.random.IntN(2) == 0)
	case n < 6:
		p.restartWorker()
	default:
		p.endSome(p.random.IntN(12) == 0)
	}
	p.follow(p.pass(time.Duration(p.random.IntN(300)) * time.Millisecond))
}

func (p *play) submit() {
	id := fmt.Sprintf("job-%d", len(p.jobs))
	first := single(1+p.random.IntN(6), p.random.IntN(4))
	if p.random.IntN(2) == 0 {
		first = gang(1+p.random.IntN(4), []int{1, 2, 4, 8}[p.random.IntN(4)])
	}
	first.Checkpoints = p.random.IntN(2) == 0
	second := single(1+p.random.IntN(3), 1)
	second.After = []int{0}
	j := jobOf(id, p.random.IntN(3), first, second)
	j.Accepted = p.now
	j.Policy.MaxAttempts = 1000
	p.AddJob(p.now, j, Progress{}, false)
	p.jobs = append(p.jobs, id)
}

// follow answers orders: most are carried out, some refused, some go unanswered, and of some nothing is ever heard.
func (p *play) follow(o Orders) {
	for _, s := range o.Starts {
		switch p.random.IntN(12) {
		case 0:
			p.StartRefused(p.now, s.Task, s.Run)
		case 1:
			p.StartOutcomeUnknown(s.Task, s.Run)
		case 2:
		default:
			p.StartConfirmed(p.now, s.Task, s.Run)
		}
	}
	for _, s := range append(o.Stops, p.TakeOrders().Stops...) {
		p.StopConfirmed(p.now, s.Task, s.Run, s.Worker)
	}
}

func (p *play) restartWorker() {
	w := p.sortedWorkers[p.random.IntN(len(p.sortedWorkers))].Worker
	w.Incarnation++
	p.SetWorker(w)
	p.numbers[w.ID] = 0
	p.now = p.now.Add(time.Millisecond)
	p.HandleReport(p.now, Report{Worker: w.ID, RequestedAt: p.now})
}

// endSome reports the end of one run on each worker; stopped runs end as stopped.
func (p *play) endSome(failing bool) {
	for _, w := range p.sortedWorkers {
		for _, pl := range w.places {
			if pl.state != placeRunning && pl.state != placeStopping {
				continue
			}
			how := EndedDone
			if failing {
				how = EndedFailed
			}
			if pl.state == placeStopping {
				how = EndedInterrupted
			}
			p.end(w.ID, pl.task.name(), pl.run, how)
			break
		}
	}
}

// finish ends the faults and checks that no job is left.
func (p *play) finish() {
	const rounds = 2000
	for range rounds {
		for _, w := range p.sortedWorkers {
			p.SetReachable(w.ID, true)
		}
		o := p.pass(time.Second)
		p.confirm(o)
		for _, s := range o.Stops {
			p.StopConfirmed(p.now, s.Task, s.Run, s.Worker)
		}
		p.endSome(false)
		if len(p.active) == 0 {
			return
		}
	}
	p.t.Fatalf("%d jobs have not ended, the first %s", len(p.active), p.active[0].ID)
}
