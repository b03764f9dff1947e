package scheduler

// schedule places waiting jobs: all of them after something was freed, else only the groups that got a new job.
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

// placeGuaranteed places jobs of the group into their organisation's own cells for as long as there is room.
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

// placeLentInstead lends the job a free place where its placement would break a cell that spans workers, so that the organisation's own gangs keep theirs.
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

// placeBeyondGuarantee places jobs of the group beyond their organisation's guarantee for as long as there is room.
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

// mustWaitForStore reports whether the job's attempt would have to be recorded while that cannot be done.
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

// placeProbe tries out a quarantined worker with one idempotent job that is not urgent.
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
