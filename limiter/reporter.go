package limiter

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// reportInterval is the shortest time between two log lines.
const reportInterval = time.Second

// event is a refusal or a closed connection that is counted.
type event int

const (
	connectionRefused event = iota
	connectionClosed
	headerRefused
	bodyRefused
	messageRefused
	callRefused
	requestClosed
	events
)

// String returns the name of the event in metrics and log lines.
func (e event) String() string {
	return [events]string{
		"connectionsRefused", "connectionsClosed", "headersRefused", "bodiesRefused", "messagesRefused", "callsRefused", "requestsClosed",
	}[e]
}

// refusal returns the event that counts a refusal of a request in this stage.
func (p purpose) refusal() event {
	if p == forHeader {
		return headerRefused
	}
	return messageRefused
}

// reporter counts events, and logs those of the last second in one line.
type reporter struct {
	logger *slog.Logger
	totals [events]atomic.Int64

	mu     sync.Mutex
	logged [events]int64
	timer  *time.Timer
	closed bool
}

func newReporter(logger *slog.Logger) *reporter { return &reporter{logger: logger} }

func (r *reporter) count(e event) {
	r.totals[e].Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timer == nil && !r.closed {
		r.timer = time.AfterFunc(reportInterval, r.log)
	}
}

// log writes the events since the previous line.
func (r *reporter) log() {
	r.mu.Lock()
	r.timer = nil
	var attributes []any
	for e := range events {
		total := r.totals[e].Load()
		if n := total - r.logged[e]; n > 0 {
			attributes = append(attributes, e.String(), n)
		}
		r.logged[e] = total
	}
	r.mu.Unlock()
	r.logger.Warn("requests refused or connections closed for lack of memory or connections", attributes...)
}

func (r *reporter) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

// Register serves the use of the budget and the counted events as metrics.
func (b *Budget) Register(registry metrics.Registry) {
	for c := range classes {
		_ = registry.Register("limiter."+c.String()+".connections", metrics.NewFunctionalGauge(func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.shares.connections.accounts[c].used
		}))
		_ = registry.Register("limiter."+c.String()+".requestBytes", metrics.NewFunctionalGauge(func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.shares.bytes.accounts[c].used
		}))
	}
	for e := range events {
		_ = registry.Register("limiter."+e.String(), metrics.NewFunctionalGauge(func() int64 { return b.reporter.totals[e].Load() }))
	}
}
