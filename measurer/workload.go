package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

// Mix describes the jobs of one class in a workload.
type Mix struct {
	Class string
	// PerHour is the mean arrival rate of a Poisson process; bursts are added to it.
	PerHour float64
	// Burst is the number of jobs that arrive within 5 s of each other, once every BurstEvery.
	Burst      int
	BurstEvery time.Duration
	// Shortest and Longest bound the run time, which is distributed log-uniformly.
	Shortest time.Duration
	Longest  time.Duration
	// Shapes are drawn with equal probability.
	Shapes []packer.Shape
	// Organisations are drawn with equal probability; if empty, all organisations of the document are.
	Organisations []string
}

// Scenario is a simulated fleet with its document, workload and faults.
type Scenario struct {
	Name     string
	Document documenter.Document
	Workers  []scheduler.Worker
	Mixes    []Mix
	Length   time.Duration
	// ImpossibleShare is the share of jobs whose shape no fleet can hold.
	ImpossibleShare float64
	// DeclaredFactor bounds the error of declared run times: they are between the actual run time divided by it and multiplied by it.
	DeclaredFactor float64
	// CancelEvery is the interval at which CancelShare of the waiting jobs are cancelled.
	CancelEvery time.Duration
	CancelShare float64
	// FailingWorker is the index of a worker that fails all attempts from FailingFrom on for FailingFor; a FailingFor of 0 means none.
	FailingWorker int
	FailingFrom   time.Duration
	FailingFor    time.Duration
	// LostRack is a rack whose workers are all lost at LostAt and return after LostFor; empty means none.
	LostRack string
	LostAt   time.Duration
	LostFor  time.Duration
	// StoreUnavailableAt and StoreUnavailableFor are the start and the duration of a store outage.
	StoreUnavailableAt  time.Duration
	StoreUnavailableFor time.Duration
}

// arrival is a job with its arrival time and its actual run time, which the policy does not see.
type arrival struct {
	at      time.Duration
	job     scheduler.Job
	runTime time.Duration
}

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// arrivals generates the workload for a seed, sorted by arrival time.
func (s Scenario) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, uint64(len(s.Workers))))
	var list []arrival
	for _, m := range s.Mixes {
		at := time.Duration(0)
		for m.PerHour > 0 {
			at += time.Duration(random.ExpFloat64() / m.PerHour * float64(time.Hour))
			if at >= s.Length {
				break
			}
			list = append(list, s.draw(random, m, at))
		}
		for at := m.BurstEvery; m.Burst > 0 && at < s.Length; at += m.BurstEvery {
			for range m.Burst {
				list = append(list, s.draw(random, m, at+time.Duration(random.IntN(5000))*time.Millisecond))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range list {
		list[i].job.ID = fmt.Sprintf("job-%06d", i)
	}
	return list
}

// draw generates a job of the mix with a random run time, shape and organisation.
func (s Scenario) draw(random *rand.Rand, m Mix, at time.Duration) arrival {
	logRange := math.Log(float64(m.Longest) / float64(m.Shortest))
	runTime := time.Duration(float64(m.Shortest) * math.Exp(random.Float64()*logRange))
	declaredRatio := math.Pow(s.DeclaredFactor, 2*random.Float64()-1)
	shape := m.Shapes[random.IntN(len(m.Shapes))]
	if random.Float64() < s.ImpossibleShare {
		shape = packer.Shape{Accelerators: 1024, Within: packer.WithinRack}
	}
	organisations := m.Organisations
	if len(organisations) == 0 {
		for _, o := range s.Document.Organisations {
			organisations = append(organisations, o.Name)
		}
	}
	return arrival{
		at:      at,
		runTime: runTime,
		job: scheduler.Job{
			Organisation:    organisations[random.IntN(len(organisations))],
			Class:           m.Class,
			Shape:           shape.WithDefaults(),
			Submitted:       epoch.Add(at),
			DeclaredRunTime: time.Duration(float64(runTime) * declaredRatio),
		},
	}
}
