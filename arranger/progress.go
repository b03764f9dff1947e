package arranger

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Progress is the recorded state of a job, from which the next owner resumes it.
type Progress struct {
	State State `json:"state"`
	// Done maps each stage, named OCCURRENCE.STEP, to a bit set of its completed tasks in hexadecimal.
	Done map[string]string `json:"done,omitempty"`
	// Tasks maps OCCURRENCE.STEP.INDEX to the progress of tasks that are not done.
	Tasks map[string]TaskProgress `json:"tasks,omitempty"`
	// Workers are the IDs of the workers on which runs of the job may exist.
	Workers []string `json:"workers,omitempty"`
	// Confirmed maps incarnations of workers, as WORKER@INCARNATION, to the tasks, as OCCURRENCE.STEP.INDEX, whose start they have
	// confirmed and whose runs they had not reported yet.
	Confirmed map[string][]string `json:"confirmed,omitempty"`
	// WorkersUnknown means that the record could not be read, so that runs may exist on any worker.
	WorkersUnknown bool `json:"-"`
}

// TaskProgress is the recorded state of a task that has failed runs, a checkpoint or crashes.
type TaskProgress struct {
	// FailedRuns are the numbers of the failed runs, kept since their ends may be reported again.
	FailedRuns []int64 `json:"failedRuns,omitempty"`
	Checkpoint string  `json:"checkpoint,omitempty"`
	// Crashes are the incarnations of workers, as WORKER@INCARNATION, that crashed under suspected runs.
	Crashes []string `json:"crashes,omitempty"`
}

// lastOccurrence returns the highest occurrence with recorded progress, or -1.
func (p Progress) lastOccurrence() int {
	last := -1
	consider := func(key string) {
		number, _, _ := strings.Cut(key, ".")
		if n, err := strconv.Atoi(number); err == nil {
			last = max(last, n)
		}
	}
	for key := range p.Done {
		consider(key)
	}
	for key := range p.Tasks {
		consider(key)
	}
	return last
}

// WithoutCheckpoints returns a copy of the progress in which Tasks holds only failed runs and crashes, without confirmed runs.
func (p Progress) WithoutCheckpoints() Progress {
	kept := map[string]TaskProgress{}
	for name, t := range p.Tasks {
		t.Checkpoint = ""
		if len(t.FailedRuns) > 0 || len(t.Crashes) > 0 {
			kept[name] = t
		}
	}
	p.Tasks, p.Confirmed = kept, nil
	return p
}

// Progress returns the state of the job to be recorded.
func (a *Arranger) Progress(id string) Progress {
	j := a.jobs[id]
	if j == nil {
		return Progress{}
	}
	p := Progress{State: j.state}
	for _, s := range j.stages {
		if bits := s.doneBits(); bits != "" {
			if p.Done == nil {
				p.Done = map[string]string{}
			}
			p.Done[fmt.Sprintf("%d.%d", s.occurrence, s.stepNumber)] = bits
		}
		for _, t := range s.tasks {
			if trial := t.trialToRecord(); trial != nil && !t.done {
				if p.Confirmed == nil {
					p.Confirmed = map[string][]string{}
				}
				p.Confirmed[trial.String()] = append(p.Confirmed[trial.String()], t.key())
			}
			if t.done || (len(t.failedRuns) == 0 && t.checkpoint == "" && !t.suspected()) {
				continue
			}
			if p.Tasks == nil {
				p.Tasks = map[string]TaskProgress{}
			}
			p.Tasks[t.key()] = TaskProgress{
				FailedRuns: slices.Clone(t.failedRuns), Checkpoint: t.checkpoint, Crashes: slices.Clone(t.crashes),
			}
		}
	}
	p.Workers = a.possibleWorkers(j)
	return p
}

// possibleWorkers returns the IDs of the workers on which runs of the job may exist: those of its runs, those on which
// it has claimed capacity, so that the start need not wait for the record, and those that a previous owner recorded
// and that have not reported yet.
func (a *Arranger) possibleWorkers(j *job) []string {
	ids := map[string]bool{}
	for _, s := range j.stages {
		for _, t := range s.tasks {
			if t.place != nil && !t.done {
				ids[t.place.worker.ID] = true
			}
		}
	}
	for _, id := range j.inheritedWorkers {
		if _, awaited := a.awaitedReports[id]; awaited {
			ids[id] = true
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(ids))
}

func (t *task) key() string {
	return fmt.Sprintf("%d.%d.%d", t.stage.occurrence, t.stage.stepNumber, t.index)
}

const bitsPerByte = 8

func (s *stage) doneBits() string {
	if s.unfinished == len(s.tasks) {
		return ""
	}
	set := make([]byte, (len(s.tasks)+bitsPerByte-1)/bitsPerByte)
	for i, t := range s.tasks {
		if t.done {
			set[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return hex.EncodeToString(set)
}

// restore applies recorded progress to the stages of a job.
func (a *Arranger) restore(j *job, p Progress) {
	if p.State == Running {
		j.state = Running
		j.started = true
	}
	for _, s := range j.stages {
		set, err := hex.DecodeString(p.Done[fmt.Sprintf("%d.%d", s.occurrence, s.stepNumber)])
		if err != nil {
			a.options.Log("unreadable progress; treating the tasks of the step as not done", "job", j.ID, "step", s.stepNumber, "error", err.Error())
			continue
		}
		for i, t := range s.tasks {
			if i/bitsPerByte < len(set) && set[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
				t.done = true
				s.unfinished--
			}
			kept := p.Tasks[t.key()]
			t.failedRuns, t.checkpoint = slices.Clone(kept.FailedRuns), kept.Checkpoint
			if len(kept.Crashes) > 0 {
				t.crashes = slices.Clone(kept.Crashes)
				s.suspects++
			}
		}
	}
	a.restoreTrials(j, p.Confirmed)
}
