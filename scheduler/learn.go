package scheduler

import "time"

// learner keeps for each class a moving average of what successful attempts really took.
type learner map[string]time.Duration

const (
	learnWeight      = 8
	unlearnedRunTime = 10 * time.Minute
)

func (l learner) observe(class string, took time.Duration) {
	before, ok := l[class]
	if !ok {
		l[class] = took
		return
	}
	l[class] = before + (took-before)/learnWeight
}

// mean returns the learned run time of the class, or the caller's claim while nothing has been learned.
func (l learner) mean(class string, declared time.Duration) time.Duration {
	if took, ok := l[class]; ok {
		return took
	}
	if declared > 0 {
		return declared
	}
	return unlearnedRunTime
}

// remaining estimates how long a running job will go on; one that has outlived the estimate is taken to be half done.
func (l learner) remaining(j *job, now time.Time) time.Duration {
	elapsed := now.Sub(j.started)
	mean := l.mean(j.Class, j.DeclaredRunTime)
	if elapsed >= mean {
		return elapsed
	}
	return mean - elapsed
}
