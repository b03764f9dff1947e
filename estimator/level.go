package estimator

import (
	"cmp"
	"slices"
	"time"
)

// Sample is the work of one run of a step.
type Sample struct {
	// Work is the whole work of the run, or that of an unfinished run so far if Censored is set.
	Work     time.Duration
	Censored bool
}

// level is the typical work of a step, as its runs show it.
type level struct {
	// seconds is the median, or a lower bound of it if open is set.
	seconds float64
	open    bool
	// count is the number of samples that are not censored.
	count int
}

// levelOf returns the median of the samples by the product-limit estimator: the weight of a censored sample is shared by
// all longer ones, so that long runs, which end last, do not bias the median. The samples are sorted in place.
func levelOf(samples []Sample) level {
	slices.SortFunc(samples, func(x, y Sample) int {
		return cmp.Or(cmp.Compare(x.Work, y.Work), cmp.Compare(boolInt(x.Censored), boolInt(y.Censored)))
	})
	const half, tolerance = 0.5, 1e-9
	l := level{open: true}
	surviving, lower := 1.0, 0.0
	for i, s := range samples {
		if s.Censored {
			continue
		}
		l.count++
		if !l.open {
			continue
		}
		surviving *= 1 - 1/float64(len(samples)-i)
		switch {
		case lower > 0:
			// Exactly half of the runs were shorter.
			l.seconds, l.open = (lower+s.Work.Seconds())/2, false
		case surviving < half-tolerance:
			l.seconds, l.open = s.Work.Seconds(), false
		case surviving <= half+tolerance:
			lower = s.Work.Seconds()
		}
	}
	switch {
	case !l.open:
	case lower > 0:
		l.seconds, l.open = lower, false
	case len(samples) > 0:
		// About half of the runs are known to be longer than this.
		l.seconds = samples[(len(samples)-1)/2].Work.Seconds()
	}
	return l
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
