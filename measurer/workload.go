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

// Mix says how much work of a class arrives.
type Mix struct {
	Class string
	// PerHour is the mean number of arrivals; bursts come on top.
	PerHour float64
	// Burst is the number of jobs that arrive together every BurstEvery.
	Burst      int
	BurstEvery time.Duration
	// Shortest and Longest bound the run time, which is spread evenly over its logarithm.
	Shortest time.Duration
	Longest  time.Duration
	// Shapes are drawn with equal chances.
	Shapes []packer.Shape
	// Organisations are drawn with equal chances; empty means all of the document.
	Organisations []string
}

// Scenario is a fleet with its document, workload and faults.
type Scenario struct {
	Name     string
	Document documenter.Document
	Workers  []scheduler.Worker
	Mixes    []Mix
	Length   time.Duration
	// ImpossibleShare is the share of jobs that no worker can ever run.
	ImpossibleShare float64
	// DeclaredFactor bounds how far off declared run times are, both ways.
	DeclaredFactor float64
	// CancelEvery is the time between waves that cancel CancelShare of the waiting jobs.
	CancelEvery time.Duration
	CancelShare float64
	// BadWorker fails everything from BadFrom on for BadFor; -1 means none.
	FailingWorker int
	FailingFrom   time.Duration
	FailingFor    time.Duration
	// LostRack loses all its workers at LostAt for LostFor; empty means none.
	LostRack string
	LostAt   time.Duration
	LostFor  time.Duration
	// StoreAwayAt and StoreAwayFor are an outage of the table.
	StoreUnavailableAt  time.Duration
	StoreUnavailableFor time.Duration
}

// arrival is a job with what only the future knows of it.
type arrival struct {
	at   time.Duration
	job  scheduler.Job
	work time.Duration
}

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// arrivals draws the workload of a seed, in order of time.
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

func (s Scenario) draw(random *rand.Rand, m Mix, at time.Duration) arrival {
	span := math.Log(float64(m.Longest) / float64(m.Shortest))
	work := time.Duration(float64(m.Shortest) * math.Exp(random.Float64()*span))
	off := math.Pow(s.DeclaredFactor, 2*random.Float64()-1)
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
		at:   at,
		work: work,
		job: scheduler.Job{
			Organisation:    organisations[random.IntN(len(organisations))],
			Class:           m.Class,
			Shape:           shape.WithDefaults(),
			Submitted:       epoch.Add(at),
			DeclaredRunTime: time.Duration(float64(work) * off),
		},
	}
}
