package scheduler

import (
	"slices"
	"time"
)

const (
	// quarantineFailures is the number of different jobs that must fail on a worker in a row before it is quarantined.
	quarantineFailures = 3
	// minQuarantine and maxQuarantine bound the time before a quarantined worker is probed.
	minQuarantine = 30 * time.Second
	maxQuarantine = 30 * time.Minute
	// quarantineDivisor limits quarantine to one in this many workers of the fleet.
	quarantineDivisor = 10
	// memoryStopPercent is the memory use, in percent of the job's share, above which a job is stopped without being throttled first.
	memoryStopPercent = 125
)

// updateWorker applies a worker's report; a new incarnation or capacity counts as the loss of the previous worker.
func (s *Scheduler) updateWorker(e WorkerReported) {
	w := s.workers[e.Worker.ID]
	if w != nil && (w.Incarnation != e.Worker.Incarnation || w.Worker.capacity() != e.Worker.capacity()) {
		s.removeWorker(w.ID)
		w = nil
	}
	if w == nil {
		w = s.addWorker(e.Worker)
		s.rebind()
	}
	if w.state == workerSilent {
		s.resumeWorker(w)
	}
	if e.Leaving != (w.state == workerLeaving) {
		s.setLeaving(w, e.Leaving)
	}
}

// resumeWorker returns a silent worker that answers again to use or to quarantine.
func (s *Scheduler) resumeWorker(w *worker) {
	if w.wasQuarantined {
		s.quarantine(w)
		return
	}
	w.state = workerUp
	s.rebind()
}

// markSilent keeps new jobs off the worker until it answers again.
func (s *Scheduler) markSilent(id string) {
	w := s.workers[id]
	if w == nil || w.state == workerSilent {
		return
	}
	w.wasQuarantined = w.state == workerQuarantined || w.state == workerProbing
	w.state = workerSilent
	s.dropClaimsOn(w, Reason{Rule: RuleWorkerSilent, Worker: id})
	s.rebind()
}

func (s *Scheduler) addWorker(info Worker) *worker {
	rack, ok := s.racks[info.Zone+"/"+info.Rack]
	if !ok {
		rack = len(s.byRack)
		s.racks[info.Zone+"/"+info.Rack] = rack
		s.byRack = append(s.byRack, nil)
		s.idleWorkers = append(s.idleWorkers, 0)
	}
	w := &worker{
		Worker:         info,
		index:          s.nextIndex(),
		rack:           rack,
		capacity:       info.capacity(),
		jobs:           map[string]*job{},
		failedJobs:     map[string]bool{},
		quarantineTime: minQuarantine,
	}
	s.workers[w.ID] = w
	s.workerList = append(s.workerList, w)
	s.byRack[rack] = append(s.byRack[rack], w)
	s.idleWorkers[rack]++
	return w
}

// nextIndex returns the lowest index that no worker has; reusing indexes keeps the tracker small when workers are replaced.
func (s *Scheduler) nextIndex() int {
	taken := make([]bool, len(s.workerList)+1)
	for _, w := range s.workerList {
		if w.index < len(taken) {
			taken[w.index] = true
		}
	}
	return slices.Index(taken, false)
}

func (s *Scheduler) setLeaving(w *worker, leaving bool) {
	w.state = workerUp
	if leaving {
		w.state = workerLeaving
	}
	s.dropClaimsOn(w, Reason{Rule: RuleWorkerLeaving, Worker: w.ID})
	s.rebind()
	if !leaving {
		return
	}
	for _, j := range w.sortedJobs() {
		if j.class.Checkpointable && (j.phase == phaseRunning || j.phase == phaseStarting) {
			s.stop(j, Reason{Rule: RuleWorkerLeaving, Worker: w.ID}, true)
		}
	}
}

func (s *Scheduler) dropClaimsOn(w *worker, reason Reason) {
	for _, j := range slices.Clone(w.claims) {
		s.dropClaim(j)
		s.requeue(j, 0, reason)
	}
}

// removeWorker removes a lost worker and stops the jobs that ran on it; a gang is stopped as a whole.
func (s *Scheduler) removeWorker(id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	reason := Reason{Rule: RuleMemberLost, Worker: id}
	s.dropClaimsOn(w, reason)
	lost := w.sortedJobs()
	for _, j := range lost {
		s.removeMember(j, w, reason)
	}
	delete(s.workers, id)
	s.workerList = slices.DeleteFunc(s.workerList, func(other *worker) bool { return other == w })
	s.byRack[w.rack] = slices.DeleteFunc(s.byRack[w.rack], func(other *worker) bool { return other == w })
	s.idleWorkers[w.rack]--
	s.rebind()
	for _, j := range lost {
		if s.jobs[j.ID] == j && j.phase == phaseStopping && len(j.members) == 0 {
			s.resolveStop(j)
		}
	}
}

