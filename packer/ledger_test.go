package packer

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const testUnit = 8

// fleet is a small fleet with unbound accelerators by rack and worker.
type fleet [][]int

func randomFleet(random *rand.Rand) fleet {
	f := make(fleet, 1+random.IntN(2))
	for r := range f {
		f[r] = make([]int, 1+random.IntN(4))
		for w := range f[r] {
			f[r][w] = random.IntN(testUnit + 1)
			if random.IntN(2) == 0 {
				f[r][w] = testUnit
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

func (f fleet) ledger() *CapacityTracker {
	l := NewCapacityTracker(testUnit)
	worker := 0
	for r, rack := range f {
		for _, residual := range rack {
			l.AddWorker(worker, r, residual)
			worker++
		}
	}
	return l
}

// search tries every placement of the shapes.
func (f fleet) search(shapes []Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	members, each := shapes[0].Members(testUnit)
	for _, rack := range f {
		if f.placeIn(rack, 0, members, each, shapes[1:]) {
			return true
		}
	}
	return false
}

func (f fleet) placeIn(rack []int, from, members, each int, rest []Shape) bool {
	if members == 0 {
		return f.search(rest)
	}
	for w := from; w < len(rack); w++ {
		if rack[w] < each {
			continue
		}
		rack[w] -= each
		if f.placeIn(rack, w+1, members-1, each, rest) {
			rack[w] += each
			return true
		}
		rack[w] += each
	}
	return false
}

func TestPacksAgreesWithTryingEveryPlacement(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	properties.Property("the sums say what a search says", prop.ForAll(
		func(seed uint64) bool {
			random := rand.New(rand.NewPCG(seed, 1))
			f := randomFleet(random)
			shapes := randomShapes(random)
			l := f.ledger()
			for _, s := range shapes {
				l.AddDemand(s, 1)
			}
			return l.Packs() == f.search(shapes)
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestTryingABindingLeavesTheLedgerAsItWas(t *testing.T) {
	l := fleet{{8, 8}, {8, 8}}.ledger()
	gang := Shape{Accelerators: 16, Within: WithinRack}
	l.AddDemand(gang, 2)
	if !l.PacksAfterBinding(gang, []int{0, 1}) {
		t.Fatal("binding a gang to a whole rack must leave room for the other")
	}
	if l.PacksWithout([]int{0}, 1) {
		t.Fatal("one accelerator less must break the second gang")
	}
	if !l.Packs() || l.Unbound(0) != 8 || l.UnboundWorkers(0) != 2 {
		t.Fatal("a trial changed the ledger")
	}
}

func TestShapesAreRefusedWithWhatIsAccepted(t *testing.T) {
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
		err := test.shape.Validate(testUnit)
		if (err == nil) != test.ok {
			t.Errorf("%s: error %v, accepted should be %v", test.shape, err, test.ok)
		}
	}
}
