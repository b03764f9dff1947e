package packer

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const testWorkerSize = 8

// fleet holds the number of unbound accelerators by rack and worker.
type fleet [][]int

func randomFleet(random *rand.Rand) fleet {
	f := make(fleet, 1+random.IntN(2))
	for r := range f {
		f[r] = make([]int, 1+random.IntN(4))
		for w := range f[r] {
			f[r][w] = random.IntN(testWorkerSize + 1)
			if random.IntN(2) == 0 {
				f[r][w] = testWorkerSize
			}
		}
	}
	return f
}

func randomShapes(random *rand.Rand) []Shape {
	kinds := []Shape{
		{Accelerators: 1, Within: WithinWorker},
		{Accelerators: 2, Within: WithinWorker},
		{Accelerators: 4, Within: WithinWorker},
		{Accelerators: 8, Within: WithinWorker},
		{Accelerators: 16, Within: WithinRack},
		{Accelerators: 32, Within: WithinRack},
	}
	shapes := make([]Shape, 1+random.IntN(6))
	for i := range shapes {
		shapes[i] = kinds[random.IntN(len(kinds))]
	}
	return shapes
}

func (f fleet) capacityTracker() *CapacityTracker {
	tracker := NewCapacityTracker(testWorkerSize)
	worker := 0
	for r, rack := range f {
		for _, residual := range rack {
			tracker.AddWorker(worker, r, residual)
			worker++
		}
	}
	return tracker
}

// canPlace reports whether the shapes fit, by trying every placement.
func (f fleet) canPlace(shapes []Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	members, perWorker := shapes[0].Members(testWorkerSize)
	for _, rack := range f {
		if f.placeInRack(rack, 0, members, perWorker, shapes[1:]) {
			return true
		}
	}
	return false
}

func (f fleet) placeInRack(rack []int, from, members, perWorker int, rest []Shape) bool {
	if members == 0 {
		return f.canPlace(rest)
	}
	for w := from; w < len(rack); w++ {
		if rack[w] < perWorker {
			continue
		}
		rack[w] -= perWorker
		if f.placeInRack(rack, w+1, members-1, perWorker, rest) {
			rack[w] += perWorker
			return true
		}
		rack[w] += perWorker
	}
	return false
}

func TestPacksAgreesWithTryingEveryPlacement(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	properties.Property("Packs agrees with an exhaustive search", prop.ForAll(
		func(seed uint64) bool {
			random := rand.New(rand.NewPCG(seed, 1))
			f := randomFleet(random)
			shapes := randomShapes(random)
			tracker := f.capacityTracker()
			for _, s := range shapes {
				tracker.AddDemand(s, 1)
			}
			return tracker.Packs() == f.canPlace(shapes)
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestTrialsLeaveTheTrackerUnchanged(t *testing.T) {
	tracker := fleet{{8, 8}, {8, 8}}.capacityTracker()
	gang := Shape{Accelerators: 16, Within: WithinRack}
	tracker.AddDemand(gang, 2)
	if !tracker.PacksAfterBinding(gang, []int{0, 1}) {
		t.Fatal("binding one gang to a whole rack must leave the other rack for the second gang")
	}
	if tracker.PacksWithout([]int{0}, 1) {
		t.Fatal("using one more accelerator must leave too little for the second gang")
	}
	if !tracker.Packs() || tracker.Unbound(0) != 8 || tracker.UnboundWorkers(0) != 2 {
		t.Fatal("a trial changed the tracker")
	}
}

func TestShapeValidate(t *testing.T) {
	for _, test := range []struct {
		shape Shape
		ok    bool
	}{
		{Shape{1, WithinWorker}, true},
		{Shape{0, WithinWorker}, true},
		{Shape{3, WithinWorker}, false},
		{Shape{16, WithinWorker}, false},
		{Shape{16, WithinRack}, true},
		{Shape{8, WithinRack}, false},
		{Shape{24, WithinRack}, false},
		{Shape{8, "zone"}, false},
	} {
		err := test.shape.Validate(testWorkerSize)
		if (err == nil) != test.ok {
			t.Errorf("%s: error %v, want accepted %v", test.shape, err, test.ok)
		}
	}
}
