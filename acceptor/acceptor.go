package acceptor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

const (
	// defaultClientTimeout applies to a request without a timeout header.
	defaultClientTimeout = 3 * time.Second
	// responseMargin is the part of the client timeout that is reserved for returning the response.
	responseMargin = 150 * time.Millisecond
	// submitTimeout bounds the attempts to determine the outcome of a write that got no response; the client then retries at another entry VM.
	submitTimeout = 1300 * time.Millisecond
	// storeUnreachableAfter is the time without a response after which the store counts as unreachable; the configuration is requested more often, so that a process without clients does not reach it.
	storeUnreachableAfter = 1400 * time.Millisecond
	// refreshTimeout limits the time that a request waits for a newer state of the configuration, as after a pause of the process.
	refreshTimeout = 500 * time.Millisecond
	// defaultMaxBody is the body size limit in bytes if the configuration sets none.
	defaultMaxBody = 256 << 10
	// largeBody is the size in bytes from which jobs are decoded one at a time: the steps of a job of 256 KB use several times its size.
	largeBody = 16 << 10
)

// Acceptor is the HTTP handler of the client API.
type Acceptor struct {
	Store  *platform.Store
	Config *follower.Follower
	Logger *slog.Logger
	// Now returns the current time; New sets it to time.Now.
	Now func() time.Time
	// ConfigDeadline is the age of the configuration above which no request is rejected by it; 0 means no limit.
	ConfigDeadline time.Duration
	// ConfigStretch is the additional time in which requests are still accepted by it.
	ConfigStretch time.Duration
	// Draining makes each response close its connection.
	Draining atomic.Bool

	batchers map[string]*batcher
	// startedAt is when the process started.
	startedAt time.Time
	returns   retrySchedule
	// decoding serialises the decoding of large bodies.
	decoding sync.Mutex
}

// New returns an acceptor with one batcher for each partition of the job table.
func New(store *platform.Store, config *follower.Follower, logger *slog.Logger) *Acceptor {
	a := &Acceptor{Store: store, Config: config, Logger: logger, Now: time.Now, startedAt: time.Now(), batchers: map[string]*batcher{}}
	for _, partition := range registrar.Partitions() {
		a.batchers[partition] = &batcher{store: store, logger: logger, partition: partition}
	}
	return a
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if a.Config.Current() == nil {
		a.refuse(w, r, "", http.StatusServiceUnavailable, "not run: no configuration yet", a.retryAfter(r, platform.Queue{}))
		return
	}
	if !a.confirmed(r, a.ConfigDeadline+a.ConfigStretch) {
		a.refuseUnconfirmed(w, r)
		return
	}
	target := a.route(r)
	if target.status != 0 && !a.confirmed(r, a.ConfigDeadline) {
		a.refuseUnconfirmed(w, r)
		return
	}
	if target.snapshot != a.Config.Current() {
		target = a.route(r)
	}
	if target.status != 0 {
		a.refuse(w, r, "", target.status, target.reason, 0)
		return
	}
	if sinceResponse := a.Store.SinceLastResponse(); sinceResponse > storeUnreachableAfter {
		a.refuse(w, r, "", http.StatusServiceUnavailable, "not run: no answer from the store for "+sinceResponse.Truncate(time.Millisecond).String(), a.retryAfter(r, target.queue))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), clientTimeout(r)-responseMargin)
	defer cancel()
	c := call{w: w, r: r.WithContext(ctx), snapshot: target.snapshot, queue: target.queue, organisation: target.organisation}
	path := strings.TrimPrefix(r.URL.Path, c.queue.Prefix)
	if path == "" && r.Method == http.MethodGet {
		a.servePending(c)
		return
	}
	id, ok := platform.ParseJobID(path)
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

// target is what a configuration says of a request: its queue and organisation, or the status and reason of its rejection.
type target struct {
	snapshot     *follower.Snapshot
	queue        platform.Queue
	organisation string
	status       int
	reason       string
}

// route looks up a request in the current configuration.
func (a *Acceptor) route(r *http.Request) target {
	t := target{snapshot: a.Config.Current()}
	var found bool
	if t.queue, found = t.snapshot.Queue(hostname(r.Host), r.URL.Path); !found {
		t.status, t.reason = http.StatusNotFound, "no such queue"
		return t
	}
	if t.organisation, found = t.snapshot.Organisation(platform.APIKey(r)); !found && !t.queue.Public {
		t.status, t.reason = http.StatusUnauthorized, "unknown key"
	}
	return t
}

// confirmed reports whether the configuration is known to have been the newest one within maxAge; after a pause of the process it waits for that, but not while it
// cannot be read.
func (a *Acceptor) confirmed(r *http.Request, maxAge time.Duration) bool {
	if a.ConfigDeadline == 0 {
		return true
	}
	if age, known := a.Config.Age(); known && age <= maxAge {
		return true
	}
	if a.Config.Failing() || a.Store.SinceLastResponse() > storeUnreachableAfter {
		return false
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(refreshTimeout, clientTimeout(r)-responseMargin))
	defer cancel()
	return a.Config.Await(ctx, maxAge)
}

