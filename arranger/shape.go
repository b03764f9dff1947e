package arranger

import "math"

const (
	// gangNoise and taskNoise are the standard deviations of the logarithm of the work of the runs of a group, while
	// they are not known; minNoise is the least. Members of a gang have equal work.
	gangNoise = 0.05
	taskNoise = 0.3
	minNoise  = 0.03
	// minNoisePairs is the number of pairs of runs of a step on one worker from which the noise is known.
	minNoisePairs = 6
	// minShapeGroups is the number of groups from which the work of a shape is known, minWorkSpread the least standard
	// deviation of its logarithm.
	minShapeGroups = 5
	minWorkSpread  = 0.1
	// madToDeviation converts a median absolute deviation to the standard deviation of a normal distribution.
	madToDeviation = 1.48
)

// paceShape holds what the groups of steps of a queue with the same shape have in common.
type paceShape struct {
	// noise is the variance of the logarithm of the work of the runs of a group.
	noise float64
	// centre and spread are the median and the variance of the groups' centres, count is their number.
	centre, spread float64
	count          int
	// differences are those of pairs of runs of a group on the same worker, centres the groups' centres; both are
	// buffers of updateShapes.
	differences, centres []float64
}

// newPaceShape returns the shape of a step of so many tasks; all groups of steps of one task have one run each, so that
// what these differ in is the work of the groups.
func newPaceShape(gang bool, count int) *paceShape {
	if gang || count == 1 {
		return &paceShape{noise: gangNoise * gangNoise}
	}
	return &paceShape{noise: taskNoise * taskNoise}
}

// work returns the work of a group of the shape before its own runs are looked at.
func (p *paceShape) work() estimate {
	if p.count < minShapeGroups {
		return estimate{}
	}
	return estimate{value: p.centre, precision: 1 / p.spread}
}

// updateShapes estimates the noise of each shape from runs of a group on the same worker, whose speed it does not
// depend on, and the work of each shape from its groups.
func (s *speedRatings) updateShapes() {
	for _, shape := range s.shapes {
		shape.differences, shape.centres = shape.differences[:0], shape.centres[:0]
	}
	for _, g := range s.groups {
		g.shape.centres = append(g.shape.centres, g.centre)
		for _, m := range g.members {
			for i := 1; i < len(m.runs); i += 2 {
				g.shape.differences = append(g.shape.differences, math.Abs(m.runs[i].logPace-m.runs[i-1].logPace))
			}
		}
	}
	for _, shape := range s.shapes {
		if len(shape.differences) >= minNoisePairs {
			deviation := max(madToDeviation*median(shape.differences)/math.Sqrt2, minNoise)
			shape.noise = deviation * deviation
		}
		shape.count = len(shape.centres)
		shape.centre = median(shape.centres)
		for i, c := range shape.centres {
			shape.centres[i] = math.Abs(c - shape.centre)
		}
		deviation := max(madToDeviation*median(shape.centres), minWorkSpread)
		shape.spread = deviation * deviation
	}
}
