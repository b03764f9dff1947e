package scheduler

import (
	"time"

	"github.com/snipelift/snipelift/packer"
)

// JobView is the public state of a job that has not ended.
type JobView struct {
	ID           string       `json:"id"`
	Organisation string       `json:"organisation"`
	Class        string       `json:"class"`
	Shape        packer.Shape `json:"shape"`
	Phase        string       `json:"phase"`
	Attempt      int          `json:"attempt"`
	Moves        int          `json:"moves"`
	Lent         bool         `json:"lent,omitempty"`
	Members      []Member     `json:"members,omitempty"`
	Submitted    time.Time    `json:"submitted"`
	Reason       Reason       `json:"reason"`
}

// WorkerView is the public state of a worker.
type WorkerView struct {
	Worker
	State string            `json:"state"`
	Jobs  map[string]string `json:"jobs,omitempty"`
	// Map has one letter for each accelerator: "." free, "G" guaranteed, "L" lent, "S" spare.
	Map string `json:"map"`
}

// OrganisationView counts an organisation's waiting jobs and the accelerators that it is guaranteed, uses, borrows and misses.
type OrganisationView struct {
	Name       string `json:"name"`
	Guaranteed int    `json:"guaranteed"`
	InUse      int    `json:"inUse"`
	Borrowed   int    `json:"borrowed"`
	Waiting    int    `json:"waiting"`
	Missing    int    `json:"missing"`
}

// View is the public state of the scheduler.
type View struct {
	Workers       []WorkerView       `json:"workers"`
	Organisations []OrganisationView `json:"organisations"`
	Queues        map[string]int     `json:"queues"`
	Jobs          []JobView          `json:"jobs,omitempty"`
}

var phaseNames = map[phase]string{
	phaseWaiting:  "waiting",
	phaseClaiming: "waiting",
	phaseStarting: "starting",
	phaseRunning:  "running",
	phaseStopping: "stopping",
}

var stateNames = map[workerState]string{
	workerUp:          "up",
	workerLeaving:     "leaving",
	workerQuarantined: "quarantined",
	workerProbing:     "probing",
	workerSilent:      "silent",
}

// Job returns the view of the job, or false if it is unknown or has ended.
func (s *Scheduler) Job(id string) (JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	return viewOf(j), true
}

func viewOf(j *job) JobView {
	v := JobView{
		ID: j.ID, Organisation: j.Organisation, Class: j.Class, Shape: j.Shape,
		Phase: phaseNames[j.phase], Attempt: j.attempt, Moves: j.moves,
		Lent: j.allocation == allocationLent, Submitted: j.Submitted, Reason: j.reason,
	}
	if j.phase != phaseClaiming {
		v.Members = j.memberList()
	}
	return v
}

// View returns the public state; it lists jobs only if withJobs is set.
func (s *Scheduler) View(withJobs bool) View {
	view := View{Queues: map[string]int{}}
	for _, w := range s.workerList {
		view.Workers = append(view.Workers, viewWorker(w))
	}
	for _, o := range s.document.Organisations {
		view.Organisations = append(view.Organisations, s.viewOrganisation(o.Name))
	}
	for key, n := range s.queue.waiting {
		view.Queues[key.class] += n
	}
	if withJobs {
		for _, j := range s.jobs {
			view.Jobs = append(view.Jobs, viewOf(j))
		}
	}
	return view
}

func viewWorker(w *worker) WorkerView {
	v := WorkerView{Worker: w.Worker, State: stateNames[w.state], Jobs: map[string]string{}}
	letters := make([]byte, w.capacity)
	for i := range letters {
		letters[i] = '.'
	}
	for _, j := range w.jobs {
		v.Jobs[j.ID] = j.Organisation
		for _, m := range j.members {
			if m.worker == w {
				fillMap(letters, m.mask, letterOf(j))
			}
		}
	}
	v.Map = string(letters)
	return v
}

func fillMap(letters []byte, mask uint64, letter byte) {
	for i := range letters {
		if mask&(1<<i) != 0 {
			letters[i] = letter
		}
	}
}

func letterOf(j *job) byte {
	switch j.allocation {
	case allocationGuaranteed:
		return 'G'
	case allocationSpare:
		return 'S'
	case allocationNone, allocationLent:
		return 'L'
	}
	return 'L'
}

func (s *Scheduler) viewOrganisation(name string) OrganisationView {
	v := OrganisationView{Name: name}
	for _, c := range s.cells[name] {
		v.Guaranteed += c.members * c.perWorker
		if c.broken {
			v.Missing += c.members * c.perWorker
		}
	}
	for _, j := range s.jobs {
		if j.Organisation != name {
			continue
		}
		switch {
		case j.phase == phaseWaiting || j.phase == phaseClaiming:
			v.Waiting++
		case j.allocation == allocationGuaranteed:
			v.InUse += j.accelerators()
		default:
			v.Borrowed += j.accelerators()
		}
	}
	return v
}
