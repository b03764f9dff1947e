package measurer

import (
	"fmt"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
)

func withinWorker(n int) packer.Shape {
	return packer.Shape{Accelerators: n, Within: packer.WithinWorker}
}

func withinRack(n int) packer.Shape {
	return packer.Shape{Accelerators: n, Within: packer.WithinRack}
}

// FleetOf returns the workers that a document describes; each has the given memory and at least the given number of slots, which matter only for workers without accelerators.
func FleetOf(d documenter.Document, memoryMB, slots int) []scheduler.Worker {
	var list []scheduler.Worker
	rack := 0
	for _, g := range d.Workers {
		for range g.Racks {
			for range g.WorkersPerRack {
				list = append(list, scheduler.Worker{
					ID:           fmt.Sprintf("worker-%03d", len(list)),
					Zone:         g.Zone,
					Rack:         fmt.Sprintf("rack-%02d", rack),
					Incarnation:  "1",
					Accelerators: g.Accelerators,
					Slots:        max(g.Accelerators, slots),
					MemoryMB:     memoryMB,
				})
			}
			rack++
		}
	}
	return list
}

// withFaults adds the faults that all scenarios share; the lost rack is the last one with accelerators, if there is any.
func withFaults(s Scenario) Scenario {
	s.ImpossibleShare = 0.02
	s.DeclaredFactor = 10
	s.CancelEvery = 5 * time.Hour
	s.CancelShare = 0.3
	s.FailingWorker = 3
	s.FailingFrom = 2 * time.Hour
	s.FailingFor = time.Hour
	s.LostRack = s.Workers[len(s.Workers)-1].Rack
	for _, w := range s.Workers {
		if w.Accelerators > 0 {
			s.LostRack = w.Rack
		}
	}
	s.LostAt = 4 * time.Hour
	s.LostFor = 30 * time.Minute
	s.StoreUnavailableAt = 6 * time.Hour
	s.StoreUnavailableFor = 10 * time.Minute
	return s
}

// Berkep returns the scenario of the tabulation service at its current size: long gang jobs that may wait overnight, urgent lookups and small batch jobs.
func Berkep(d documenter.Document) Scenario {
	return withFaults(Scenario{
		Name:     "berkep",
		Document: d,
		Workers:  FleetOf(d, 64<<10, 8),
		Length:   24 * time.Hour,
		Mixes: []Mix{
			{Class: "lookup", PerHour: 60, Burst: 60, BurstEvery: 2 * time.Hour, Shortest: 5 * time.Second, Longest: time.Minute, Shapes: []packer.Shape{withinWorker(1)}, Organisations: []string{"unions", "unions", "researchers"}},
			{Class: "weighting-run", PerHour: 2.6, Shortest: time.Hour, Longest: 6 * time.Hour, Shapes: []packer.Shape{withinRack(16), withinRack(32), withinRack(16), withinRack(64)}},
			{Class: "imputation-batch", PerHour: 120, Burst: 100, BurstEvery: 3 * time.Hour, Shortest: 5 * time.Minute, Longest: time.Hour, Shapes: []packer.Shape{withinWorker(1), withinWorker(2), withinWorker(4)}, Organisations: []string{"county-offices", "researchers", "statistics-office"}},
		},
	})
}

// Qurum returns the scenario of the kit planner at its current size: urgent cut lists, long strain models and billed previews.
func Qurum(d documenter.Document) Scenario {
	return withFaults(Scenario{
		Name:     "qurum",
		Document: d,
		Workers:  FleetOf(d, 128<<10, 8),
		Length:   24 * time.Hour,
		Mixes: []Mix{
			{Class: "cut-list", PerHour: 240, Burst: 90, BurstEvery: time.Hour, Shortest: 10 * time.Second, Longest: 2 * time.Minute, Shapes: []packer.Shape{withinWorker(1)}, Organisations: []string{"shop-floor"}},
			{Class: "strain-model", PerHour: 4, Shortest: time.Hour, Longest: 6 * time.Hour, Shapes: []packer.Shape{withinRack(16), withinRack(32), withinWorker(8)}, Organisations: []string{"design", "design", "weavers"}},
			{Class: "weave-preview", PerHour: 400, Burst: 200, BurstEvery: 4 * time.Hour, Shortest: 30 * time.Second, Longest: 8 * time.Minute, Shapes: []packer.Shape{withinWorker(1), withinWorker(2)}, Organisations: []string{"web-shop", "weavers"}},
		},
	})
}

