package scheduler

import "time"

// runTimeEstimator keeps for each class a moving average of what successful attempts really took.
type runTimeEstimator map[string]time.Duration

const (
	averageDivisor = 8
	defaultRunTime = 10 * time.Minute
)

func (l runTimeEstimator) observe(class string, took time.Duration) {
	before, ok := l[class]
	if !ok {
		l[class] = took
		return
	}
	l[class] = before + (took-before)/averageDivisor
}

// mean returns the learned run time of the class, or the caller's claim while nothing has been learned.
func (l runTimeEstimator) mean(class string, declared time.Duration) time.Duration {
	if took, ok := l[class]; ok {
		return took
	}
	if declared > 0 {
		return declared
	}
	return defaultRunTime
}

// remaining estimates how long a running job will go on; one that has outlived the estimate is taken to be half done.
func (l runTimeEstimator) remaining(j *job, now time.Time) time.Duration {
	elapsed := now.Sub(j.started)
	mean := l.mean(j.Class, j.DeclaredRunTime)
	if elapsed >= mean {
		return elapsed
	}
	return mean - elapsed
}
