package arranger

import (
	"math"
	"slices"
)

// Observations compare workers with each other only, so that the average is free to drift: on a fleet whose fast
// workers report first it drifted by half of the range of speeds in a minute. The ratings are therefore shifted so that
// those of a service average to one, and published in steps that noise does not change.

// serviceAverage sums up the ratings of the workers of a service.
type serviceAverage struct {
	service string
	// rated is the number of rated workers, mean the mean of the logarithms of their speeds.
	rated, mean float64
	// observed is the number of workers that are rated well by present observations; squares and errors are the sums of
	// the squares of the logarithms of their speeds, before these were shrunk to the average, and of their variances.
	observed, squares, errors float64
}

// averages returns the averages of the services that have workers in the fleet.
func (s *speedRatings) averages(fleet []*worker) []*serviceAverage {
	var all []*serviceAverage
	averageOf := func(w *worker) *serviceAverage {
		i := slices.IndexFunc(all, func(a *serviceAverage) bool { return a.service == w.Service })
		if i < 0 {
			i = len(all)
			all = append(all, &serviceAverage{service: w.Service})
		}
		return all[i]
	}
	for _, w := range fleet {
		a := averageOf(w)
		if w.rating.rated() {
			a.rated++
			a.mean += (w.rating.logSpeed - a.mean) / a.rated
		}
	}
	for _, w := range s.workers {
		own := w.rating.precision - 1/s.spreadOf(w.Service)
		if own*maxRatingError*maxRatingError < 1 {
			continue
		}
		a := averageOf(w)
		value := w.rating.weighted/own - a.mean
		a.observed++
		a.squares += value * value
		a.errors += 1 / own
	}
	return all
}

// shift adds to the logarithms of all speeds of a service, and to those of the work of its groups.
func (s *speedRatings) shift(fleet []*worker, service string, by float64) {
	for _, w := range fleet {
		if r := &w.rating; w.Service == service && r.err > 0 {
			r.logSpeed += by
			r.memory.value += by
		}
	}
	for _, g := range s.groups {
		if g.service != service {
			continue
		}
		g.centre -= by
		g.past.value -= by
		for _, m := range g.members {
			m.speed.value += by
			m.others.value -= by
		}
	}
	for key, shape := range s.shapes {
		if key.service == service {
			shape.centre -= by
		}
	}
}

// spreadOf returns the variance of the logarithms of the speeds of the service's workers.
func (s *speedRatings) spreadOf(service string) float64 {
	if spread, ok := s.spreads[service]; ok {
		return spread
	}
	return defaultSpread * defaultSpread
}

// updateSpread estimates how much the speeds of the service's workers differ beyond the errors of their ratings: alike
// workers are rated as average, whatever the noise of their runs.
func (s *speedRatings) updateSpread(a *serviceAverage) {
	if a.observed < minSpreadWorkers {
		return
	}
	if s.spreads == nil {
		s.spreads = map[string]float64{}
	}
	s.spreads[a.service] = max((a.squares-a.errors)/a.observed, minSpread*minSpread)
}

// publish updates the published ratings of a service.
func (s *speedRatings) publish(fleet []*worker, service string) {
	required := float64(initialSignificance)
	if _, known := s.spreads[service]; known {
		required = significance
	}
	for _, w := range fleet {
		if w.Service == service && w.rating.err > 0 {
			w.rating.publish(required)
		}
	}
}

// publish updates the published rating where the difference is more than noise; the worker is rated as average unless it
// differs by the required number of standard errors.
func (r *speedRating) publish(required float64) {
	steps := r.logSpeed / math.Log(ratingStep)
	if math.Abs(r.logSpeed) < required*r.err {
		steps = 0
	}
	if math.Abs(steps-float64(r.steps)) > stepChange {
		r.steps = int(math.Round(steps))
	}
}