// refuseUnconfirmed refuses a request because a newer configuration may allow or forbid it.
func (a *Acceptor) refuseUnconfirmed(w http.ResponseWriter, r *http.Request) {
	age, _ := a.Config.Age()
	a.refuse(w, r, "", http.StatusServiceUnavailable, "not run: configuration not confirmed for "+age.Truncate(time.Millisecond).String(), a.retryAfter(r, platform.Queue{}))
}

// call is a request to a known queue, with a valid API key unless the queue is public.
type call struct {
	w            http.ResponseWriter
	r            *http.Request
	snapshot     *follower.Snapshot
	queue        platform.Queue
	organisation string
	id           string
}

// hostname strips the port from a Host header.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// clientTimeout returns how long the client waits for the response; timeouts too short for the response margin are replaced by the default.
func clientTimeout(r *http.Request) time.Duration {
	if timeout := platform.ClientTimeout(r); timeout > 2*responseMargin {
		return timeout
	}
	return defaultClientTimeout
}

// retryAfter returns when the client of a refused request should return, given its queue if that is known.
func (a *Acceptor) retryAfter(r *http.Request, queue platform.Queue) time.Duration {
	now := a.Now()
	age := now.Sub(a.startedAt)
	refused := refusal{
		outage: min(a.Store.SinceLastResponse(), age), elsewhere: a.Draining.Load() || age < justStarted,
		reads: r.Method == http.MethodGet, patience: platform.ClientTimeout(r),
	}
	if queue.Timeout > 0 && (refused.patience == 0 || queue.Timeout < refused.patience) {
		refused.patience = queue.Timeout
	}
	return a.returns.retryAfter(now, refused)
}

// refuse logs and sends an error response; a retryAfter of zero sends no retry delay.
func (a *Acceptor) refuse(w http.ResponseWriter, r *http.Request, id string, status int, reason string, retryAfter time.Duration) {
	var version int64
	if snapshot := a.Config.Current(); snapshot != nil {
		version = snapshot.Version
	}
	a.Logger.Info("request refused", "job", id, "method", r.Method, "path", r.URL.Path, "status", status, "reason", reason,
		"retryAfter", retryAfter.String(), "config", version)
	platform.WriteError(w, status, reason, retryAfter)
}

func (a *Acceptor) serveSubmit(c call) {
	body, err := limiter.ReadBody(c.r, MaxBody(c.snapshot))
	switch {
	case errors.Is(err, limiter.ErrOverloaded):
		// The limiter counts and logs these, since a line for each would fill the log.
		platform.WriteError(c.w, http.StatusServiceUnavailable, "not run: "+err.Error(), limiter.RetryAfter)
		return
	case errors.Is(err, limiter.ErrTooLarge):
		a.refuse(c.w, c.r, c.id, http.StatusRequestEntityTooLarge, "body too large", 0)
		return
	case err != nil:
		a.refuse(c.w, c.r, c.id, http.StatusBadRequest, "body cut short", 0)
		return
	}
	submission, err := a.DecodeJob(body)
	if err != nil {
		a.refuse(c.w, c.r, c.id, http.StatusBadRequest, err.Error(), 0)
		return
	}
	hash := sha256.New()
	hash.Write([]byte(c.organisation + "\x00" + c.queue.Name + "\x00"))
	hash.Write(body)
	job := registrar.Job{Job: NewJob(c.id, c.queue, c.organisation, submission, a.Now()), Digest: hex.EncodeToString(hash.Sum(nil)[:8])}
	value := registrar.Encode(job)
	if len(value) > registrar.MaxValueBytes {
		a.refuse(c.w, c.r, c.id, http.StatusRequestEntityTooLarge, "job too large to be stored", 0)
		return
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), submitTimeout)
	defer cancel()
	err = a.batchers[registrar.Partition(c.id)].writeJob(ctx, c.identity(), job.Digest, value)
	a.respondToSubmit(c, err)
}

// MaxBody returns the limit of the size in bytes of a submission.
func MaxBody(snapshot *follower.Snapshot) int64 {
	if snapshot.MaxBodyBytes > 0 {
		return snapshot.MaxBodyBytes
	}
	return defaultMaxBody
}

// DecodeJob decodes a submitted job; large ones are decoded one at a time.
func (a *Acceptor) DecodeJob(data []byte) (platform.Job, error) {
	if len(data) >= largeBody {
		a.decoding.Lock()
		defer a.decoding.Unlock()
	}
	return platform.DecodeJob(data)
}

