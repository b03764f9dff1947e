package arranger

// HoldJob sets whether no further tasks of a job are placed, since its progress cannot be recorded.
func (a *Arranger) HoldJob(id string, held bool) {
	j := a.jobs[id]
	if j == nil || j.held == held {
		return
	}
	j.held = held
	a.changed = true
	a.options.Log("placement of a job's tasks changed", "job", id, "queue", j.Queue, "held", held)
}

// FailJob ends a job whose progress cannot be recorded as failed; it has no effect on a job that has ended.
func (a *Arranger) FailJob(id, reason string) {
	if j := a.jobs[id]; j != nil {
		a.endJob(j, Failed, reason)
	}
}
