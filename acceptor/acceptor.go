package acceptor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

const (
	// defaultPatience is how long a client waits that does not say so.
	defaultPatience = 3 * time.Second
	// answerMargin is the part of a client's patience that is kept for the way back.
	answerMargin = 150 * time.Millisecond
	// unknownLimit bounds the tries to settle a write whose answer was lost; the client then asks another entry.
	unknownLimit = 1300 * time.Millisecond
	// storeSilence is the time without an answer after which the store counts as out of reach; the configuration is asked for more often.
	storeSilence = 1400 * time.Millisecond
	// retryAfterStore is when a client should come back that met a store out of reach; another entry may reach it.
	retryAfterStore = time.Second
	// defaultMaxBody bounds a request's body if the configuration does not.
	defaultMaxBody = 256 << 10
)

// Acceptor serves the calls of clients.
type Acceptor struct {
	Store  *platform.Store
	Config *follower.Follower
	Logger *slog.Logger
	// Now is the time of day; nil means time.Now.
	Now func() time.Time
	// Draining makes each answer close its connection.
	Draining atomic.Bool

	batchers map[string]*batcher
}

// New returns an acceptor.
func New(store *platform.Store, config *follower.Follower, logger *slog.Logger) *Acceptor {
	a := &Acceptor{Store: store, Config: config, Logger: logger, Now: time.Now, batchers: map[string]*batcher{}}
	for _, part := range registrar.Partitions() {
		a.batchers[part] = &batcher{store: store}
	}
	return a
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	view := a.Config.Current()
	if view == nil {
		a.refuse(w, r, "", http.StatusServiceUnavailable, "no configuration yet", retryAfterStore)
		return
	}
	queue, ok := view.Queue(hostOf(r.Host), r.URL.Path)
	if !ok {
		a.refuse(w, r, "", http.StatusNotFound, "no such queue", 0)
		return
	}
	organisation, known := view.Organisation(platform.APIKey(r))
	if !known && !queue.Public {
		a.refuse(w, r, "", http.StatusUnauthorized, "unknown key", 0)
		return
	}
	if silence := a.Store.SinceLastResponse(); silence > storeSilence {
		a.refuse(w, r, "", http.StatusServiceUnavailable, "not run: no answer from the store for "+silence.Truncate(time.Millisecond).String(), retryAfterStore)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), patience(r)-answerMargin)
	defer cancel()
	c := call{w: w, r: r.WithContext(ctx), view: view, queue: queue, organisation: organisation}
	rest := strings.TrimPrefix(r.URL.Path, queue.Prefix)
	if rest == "" && r.Method == http.MethodGet {
		a.servePending(c)
		return
	}
	id, ok := platform.ParseJobID(rest)
	if !ok {
		a.refuse(w, r, "", http.StatusNotFound, "no job ID in the path", 0)
		return
	}
	c.id = id
	switch r.Method {
	case http.MethodPost:
		a.serveSubmit(c)
	case http.MethodGet:
		a.serveState(c)
	case http.MethodDelete:
		a.serveCancel(c)
	default:
		a.refuse(w, r, id, http.StatusMethodNotAllowed, "method not allowed", 0)
	}
}

// call is one request that was let in.
type call struct {
	w            http.ResponseWriter
	r            *http.Request
	view         *follower.Snapshot
	queue        platform.Queue
	organisation string
	id           string
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func patience(r *http.Request) time.Duration {
	if p := platform.ClientTimeout(r); p > 2*answerMargin {
		return p
	}
	return defaultPatience
}

func (a *Acceptor) refuse(w http.ResponseWriter, r *http.Request, id string, status int, reason string, retryAfter time.Duration) {
	var version int64
	if view := a.Config.Current(); view != nil {
		version = view.Version
	}
	a.Logger.Info("request refused", "job", id, "method", r.Method, "path", r.URL.Path, "status", status, "reason", reason,
		"retryAfter", retryAfter.String(), "config", version)
	platform.WriteError(w, status, reason, retryAfter)
}

func (a *Acceptor) serveSubmit(c call) {
	limit := c.view.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.refuse(c.w, c.r, c.id, http.StatusRequestEntityTooLarge, "body too large", 0)
		return
	}
	if err != nil {
		a.refuse(c.w, c.r, c.id, http.StatusBadRequest, "body cut short", 0)
		return
	}
	submission, err := platform.DecodeJob(body)
	if err != nil {
		a.refuse(c.w, c.r, c.id, http.StatusBadRequest, err.Error(), 0)
		return
	}
	sum := sha256.Sum256(append([]byte(c.organisation+"\x00"+c.queue.Name+"\x00"), body...))
	stored := registrar.Job{Job: a.jobOf(c, submission), Digest: hex.EncodeToString(sum[:8])}
	value := registrar.Encode(stored)
	if len(value) > registrar.MaxValueBytes {
		a.refuse(c.w, c.r, c.id, http.StatusRequestEntityTooLarge, "job too large to be stored", 0)
		return
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), unknownLimit)
	defer cancel()
	err = a.batchers[registrar.Partition(c.id)].write(ctx, c.id, stored.Digest, value)
	a.answerSubmit(c, err)
}

