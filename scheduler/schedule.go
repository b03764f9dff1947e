package scheduler

// schedule places queued jobs: all of them if a full pass was requested, else only those of groups that received a job.
func (s *Scheduler) schedule() {
	for s.fullPass {
		s.fullPass = false
		clear(s.changedGroups)
		s.startReadyClaims()
		s.reservation = nil
		s.placeAll()
	}
	for key := range s.changedGroups {
		if g := s.queue.groups[key]; g != nil {
			s.placeGuaranteed(g)
			s.placeBeyondGuarantee(key)
		}
	}
	clear(s.changedGroups)
}

func (s *Scheduler) placeAll() {
	for rank := range s.queue.byRank {
		groups := s.queue.ordered(rank)
		for _, g := range groups {
			s.placeGuaranteed(g)
		}
		for _, g := range groups {
			s.placeBeyondGuarantee(g.key)
		}
	}
}

// placeGuaranteed places jobs of the group in their organisation's own cells while they fit.
func (s *Scheduler) placeGuaranteed(g *group) {
	for len(g.jobs) > 0 {
		j := g.head()
		p := s.planGuaranteed(j)
		if p == nil || s.mustWaitForStore(j) {
			return
		}
		if s.placeLentInstead(j, p) {
			continue
		}
		reason := Reason{Rule: RuleReclaimed, Organisation: j.Organisation, Shape: j.Shape.String(), Job: j.ID}
		s.commit(j, p, allocationGuaranteed, s.waitingReason(j), reason)
	}
}

// placeLentInstead places the job on lent capacity if its placement would split a cell that spans workers, which stays whole for the organisation's gangs.
func (s *Scheduler) placeLentInstead(j *job, p *placement) bool {
	if !j.class.Borrows || p.cell.members == 1 || p.score.brokenBlock <= j.accelerators() {
		return false
	}
	lent := s.planLent(j)
	if lent == nil {
		return false
	}
	s.commit(j, lent, allocationLent, s.waitingReason(j), Reason{})
	return true
}

// placeBeyondGuarantee places jobs of the group outside their organisation's cells while they fit.
func (s *Scheduler) placeBeyondGuarantee(key groupKey) {
	for {
		g := s.queue.groups[key]
		if g == nil || !s.placeOneBeyondGuarantee(g.head()) {
			return
		}
	}
}

func (s *Scheduler) placeOneBeyondGuarantee(j *job) bool {
	if s.mustWaitForStore(j) {
		return false
	}
	if s.placeProbe(j) {
		return true
	}
	if !j.class.Borrows {
		return s.placeSpare(j)
	}
	if p := s.planLent(j); p != nil {
		s.commit(j, p, allocationLent, s.waitingReason(j), Reason{})
		return true
	}
	if j.class.Urgent() {
		return s.placeUrgent(j)
	}
	if s.reservation == nil && j.memberCount(s.workerSize) > 1 {
		return s.reserve(j)
	}
	if j.reason.Rule != RuleReserved || s.reservation == nil || s.reservation.job != j {
		j.reason = s.waitingReason(j)
	}
	return false
}

// mustWaitForStore reports whether the job must not start because its attempt cannot be recorded.
func (s *Scheduler) mustWaitForStore(j *job) bool {
	if !s.storeUnavailable || j.class.Idempotent {
		return false
	}
	j.reason = Reason{Rule: RuleStoreUnavailable}
	return true
}

func (s *Scheduler) placeSpare(j *job) bool {
	p := s.planSpare(j)
	if p == nil {
		return false
	}
	s.commit(j, p, allocationSpare, s.waitingReason(j), Reason{})
	return true
}

func (s *Scheduler) placeUrgent(j *job) bool {
	p := s.planUrgent(j)
	if p == nil {
		return false
	}
	reason := Reason{Rule: RulePreemptedByUrgent, Organisation: j.Organisation, Job: j.ID}
	s.commit(j, p, allocationLent, s.waitingReason(j), reason)
	return true
}

// placeProbe places an idempotent job that is not urgent on a worker that is being probed after its quarantine.
func (s *Scheduler) placeProbe(j *job) bool {
	if !j.class.Idempotent || j.class.Urgent() || !j.class.Borrows || j.memberCount(s.workerSize) > 1 {
		return false
	}
	for _, w := range s.workerList {
		if w.state != workerProbing || w.probeJob != "" || !fits(w, j) || w.freeNow() < j.accelerators() {
			continue
		}
		w.probeJob = j.ID
		p := &placement{workers: []*worker{w}, perWorker: j.accelerators()}
		s.commit(j, p, allocationLent, s.waitingReason(j), Reason{})
		return true
	}
	return false
}

func (s *Scheduler) waitingReason(j *job) Reason {
	return Reason{Rule: RuleWaitsForShape, Organisation: j.Organisation, Shape: j.Shape.String()}
}