// TargetDocument returns the document of the fleet expected in two years: 480 workers, 770 accelerators and 71 organisations with guarantees.
func TargetDocument() documenter.Document {
	d := documenter.Document{
		Service: "target",
		Workers: []documenter.WorkerGroup{
			{Zone: "zone-a", Racks: 4, WorkersPerRack: 8, Accelerators: 8},
			{Zone: "zone-b", Racks: 4, WorkersPerRack: 8, Accelerators: 8},
			{Zone: "zone-c", Racks: 4, WorkersPerRack: 8, Accelerators: 8},
			{Zone: "zone-c", Racks: 1, WorkersPerRack: 1, Accelerators: 2},
			{Zone: "zone-a", Racks: 47, WorkersPerRack: 8, Accelerators: 0},
			{Zone: "zone-b", Racks: 1, WorkersPerRack: 7, Accelerators: 0},
		},
		Classes: []documenter.Class{
			{Name: "urgent", StartWithinSeconds: 10, Idempotent: true, Borrows: true, Limits: documenter.Limits{Queued: 2000, Retries: 3, RunSeconds: 600}},
			{Name: "gang", Checkpointable: true, Borrows: true, Limits: documenter.Limits{Queued: 1000, RunSeconds: 172800}},
			{Name: "batch", Idempotent: true, Borrows: true, Limits: documenter.Limits{Queued: 20000, Retries: 3, RunSeconds: 172800}},
		},
	}
	for i := range 71 {
		o := documenter.Organisation{Name: fmt.Sprintf("team-%02d", i)}
		switch {
		case i < 10:
			o.Guarantees = []documenter.Guarantee{{Shape: withinRack(32), Count: 1}}
		case i < 40:
			o.Guarantees = []documenter.Guarantee{{Shape: withinWorker(8), Count: 1}}
		default:
			o.Guarantees = []documenter.Guarantee{{Shape: withinWorker(2), Count: 1}}
		}
		d.Organisations = append(d.Organisations, o)
	}
	return d
}

// targetSlots is the number of slots of a worker without accelerators in the target scenario.
const targetSlots = 35

// Target returns the scenario of the load expected in two years: 570 jobs a day on accelerators and about 12,000 concurrently running tasks.
func Target() Scenario {
	d := TargetDocument()
	s := withFaults(Scenario{
		Name:     "target",
		Document: d,
		Workers:  FleetOf(d, 64<<10, targetSlots),
		Length:   8 * time.Hour,
		Mixes: []Mix{
			{Class: "urgent", PerHour: 60, Burst: 40, BurstEvery: time.Hour, Shortest: 10 * time.Second, Longest: 2 * time.Minute, Shapes: []packer.Shape{withinWorker(1)}},
			{Class: "gang", PerHour: 14, Shortest: time.Hour, Longest: 8 * time.Hour, Shapes: []packer.Shape{withinRack(16), withinRack(32), withinWorker(8)}},
			{Class: "batch", PerHour: 10, Shortest: time.Hour, Longest: 6 * time.Hour, Shapes: []packer.Shape{withinWorker(1), withinWorker(2), withinWorker(4)}},
			{Class: "batch", PerHour: 4200, Burst: 8000, BurstEvery: 30 * time.Minute, Shortest: time.Hour, Longest: 6 * time.Hour, Shapes: []packer.Shape{{Accelerators: 0, Within: packer.WithinWorker}}},
		},
	})
	s.Mixes[3].BurstEvery = 5 * time.Hour
	s.StoreUnavailableAt = 5 * time.Hour
	return s
}

// Snipelift returns the policy of package scheduler; if checked is set, it verifies all invariants after each event.
func Snipelift(d documenter.Document, checked bool) Policy {
	s := scheduler.New(d, scheduler.Options{Checked: checked})
	return Policy{Name: "snipelift", Apply: s.Apply, NextTick: s.NextTimer}
}