func (a *Acceptor) respondToSubmit(c call, err error) {
	switch {
	case err == nil:
		a.returns.noteAccepted(a.Now())
		a.Logger.Info("job accepted", "job", c.id, "queue", c.queue.Name, "organisation", c.organisation, "config", c.snapshot.Version)
		platform.WriteStatus(c.w, http.StatusOK)
	case errors.Is(err, errIDInUse):
		a.refuse(c.w, c.r, c.id, http.StatusConflict, err.Error(), 0)
	case errors.Is(err, errCancelled):
		a.refuse(c.w, c.r, c.id, http.StatusGone, err.Error(), 0)
	case errors.Is(err, platform.ErrRejected):
		a.refuse(c.w, c.r, c.id, http.StatusBadRequest, "not run: "+err.Error(), 0)
	case errors.Is(err, platform.ErrNotExecuted):
		a.refuse(c.w, c.r, c.id, http.StatusServiceUnavailable, "not run: "+err.Error(), a.retryAfter(c.r, c.queue))
	default:
		a.refuse(c.w, c.r, c.id, http.StatusGatewayTimeout, "outcome unknown: "+err.Error(), 0)
	}
}

// NewJob returns the job that a submission of an organisation to a queue describes.
func NewJob(id string, queue platform.Queue, organisation string, submission platform.Job, accepted time.Time) arranger.Job {
	job := arranger.Job{
		ID: id, Queue: queue.Name, Organisation: organisation, Payload: submission.Spec,
		Accepted: accepted.UTC(), Occurrences: submission.Occurrences,
		FirstDue: time.UnixMilli(int64(submission.FirstMs)).UTC(),
		Interval: time.Duration(submission.IntervalMs * float64(time.Millisecond)),
		Policy:   PolicyOf(queue),
	}
	for _, step := range submission.Steps {
		need := arranger.Resources{CPU: step.CPU, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
		if step.BestEffort {
			need.CPU = 0
		}
		job.Steps = append(job.Steps, arranger.Step{
			Count: step.Count, Need: need, Estimate: time.Duration(step.EstimateMs * float64(time.Millisecond)),
			After: step.After, Checkpoints: step.Checkpoints, Gang: step.Gang, SameRack: step.SameRack,
			Requires: step.Requires, DataRack: step.DataRack, MaxPerWorker: step.MaxPerWorker, LongRunning: step.Persistent,
			MaxUnavailable: step.MaxUnavailable, LatencySensitive: step.TargetMs > 0, BestEffort: step.BestEffort,
		})
	}
	return job
}

// PolicyOf returns the scheduling policy that a queue sets for its jobs.
func PolicyOf(queue platform.Queue) arranger.Policy {
	return arranger.Policy{Service: queue.Service, Priority: queue.Priority, MaxAttempts: queue.MaxAttempts, Stretch: queue.Stretch, Objective: queue.Objective, Advised: queue.AdviceTiming != nil}
}

// errNoJob means that the organisation has no accepted job with the ID in this queue.
var errNoJob = errors.New("no such job")

// jobState returns the state of a job: that of its progress row, which the owner writes, or else queued if the job was accepted.
func (a *Acceptor) jobState(c call) (platform.JobState, error) {
	row, err := a.Store.Get(c.r.Context(), registrar.ProgressTable, registrar.OwnerPartition, c.id)
	if err != nil {
		return "", err
	}
	if row.Version != 0 {
		progress, err := registrar.Decode[registrar.Progress](row)
		if err != nil {
			return "", err
		}
		if c.identity().owns(progress.Queue, progress.Organisation) {
			return platform.JobState(progress.State), nil
		}
	}
	storedJob, err := a.storedJob(c)
	if err != nil {
		return "", err
	}
	if !c.identity().owns(storedJob.Queue, storedJob.Organisation) {
		return "", errNoJob
	}
	return platform.StateQueued, nil
}

func (a *Acceptor) storedJob(c call) (registrar.Job, error) {
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
	jobState, err := a.jobState(c)
	if err != nil {
		a.respondWithError(c, err)
		return
	}
	platform.WriteState(c.w, jobState)
}

func (a *Acceptor) respondWithError(c call, err error) {
	if errors.Is(err, errNoJob) {
		a.refuse(c.w, c.r, c.id, http.StatusGone, err.Error(), 0)
		return
	}
	var full fullError
	if errors.As(err, &full) {
		a.refuse(c.w, c.r, c.id, http.StatusTooManyRequests, err.Error(), full.retryAfter)
		return
	}
	a.refuse(c.w, c.r, c.id, http.StatusServiceUnavailable, err.Error(), a.retryAfter(c.r, c.queue))
}

func (a *Acceptor) servePending(c call) {
	counts, err := a.pendingCounts(c, registrar.PendingKey)
	if key := registrar.PendingShardKey(counts, c.queue.Name); err == nil && key != registrar.PendingKey {
		counts, err = a.pendingCounts(c, key)
	}
	if err != nil {
		a.respondWithError(c, err)
		return
	}
	platform.WritePendingCount(c.w, counts[c.queue.Name])
}

// pendingCounts returns the numbers of waiting jobs by queue in a row.
func (a *Acceptor) pendingCounts(c call, key string) (map[string]int, error) {
	row, err := a.Store.Get(c.r.Context(), registrar.FleetTable, registrar.OwnerPartition, key)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	return registrar.Decode[map[string]int](row)
}