// removeMember removes the lost worker from the job and stops the job's other members.
func (s *Scheduler) removeMember(j *job, w *worker, reason Reason) {
	at := slices.IndexFunc(j.members, func(m member) bool { return m.worker == w })
	lost := j.members[at]
	s.vacate(j, lost)
	s.releaseAllocationOnLoss(j)
	j.members = slices.Delete(j.members, at, at+1)
	if j.phase != phaseStopping {
		s.stop(j, reason, false)
		return
	}
	if j.stop.Rule != RuleCancelled {
		j.stop = reason
	}
}

// releaseAllocationOnLoss releases the job's allocation; its other members count as lent until they have stopped.
func (s *Scheduler) releaseAllocationOnLoss(j *job) {
	s.releaseAllocation(j)
	j.allocation = allocationLent
}

// recordFailure counts a failure against the worker, unless the job has already failed on another and the worker is not being probed.
func (s *Scheduler) recordFailure(w *worker, j *job) {
	if w == nil || (len(j.failedOn) > 1 && w.state != workerProbing) {
		return
	}
	w.failedJobs[j.ID] = true
	switch {
	case w.state == workerProbing && w.probeJob == j.ID:
		w.quarantineTime = min(w.quarantineTime*2, maxQuarantine)
		s.quarantine(w)
	case w.state == workerUp && len(w.failedJobs) >= quarantineFailures && s.mayQuarantine():
		s.quarantine(w)
	}
}

// mayQuarantine limits how many workers are quarantined at once, so that faulty jobs cannot put the fleet out of use.
func (s *Scheduler) mayQuarantine() bool {
	out := 0
	for _, w := range s.workerList {
		if w.state == workerQuarantined || w.state == workerProbing {
			out++
		}
	}
	return out < max(1, len(s.workerList)/quarantineDivisor)
}

func (s *Scheduler) quarantine(w *worker) {
	w.state = workerQuarantined
	w.probeJob = ""
	reason := Reason{Rule: RuleWorkerQuarantined, Worker: w.ID, Count: len(w.failedJobs), Span: w.quarantineTime}
	s.dropClaimsOn(w, reason)
	s.timers.set(s.now.Add(w.quarantineTime), w.ID, timerProbe)
	s.emit(WorkerChanged{Worker: w.ID, Usable: false, Reason: reason})
	s.rebind()
}

func (s *Scheduler) startProbing(id string) {
	w := s.workers[id]
	if w == nil || w.state != workerQuarantined {
		return
	}
	w.state = workerProbing
	s.fullPass = true
	s.emit(WorkerChanged{Worker: id, Usable: false, Reason: Reason{Rule: RuleWorkerProbing, Worker: id}})
}

// clearProbe lets another job probe the worker after this one ended without a result.
func (s *Scheduler) clearProbe(j *job) {
	for _, m := range j.members {
		if m.worker.probeJob == j.ID {
			m.worker.probeJob = ""
		}
	}
}

// recordSuccess clears the worker's failed jobs and ends its quarantine if the job was the probe.
func (s *Scheduler) recordSuccess(w *worker, j *job) {
	clear(w.failedJobs)
	if w.state == workerProbing && w.probeJob == j.ID {
		s.endQuarantine(w)
	}
}

func (s *Scheduler) endQuarantine(w *worker) {
	w.state = workerUp
	w.probeJob = ""
	w.quarantineTime = minQuarantine
	s.emit(WorkerChanged{Worker: w.ID, Usable: true, Reason: Reason{Rule: RuleWorkerRestored, Worker: w.ID}})
	s.rebind()
}

// discountFailures removes the failures of a faulty job from its workers and ends quarantines that depended on them.
func (s *Scheduler) discountFailures(j *job) {
	for _, w := range slices.Clone(s.workerList) {
		if !w.failedJobs[j.ID] {
			continue
		}
		delete(w.failedJobs, j.ID)
		if w.state == workerQuarantined && len(w.failedJobs) < quarantineFailures && w.quarantineTime == minQuarantine {
			s.endQuarantine(w)
		}
	}
}

// checkMemoryUsage throttles a job above its share of the worker's memory, and stops it if it is far above or was throttled already.
func (s *Scheduler) checkMemoryUsage(e UsageReported) {
	j := s.jobs[e.ID]
	w := s.workers[e.Worker]
	if j == nil || w == nil || w.jobs[j.ID] != j || j.phase != phaseRunning {
		return
	}
	share := shareMB(w, countOn(j, w))
	reason := Reason{Rule: RuleMemoryThrottled, Worker: w.ID, Count: e.MemoryMB, Limit: share}
	switch {
	case share == 0 || e.MemoryMB <= share:
		j.throttled = false
	case j.throttled || e.MemoryMB*100 > share*memoryStopPercent:
		reason.Rule = RuleMemoryStopped
		s.stop(j, reason, false)
	default:
		j.throttled = true
		s.emit(Throttled{ID: j.ID, Worker: w.ID, Reason: reason})
	}
}
