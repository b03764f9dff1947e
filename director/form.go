package director

import (
	"context"
	"errors"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/sleeper"
)

// The numbered forms of the progress of jobs are used for large jobs only, and
// only once all entry VMs can read them: an earlier version of the program
// would take the tasks for not done if it became the owner. Until then a large
// job is recorded by name, and is held before its row outgrows the limit.

const (
	// maxNamedStages is the number of begun stages from which on the numbered form is preferred.
	maxNamedStages = 400
	// maxNamedBytes is the size of a row from which on a job is held if only the named form can be used; the rest of a row is left for the runs that have been started.
	maxNamedBytes = registrar.MaxValueBytes * 3 / 4
	// formCheckInterval is the time between two checks of what the entry VMs can read.
	formCheckInterval = 5 * time.Second
	// maxEntryAge is the age up to which the record of an entry VM counts.
	maxEntryAge = 2 * time.Minute
)

// errEarlierVersion means that an entry VM runs a version of the program that cannot read the numbered forms.
var errEarlierVersion = errors.New("an entry VM runs an earlier version")

// progressRow is a progress row with the workers that it lists.
type progressRow struct {
	platform.Row
	workers workerSet
}

// progressForm is a form in which the progress of a job can be recorded.
type progressForm struct {
	name     string
	progress func() arranger.Progress
}

// formsOf returns the forms in which a job may be recorded, the preferred one first; the last numbered one always fits into a row.
func (t *term) formsOf(id string, many bool) []progressForm {
	a := t.arranger
	named := progressForm{"named", func() arranger.Progress { return a.Progress(id) }}
	if !t.mayNumber && !t.records[id].numbered {
		return []progressForm{named, {"named, without checkpoints", func() arranger.Progress { return a.Progress(id).WithoutCheckpoints() }}}
	}
	numbered := []progressForm{
		{"numbered", func() arranger.Progress { return a.NumberedProgress(id) }},
		{"numbered, without checkpoints", func() arranger.Progress { return a.NumberedProgress(id).WithoutCheckpoints() }},
		{"counted", func() arranger.Progress { return a.CountedProgress(id) }},
	}
	if many {
		return numbered
	}
	return append([]progressForm{named}, numbered...)
}

// progressRow returns the current progress row of a job, or false if it cannot be recorded now; the caller holds the term's mutex.
func (t *term) progressRow(id string) (progressRow, bool) {
	many := t.arranger.BegunStages(id) > maxNamedStages
	var row progressRow
	for i, form := range t.formsOf(id, many) {
		row = t.encodeProgress(id, form.progress())
		if !t.mayNumber && (many || i > 0) {
			t.requestFormCheck()
		}
		if len(row.Value) <= registrar.MaxValueBytes {
			t.noteForm(id, form.name, len(row.Value))
			t.holdForForm(id, row)
			return row, true
		}
	}
	t.noteForm(id, "none", len(row.Value))
	t.holdForForm(id, row)
	return row, false
}

// encodeProgress returns the row of a job with the progress.
func (t *term) encodeProgress(id string, progress arranger.Progress) progressRow {
	record := t.records[id]
	p := registrar.Progress{Progress: progress, Organisation: record.organisation, Queue: record.queue}
	if p.State.Final() {
		if record.endedAt.IsZero() {
			record.endedAt = time.Now()
			t.records[id] = record
		}
		p.EndedMillis = record.endedAt.UnixMilli()
	}
	row := registrar.ProgressRow(id)
	row.Value = registrar.Encode(p)
	return progressRow{Row: row, workers: workerSet{ids: p.Workers, all: p.WorkersUnknown}}
}

// noteForm logs a change of the form in which a job is recorded.
func (t *term) noteForm(id, form string, bytes int) {
	record := t.records[id]
	if record.form == form || record.form == "" && form == "named" {
		return
	}
	t.Logger.Info("progress of a job recorded in another form", "job", id, "before", record.form, "form", form, "bytes", bytes, "limit", registrar.MaxValueBytes)
	record.form = form
	t.records[id] = record
}

// holdForForm holds a job whose progress nears the size limit in the only form that all entry VMs can read.
func (t *term) holdForForm(id string, row progressRow) {
	if t.mayNumber || t.records[id].numbered || t.heldForForm[id] || len(row.Value) <= maxNamedBytes {
		return
	}
	if len(t.encodeProgress(id, t.arranger.Progress(id).WithoutCheckpoints()).Value) > maxNamedBytes {
		t.Logger.Warn("job held, since its progress nears the size limit and an entry VM cannot read a smaller form", "job", id, "bytes", len(row.Value))
		t.arranger.HoldJob(id, true)
		t.heldForForm[id] = true
	}
}

// requestFormCheck requests a check of what the entry VMs can read.
func (t *term) requestFormCheck() {
	select {
	case t.formCheck <- struct{}{}:
	default:
	}
}

// checkFormLoop checks from the first request on, until it is so, whether all entry VMs can read the numbered forms of progress.
func (t *term) checkFormLoop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-t.formCheck:
	}
	for {
		err := t.checkForms(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		t.Logger.Warn("progress of large jobs is recorded by name", "error", err.Error())
		sleeper.Sleep(ctx, formCheckInterval)
	}
	t.Logger.Info("progress of large jobs is recorded by number")
	t.mu.Lock()
	t.mayNumber = true
	for id := range t.heldForForm {
		t.arranger.HoldJob(id, false)
	}
	clear(t.heldForForm)
	t.mu.Unlock()
	t.requestPlan()
	t.writer.signal()
}

// checkForms returns an error unless all entry VMs that have recorded themselves lately can read the numbered forms.
func (t *term) checkForms(ctx context.Context) error {
	page, err := t.Store.Range(ctx, registrar.EntryTable, registrar.EntryPartition, "", "")
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		entry, err := registrar.Decode[registrar.Entry](row)
		if err != nil {
			return err
		}
		if entry.ProgressForms < registrar.ProgressForms && time.Since(time.UnixMilli(entry.SeenMillis)) < maxEntryAge {
			return errEarlierVersion
		}
	}
	return nil
}
