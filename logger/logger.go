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
	// maxBufferedLines limits the number of buffered lines; further lines are dropped and counted.
	maxBufferedLines = 2048
	// flushInterval is the time between writes, so that several lines are written in one call.
	flushInterval = 20 * time.Millisecond
	// maxWriteBytes limits the size of one write; POSIX guarantees that writes of up to this size to a pipe are atomic.
	maxWriteBytes = 4096
)

// dropped counts the lines that were dropped because the buffer was full.
var dropped atomic.Int64

// DroppedLines returns how many lines were dropped in this process because the output did not keep up.
func DroppedLines() int64 { return dropped.Load() }

// asyncWriter buffers lines and writes them in the background.
type asyncWriter struct {
	out  io.Writer
	stop chan struct{}
	done chan struct{}

	mu     sync.Mutex
	lines  int
	buffer []byte
}

// New returns a logger that writes JSON lines, and a clean-up function that flushes the buffer and stops the writer.
func New(out io.Writer, level slog.Level, attributes ...any) (*slog.Logger, func()) {
	w := &asyncWriter{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(attributes...), func() {
		close(w.stop)
		<-w.done
	}
}

// Write implements io.Writer; it appends one line to the buffer and never returns an error.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines >= maxBufferedLines {
		dropped.Add(1)
		return len(line), nil
	}
	w.lines++
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

func (w *asyncWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case <-ticker.C:
			reported = w.flush(reported)
		case <-w.stop:
			w.flush(reported)
			return
		}
	}
}

// flush writes the buffered lines, and a warning if lines have been dropped since the last one; it returns the reported number of dropped lines.
func (w *asyncWriter) flush(reported int64) int64 {
	w.mu.Lock()
	buffer := w.buffer
	w.buffer, w.lines = nil, 0
	w.mu.Unlock()
	if now := dropped.Load(); now > reported {
		buffer = fmt.Appendf(buffer, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", now)
		reported = now
	}
	for len(buffer) > 0 {
		end := len(buffer)
		if end > maxWriteBytes {
			end = 1 + max(bytes.LastIndexByte(buffer[:maxWriteBytes], '\n'), bytes.IndexByte(buffer, '\n'))
		}
		// An error cannot be reported, since the log itself is what failed.
		_, _ = w.out.Write(buffer[:end])
		buffer = buffer[end:]
	}
	return reported
}
