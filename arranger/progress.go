package arranger

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// The progress of a job is recorded in one of three forms. The first names each
// stage that has begun, so that it grows with the occurrences of a job. The
// second numbers the tasks: it grows with what is running or has failed. The
// third has a fixed limit: a bit and a byte for each task, 23 KB for the 20,000
// tasks that a job may have, which is 30 KB in base64, and at most
// maxWorkersBytes of workers.

// maxWorkersBytes limits the list of workers in the counted form.
const maxWorkersBytes = 16 << 10

// Progress is the recorded state of a job, from which the next owner resumes it.
type Progress struct {
	State State `json:"state"`
	// Done maps each stage, named OCCURRENCE.STEP, to a bit set of its completed tasks in hexadecimal.
	Done map[string]string `json:"done,omitempty"`
	// DoneTasks replaces Done in the numbered forms: a bit set of the completed tasks in base64.
	DoneTasks string `json:"doneTasks,omitempty"`
	// Counts replaces Tasks in the counted form: a byte for each task in base64, with its failed runs and crashes.
	Counts string `json:"counts,omitempty"`
	// Tasks maps OCCURRENCE.STEP.INDEX to the progress of tasks that are not done.
	Tasks map[string]TaskProgress `json:"tasks,omitempty"`
	// Workers are the IDs of the workers on which runs of the job may exist.
	Workers []string `json:"workers,omitempty"`
	// Confirmed maps incarnations of workers, as WORKER@INCARNATION, to the tasks, as OCCURRENCE.STEP.INDEX, whose start they have
	// confirmed and whose runs they had not reported yet.
	Confirmed map[string][]string `json:"confirmed,omitempty"`
	// WorkersUnknown means that runs may exist on any worker: the list was too long, or the record could not be read.
	WorkersUnknown bool `json:"workersUnknown,omitempty"`
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
func (p Progress) lastOccurrence(numbers taskNumbers) int {
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
	// Unreadable texts are reported by restore.
	done, _ := base64.StdEncoding.DecodeString(p.DoneTasks)
	counts, _ := base64.StdEncoding.DecodeString(p.Counts)
	highest := max(len(done)*bitsPerByte, len(counts)) - 1
	for number := highest; number >= 0; number-- {
		if bitSet(done).has(number) || number < len(counts) && counts[number] != 0 {
			return max(last, numbers.occurrenceOf(number))
		}
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

// Progress returns the state of the job to be recorded, in the form that all versions of the program can read.
func (a *Arranger) Progress(id string) Progress {
	j := a.jobs[id]
	if j == nil {
		return Progress{}
	}
	p := a.progressWithoutDone(j)
	for _, s := range j.stages {
		if bits := s.doneBits(); bits != "" {
			if p.Done == nil {
				p.Done = map[string]string{}
			}
			p.Done[fmt.Sprintf("%d.%d", s.occurrence, s.stepNumber)] = bits
		}
	}
	return p
}

// BegunStages returns the number of stages of the job that have completed tasks, which Progress names one by one.
func (a *Arranger) BegunStages(id string) int {
	begun := 0
	if j := a.jobs[id]; j != nil {
		for _, s := range j.stages {
			if s.unfinished < len(s.tasks) {
				begun++
			}
		}
	}
	return begun
}

// NumberedProgress returns the state of the job to be recorded, with the tasks that are done as a bit set.
func (a *Arranger) NumberedProgress(id string) Progress {
	j := a.jobs[id]
	if j == nil {
		return Progress{}
	}
	p := a.progressWithoutDone(j)
	p.DoneTasks = j.doneTasks()
	return p
}

// CountedProgress returns the state of the job to be recorded in the form with a limited size: failed runs and crashes are only counted, and
// checkpoints and confirmed runs are left out.
func (a *Arranger) CountedProgress(id string) Progress {
	j := a.jobs[id]
	if j == nil {
		return Progress{}
	}
	p := Progress{State: j.state, DoneTasks: j.doneTasks(), Counts: j.counts()}
	p.Workers, p.WorkersUnknown = a.possibleWorkers(j), a.anyWorkerPossible(j)
	bytes := 0
	for _, id := range p.Workers {
		const quotesAndComma = 3
		bytes += len(id) + quotesAndComma
	}
	if bytes > maxWorkersBytes {
		p.Workers, p.WorkersUnknown = nil, true
	}
	return p
}

// progressWithoutDone returns the progress of a job without the tasks that are done.
func (a *Arranger) progressWithoutDone(j *job) Progress {
	p := Progress{State: j.state}
	for _, s := range j.stages {
		if s.unfinished == 0 {
			continue
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
	p.Workers, p.WorkersUnknown = a.possibleWorkers(j), a.anyWorkerPossible(j)
	return p
}

// anyWorkerPossible reports whether runs of the job may exist on any worker that has not reported.
func (a *Arranger) anyWorkerPossible(j *job) bool { return j.workersUnknown && a.awaitsReport(j) }

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

func (s *stage) doneBits() string {
	if s.unfinished == len(s.tasks) {
		return ""
	}
	set := newBitSet(len(s.tasks))
	for i, t := range s.tasks {
		if t.done {
			set.add(i)
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
	numbered := a.decodeNumbered(j, p)
	for _, s := range j.stages {
		set, err := hex.DecodeString(p.Done[fmt.Sprintf("%d.%d", s.occurrence, s.stepNumber)])
		if err != nil {
			a.options.Log("unreadable progress; treating the tasks of the step as not done", "job", j.ID, "step", s.stepNumber, "error", err.Error())
			continue
		}
		for i, t := range s.tasks {
			if bitSet(set).has(i) || numbered.isDone(t) {
				t.done = true
				s.unfinished--
			}
			kept, ok := p.Tasks[t.key()]
			if !ok {
				kept = numbered.countsOf(t)
			}
			t.failedRuns, t.checkpoint = slices.Clone(kept.FailedRuns), kept.Checkpoint
			if len(kept.Crashes) > 0 {
				t.crashes = slices.Clone(kept.Crashes)
				s.suspects++
			}
		}
	}
	a.restoreTrials(j, p.Confirmed)
}