func (a *Acceptor) answerSubmit(c call, err error) {
	switch {
	case err == nil:
		a.Logger.Info("job accepted", "job", c.id, "queue", c.queue.Name, "organisation", c.organisation, "config", c.view.Version)
		platform.WriteStatus(c.w, http.StatusOK)
	case errors.Is(err, errTaken):
		a.refuse(c.w, c.r, c.id, http.StatusConflict, err.Error(), 0)
	case errors.Is(err, platform.ErrNotExecuted):
		a.refuse(c.w, c.r, c.id, http.StatusServiceUnavailable, "not run: "+err.Error(), retryAfterStore)
	default:
		a.refuse(c.w, c.r, c.id, http.StatusGatewayTimeout, "outcome unknown: "+err.Error(), 0)
	}
}

func (a *Acceptor) jobOf(c call, s platform.Job) arranger.Job {
	j := arranger.Job{
		ID: c.id, Queue: c.queue.Name, Organisation: c.organisation, Payload: s.Spec,
		Accepted: a.Now().UTC(), Occurrences: s.Occurrences,
		FirstDue: time.UnixMilli(int64(s.FirstMs)).UTC(),
		Interval: time.Duration(s.IntervalMs * float64(time.Millisecond)),
		Policy:   PolicyOf(c.queue),
	}
	for _, step := range s.Steps {
		need := arranger.Resources{CPU: step.CPU, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
		if step.BestEffort {
			need.CPU = 0
		}
		j.Steps = append(j.Steps, arranger.Step{
			Count: step.Count, Need: need, Estimate: time.Duration(step.EstimateMs * float64(time.Millisecond)),
			After: step.After, Checkpoints: step.Checkpoints, Gang: step.Gang, SameRack: step.SameRack,
			Requires: step.Requires, DataRack: step.DataRack, MaxPerWorker: step.MaxPerWorker, LongRunning: step.Persistent,
			MaxUnavailable: step.MaxUnavailable, LatencySensitive: step.TargetMs > 0, BestEffort: step.BestEffort,
		})
	}
	return j
}

// PolicyOf returns the rules that a queue sets for its jobs.
func PolicyOf(q platform.Queue) arranger.Policy {
	return arranger.Policy{Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Objective: q.Objective, Advised: q.AdviceTiming != nil}
}

// errNoJob means that no job was accepted under the ID for this organisation.
var errNoJob = errors.New("no such job")

// state returns how far a job has come: the owner's record goes before that of its acceptance.
func (a *Acceptor) state(c call) (platform.JobState, error) {
	row, err := a.Store.Get(c.r.Context(), registrar.ProgressTable, registrar.OwnerPartition, c.id)
	if err != nil {
		return "", err
	}
	if row.Version != 0 {
		p, err := registrar.Decode[registrar.Progress](row)
		if err != nil {
			return "", err
		}
		if p.Queue != c.queue.Name || (p.Organisation != c.organisation && !c.queue.Public) {
			return "", errNoJob
		}
		return platform.JobState(p.State), nil
	}
	stored, err := a.stored(c)
	if err != nil {
		return "", err
	}
	if stored.Queue != c.queue.Name || (stored.Organisation != c.organisation && !c.queue.Public) {
		return "", errNoJob
	}
	return platform.StateQueued, nil
}

func (a *Acceptor) stored(c call) (registrar.Job, error) {
	row := registrar.JobRow(c.id, 0)
	row, err := a.Store.Get(c.r.Context(), row.Table, row.Partition, row.Key)
	if err != nil {
		return registrar.Job{}, err
	}
	if row.Version == 0 {
		return registrar.Job{}, errNoJob
	}
	return registrar.Decode[registrar.Job](row)
}

func (a *Acceptor) serveState(c call) {
	state, err := a.state(c)
	if err != nil {
		a.answerFailure(c, err)
		return
	}
	platform.WriteState(c.w, state)
}

func (a *Acceptor) answerFailure(c call, err error) {
	if errors.Is(err, errNoJob) {
		a.refuse(c.w, c.r, c.id, http.StatusGone, err.Error(), 0)
		return
	}
	a.refuse(c.w, c.r, c.id, http.StatusServiceUnavailable, err.Error(), retryAfterStore)
}

func (a *Acceptor) serveCancel(c call) {
	state, err := a.state(c)
	if err != nil {
		a.answerFailure(c, err)
		return
	}
	if !state.Terminal() {
		row := registrar.CancelRow(c.id)
		row.Value = registrar.Encode(struct{}{})
		if err := a.put(c.r.Context(), row); err != nil {
			a.answerFailure(c, err)
			return
		}
	}
	a.Logger.Info("cancel recorded", "job", c.id, "state", state)
	platform.WriteStatus(c.w, http.StatusOK)
}

// put writes a row without a condition until the answer is known or the client's patience ends.
func (a *Acceptor) put(ctx context.Context, row platform.Row) error {
	for {
		_, err := a.Store.Transact(ctx, platform.Transaction{Put: []platform.Row{row}})
		if err == nil || !errors.Is(err, platform.ErrOutcomeUnknown) || ctx.Err() != nil {
			return err
		}
	}
}

func (a *Acceptor) servePending(c call) {
	row, err := a.Store.Get(c.r.Context(), registrar.FleetTable, registrar.OwnerPartition, registrar.PendingKey)
	if err != nil {
		a.answerFailure(c, err)
		return
	}
	counts := map[string]int{}
	if row.Version != 0 {
		if counts, err = registrar.Decode[map[string]int](row); err != nil {
			a.answerFailure(c, err)
			return
		}
	}
	platform.WritePendingCount(c.w, counts[c.queue.Name])
}
