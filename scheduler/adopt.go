package scheduler

// adoptRunning takes over an attempt that a previous owner started.
func (s *Scheduler) adoptRunning(e JobAdopted) {
	if s.jobs[e.Job.ID] != nil {
		return
	}
	j := s.newJob(e.Job)
	j.attempt = e.Attempt
	j.moves = e.Moves
	j.checkpoint = e.Checkpoint
	j.started = e.Started
	j.phase = phaseRunning
	j.allocation = allocationSpare
	s.jobs[j.ID] = j
	for _, m := range e.Members {
		s.adoptMember(j, m)
	}
	if len(j.members) < len(e.Members) || len(j.members) == 0 {
		j.allocation = allocationLent
		s.stop(j, Reason{Rule: RuleMemberLost, Worker: e.Members[0].Worker}, false)
		if len(j.members) == 0 {
			s.resolveStop(j)
		}
		return
	}
	if limit := j.class.RunLimit(); limit > 0 {
		s.timers.set(j.started.Add(limit), j.ID, timerRunLimit)
	}
	s.rebind()
}

// adoptMember marks the accelerators of one member as occupied; a member on an unknown worker or on occupied accelerators counts as lost.
func (s *Scheduler) adoptMember(j *job, m Member) {
	w := s.workers[m.Worker]
	if w == nil {
		return
	}
	mask, count := adoptedMask(w, m)
	if mask == 0 || w.occupied&mask != 0 {
		return
	}
	s.changeOccupied(w, w.occupied|mask)
	w.jobs[j.ID] = j
	j.members = append(j.members, member{worker: w, count: count, mask: mask})
}

func adoptedMask(w *worker, m Member) (mask uint64, count int) {
	if w.Accelerators == 0 {
		scratch := worker{capacity: w.capacity, occupied: w.occupied}
		return scratch.occupy(1), 1
	}
	for _, a := range m.Accelerators {
		if a < 0 || a >= w.capacity {
			return 0, 0
		}
		mask |= 1 << a
	}
	return mask, len(m.Accelerators)
}
