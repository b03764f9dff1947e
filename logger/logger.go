package logger

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueued bounds the lines that wait to be written; further lines are dropped and counted.
	maxQueued = 2048
	// flushPause lets several lines be written in one call.
	flushPause = 20 * time.Millisecond
	// maxWrite keeps whole lines together where the output is a pipe; POSIX keeps writes of this size whole.
	maxWrite = 4096
)

// dropped counts the lines that found the queue full.
var dropped atomic.Int64

// Dropped returns how many lines were dropped in this process because the output did not keep up.
func Dropped() int64 { return dropped.Load() }

// queue is a writer that never blocks.
type queue struct {
	out  io.Writer
	stop chan struct{}
	done chan struct{}

	mu    sync.Mutex
	lines int
	data  []byte
}

// New returns a logger that writes JSON lines, and a clean-up function that writes what is left.
func New(out io.Writer, level slog.Level, attributes ...any) (*slog.Logger, func()) {
	q := &queue{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	handler := slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(attributes...), func() {
		close(q.stop)
		<-q.done
	}
}

// Write implements io.Writer; it takes one line and never fails.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lines >= maxQueued {
		dropped.Add(1)
		return len(line), nil
	}
	q.lines++
	q.data = append(q.data, line...)
	return len(line), nil
}

func (q *queue) run() {
	defer close(q.done)
	ticker := time.NewTicker(flushPause)
	defer ticker.Stop()
	var told int64
	for {
		select {
		case <-ticker.C:
			told = q.flush(told)
		case <-q.stop:
			q.flush(told)
			return
		}
	}
}

// flush writes what waits, and a line about dropped lines if there are new ones.
func (q *queue) flush(told int64) int64 {
	q.mu.Lock()
	data := q.data
	q.data, q.lines = nil, 0
	q.mu.Unlock()
	if now := dropped.Load(); now > told {
		data = fmt.Appendf(data, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", now)
		told = now
	}
	for len(data) > 0 {
		end := len(data)
		if end > maxWrite {
			end = 1 + max(bytes.LastIndexByte(data[:maxWrite], '\n'), bytes.IndexByte(data, '\n'))
		}
		// There is nowhere to report that the log itself cannot be written.
		_, _ = q.out.Write(data[:end])
		data = data[end:]
	}
	return told
}
