package hoster

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/snipelift/snipelift/counter"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/logger"
)

const (
	// sampleSize limits the memory of one latency histogram.
	sampleSize = 256
	// sampleAlpha weights recent values; go-metrics recommends it for a window of five minutes.
	sampleAlpha = 0.015
)

// metricSet serves the counters and latency histograms of the process as text.
type metricSet struct{ registry metrics.Registry }

func newMetrics() *metricSet {
	m := &metricSet{registry: metrics.NewRegistry()}
	counter.RegisterProcess(m.registry)
	_ = m.registry.Register("log.droppedLines", metrics.NewFunctionalGauge(logger.DroppedLines))
	return m
}

// registerConfig serves the version of the configuration in force, or 0, and the age of the knowledge that it is the newest one, or -1.
func (m *metricSet) registerConfig(config *follower.Follower) {
	_ = m.registry.Register("config.version", metrics.NewFunctionalGauge(func() int64 {
		if current := config.Current(); current != nil {
			return current.Version
		}
		return 0
	}))
	_ = m.registry.Register("config.ageMillis", metrics.NewFunctionalGauge(func() int64 {
		if age, known := config.Age(); known {
			return age.Milliseconds()
		}
		return -1
	}))
}

func (m *metricSet) histogram(name string) metrics.Histogram {
	if h, ok := m.registry.Get(name).(metrics.Histogram); ok {
		return h
	}
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

func (m *metricSet) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *metricSet) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *metricSet) observeDuration(name string, took time.Duration) {
	m.histogram(name).Update(took.Microseconds())
}

// observeStoreRequest records the latency of one request to the store, and counts it if it failed.
func (m *metricSet) observeStoreRequest(path string, took time.Duration, err error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "?")
	m.histogram("store." + name + ".micros").Update(took.Microseconds())
	if err != nil {
		m.count("store." + name + ".errors")
	}
}

// instrument counts the requests of clients by method and status and those told to return later by the seconds, and records their latency by method.
func (m *metricSet) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		m.count(fmt.Sprintf("client.%s.%d", r.Method, recorder.status))
		if seconds := recorder.Header().Get("Retry-After"); seconds != "" {
			m.count("client.retryAfter." + seconds)
		}
		m.histogram("client." + r.Method + ".micros").Update(time.Since(began).Microseconds())
	})
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter

	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (m *metricSet) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(m.registry, w)
}
