package estimator

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// halfLife is the time after which an observation has lost half of its weight.
	halfLife = 2 * time.Minute
	// halfCount is the weight of later observations after which an observation has lost half of its own, so that a
	// changed queue is relearned from a dozen jobs, however frequent they are.
	halfCount = 12
	// accuracy is the relative error of quantiles, and maxBins bounds the memory of a distribution; together they span
	// a factor of 20,000.
	accuracy = 0.01
	maxBins  = 512
	// countScale is the count of an observation of weight 1 in a sketch, whose quantiles are exact only for large counts.
	countScale = 1000
	// minDecay keeps the counts of a sketch above zero.
	minDecay = 1e-9
)

// distribution is the weighted distribution of recent positive values; the zero value is empty.
type distribution struct {
	sketch    *ddsketch.DDSketch
	updatedAt time.Time
}

// add adds a positive value; others are ignored.
func (d *distribution) add(now time.Time, value, weight float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value <= 0 || weight <= 0 {
		return
	}
	if d.sketch != nil {
		// Reweight fails only for factors that are not above zero.
		_ = d.sketch.Reweight(max(d.decay(now)*math.Exp2(-weight/halfCount), minDecay))
	}
	d.insert(value, weight)
	d.updatedAt = latest(d.updatedAt, now)
}

// insert adds a positive value and leaves the weights of the others as they are.
func (d *distribution) insert(value, weight float64) {
	if d.sketch == nil {
		m, err := mapping.NewLogarithmicMapping(accuracy)
		if err != nil {
			panic("estimator: accuracy out of range: " + err.Error())
		}
		d.sketch = ddsketch.NewDDSketch(m, store.NewCollapsingLowestDenseStore(maxBins), store.NewCollapsingLowestDenseStore(1))
	}
	// Values within the range of the mapping are accepted.
	_ = d.sketch.AddWithCount(min(max(value, d.sketch.MinIndexableValue()), d.sketch.MaxIndexableValue()), weight*countScale)
}

// decay returns the factor by which the weights have decreased with time since the latest observation.
func (d *distribution) decay(now time.Time) float64 {
	return math.Exp2(-max(0, now.Sub(d.updatedAt).Seconds()) / halfLife.Seconds())
}

// weight returns the decayed weight of all observations.
func (d *distribution) weight(now time.Time) float64 {
	if d.sketch == nil {
		return 0
	}
	return d.sketch.GetCount() / countScale * d.decay(now)
}

// quantile returns the quantile q of the values, or 0 if there are none.
func (d *distribution) quantile(q float64) float64 {
	if d.sketch == nil || d.sketch.IsEmpty() {
		return 0
	}
	value, err := d.sketch.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return value
}
