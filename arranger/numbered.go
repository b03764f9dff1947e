package arranger

import (
	"encoding/base64"
	"fmt"
	"slices"
)

const bitsPerByte = 8

// bitSet is a set of small numbers.
type bitSet []byte

// newBitSet returns an empty set for the numbers below limit.
func newBitSet(limit int) bitSet { return make(bitSet, (limit+bitsPerByte-1)/bitsPerByte) }

func (b bitSet) add(number int) { b[number/bitsPerByte] |= 1 << (number % bitsPerByte) }

func (b bitSet) has(number int) bool {
	return number/bitsPerByte < len(b) && b[number/bitsPerByte]&(1<<(number%bitsPerByte)) != 0
}

// taskNumbers numbers the tasks of a job through all occurrences and steps.
type taskNumbers struct {
	// first is the number of the first task of each step in occurrence 0.
	first []int
	// perOccurrence is the number of tasks of an occurrence.
	perOccurrence int
}

func newTaskNumbers(steps []Step) taskNumbers {
	var n taskNumbers
	for _, s := range steps {
		n.first = append(n.first, n.perOccurrence)
		n.perOccurrence += s.Count
	}
	return n
}

func (n taskNumbers) of(t *task) int {
	return t.stage.occurrence*n.perOccurrence + n.first[t.stage.stepNumber] + t.index
}

func (n taskNumbers) occurrenceOf(number int) int { return number / max(1, n.perOccurrence) }

// doneTasks returns the set of completed tasks in base64.
func (j *job) doneTasks() string {
	numbers := newTaskNumbers(j.Steps)
	set := newBitSet(j.created * numbers.perOccurrence)
	for _, s := range j.stages {
		if s.unfinished == len(s.tasks) {
			continue
		}
		for _, t := range s.tasks {
			if t.done {
				set.add(numbers.of(t))
			}
		}
	}
	return encodeTrimmed(set)
}

const (
	// maxCountedFailures and maxCountedCrashes are the highest counts that fit into the byte of a task.
	maxCountedFailures, maxCountedCrashes = 63, 3
	crashBits                             = 2
)

// counts returns a byte for each task in base64: its failed runs, or those of its gang at the first member, and its crashes.
func (j *job) counts() string {
	numbers := newTaskNumbers(j.Steps)
	counts := make([]byte, j.created*numbers.perOccurrence)
	for _, s := range j.stages {
		if s.unfinished == 0 {
			continue
		}
		for _, t := range s.tasks {
			failures := len(t.failedRuns)
			if s.step.Gang {
				failures = 0
				if t.index == 0 {
					failures = t.failures()
				}
			}
			if !t.done {
				counts[numbers.of(t)] = byte(min(failures, maxCountedFailures)<<crashBits | min(len(t.crashes), maxCountedCrashes))
			}
		}
	}
	return encodeTrimmed(counts)
}

// encodeTrimmed encodes bytes in base64 without the zeros at the end.
func encodeTrimmed(data []byte) string {
	end := len(data)
	for end > 0 && data[end-1] == 0 {
		end--
	}
	return base64.StdEncoding.EncodeToString(data[:end])
}

// numberedRecord is what the numbered forms record of the tasks of a job.
type numberedRecord struct {
	numbers taskNumbers
	done    bitSet
	counts  []byte
}

// decodeNumbered decodes the parts of the progress that number the tasks.
func (a *Arranger) decodeNumbered(j *job, p Progress) numberedRecord {
	r := numberedRecord{numbers: newTaskNumbers(j.Steps)}
	var err error
	if r.done, err = base64.StdEncoding.DecodeString(p.DoneTasks); err != nil {
		a.options.Log("unreadable progress; treating all tasks as not done", "job", j.ID, "error", err.Error())
	}
	if r.counts, err = base64.StdEncoding.DecodeString(p.Counts); err != nil {
		a.options.Log("unreadable progress; treating all tasks as not failed", "job", j.ID, "error", err.Error())
	}
	return r
}

func (r numberedRecord) isDone(t *task) bool { return r.done.has(r.numbers.of(t)) }

// countsOf returns the failed runs and crashes of a task that were only counted, with placeholders for the runs and incarnations.
func (r numberedRecord) countsOf(t *task) TaskProgress {
	number := r.numbers.of(t)
	if number >= len(r.counts) || r.counts[number] == 0 {
		return TaskProgress{}
	}
	var p TaskProgress
	for i := range int(r.counts[number] >> crashBits) {
		p.FailedRuns = append(p.FailedRuns, -1-int64(i))
	}
	for i := range int(r.counts[number] & (1<<crashBits - 1)) {
		p.Crashes = append(p.Crashes, fmt.Sprintf("unknown@%d", i))
	}
	return p
}

// counted reports whether a failed run of the task has been counted. One that a previous owner may have started counts as such if the record of that
// owner held only the number of failed runs.
func (a *Arranger) counted(t *task, run int64) bool {
	first := t
	if t.stage.step.Gang {
		first = t.stage.tasks[0]
	}
	return slices.Contains(t.failedRuns, run) ||
		run <= a.options.RunBase && slices.ContainsFunc(first.failedRuns, func(other int64) bool { return other < 0 })
}
