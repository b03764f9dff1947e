package arranger

import "time"

// WorkerRestarted removes a worker of which another incarnation has appeared, so that all runs on it are lost.
func (a *Arranger) WorkerRestarted(id, reason string) {
	if w := a.workers[id]; w != nil {
		a.logLostRuns(w)
	}
	a.RemoveWorker(id, reason)
}

// maxLoggedRuns is the number of runs that a log line names.
const maxLoggedRuns = 8

// logLostRuns logs the runs that are lost with their worker, and which of them it has never reported.
func (a *Arranger) logLostRuns(w *worker) {
	var runs, unreported int
	var names []string
	var youngest time.Duration
	for _, p := range w.places {
		if p.state == placeClaimed {
			continue
		}
		runs++
		if p.requestedAt.IsZero() {
			unreported++
			if len(names) < maxLoggedRuns {
				names = append(names, p.task.label())
			}
			continue
		}
		if age := p.requestedAt.Sub(p.placedAt); youngest == 0 || age < youngest {
			youngest = age
		}
	}
	if runs == 0 {
		return
	}
	a.counts.WorkersRestarted++
	a.options.Log("runs lost with their worker", "worker", w.ID, "draining", w.Draining, "runs", runs, "unreported", unreported, "unreportedTasks", names,
		"youngestReported", youngest.String())
}
