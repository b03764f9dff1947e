package scheduler

import "time"

// runTimeEstimator keeps a moving average of the run time of successful attempts for each class.
type runTimeEstimator map[string]time.Duration

const (
	// averageDivisor gives a new observation a weight of 1/8.
	averageDivisor = 8
	defaultRunTime = 10 * time.Minute
)

func (e runTimeEstimator) observe(class string, took time.Duration) {
	before, ok := e[class]
	if !ok {
		e[class] = took
		return
	}
	e[class] = before + (took-before)/averageDivisor
}

// mean returns the average run time of the class; before the first observation, it returns the declared run time or a default.
func (e runTimeEstimator) mean(class string, declared time.Duration) time.Duration {
	if took, ok := e[class]; ok {
		return took
	}
	if declared > 0 {
		return declared
	}
	return defaultRunTime
}

// remaining estimates how long a running job still takes; a job that has exceeded the average is assumed to be half done.
func (e runTimeEstimator) remaining(j *job, now time.Time) time.Duration {
	elapsed := now.Sub(j.started)
	mean := e.mean(j.Class, j.DeclaredRunTime)
	if elapsed >= mean {
		return elapsed
	}
	return mean - elapsed
}
