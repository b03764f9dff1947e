package faker

import (
	"context"
	"sync"
	"time"
)

// Faults are what a stand-in is told to do wrong; the zero value does everything right.
type Faults struct {
	// Down refuses every request.
	Down bool `json:"down,omitempty"`
	// DelayMillis holds every request back.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseReplies is the number of writes or commands still to be applied without a reply.
	LoseReplies int `json:"loseReplies,omitempty"`
	// Silent leaves requests on connections that are open now unanswered for good; new connections work.
	Silent bool `json:"silent,omitempty"`
	// FailTasks makes a worker fail everything it starts.
	FailTasks bool `json:"failTasks,omitempty"`
	// Leaving makes a worker announce that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// TruncateAnswers cuts a worker's answers short.
	TruncateAnswers int `json:"truncateAnswers,omitempty"`
	// RepeatAnswers makes a worker tell of finished tasks again and again, the latest first.
	RepeatAnswers bool `json:"repeatAnswers,omitempty"`
	// FreezeList keeps the VM list as it is.
	FreezeList bool `json:"freezeList,omitempty"`
}

// faultInjector holds the current faults of a fake.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	// heard are the far ends of all connections so far, and silent those that stay unanswered for good.
	heard  map[string]bool
	silent map[string]bool
}

// SetFaults replaces the current faults; Silent affects the connections that are open at this moment.
func (b *faultInjector) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	if !f.Silent {
		return
	}
	if b.silent == nil {
		b.silent = map[string]bool{}
	}
	for address := range b.heard {
		b.silent[address] = true
	}
}

// hear notes the far end of a connection and reports whether it has gone silent.
func (b *faultInjector) hear(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heard == nil {
		b.heard = map[string]bool{}
	}
	b.heard[address] = true
	return b.silent[address]
}

// CurrentFaults returns the faults that were last set, less the lost replies and truncated responses so far.
func (b *faultInjector) CurrentFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// loseReply reports whether the reply to the present write is to be lost, and counts it.
func (b *faultInjector) loseReply() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.LoseReplies <= 0 {
		return false
	}
	b.faults.LoseReplies--
	return true
}

func (b *faultInjector) truncate() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.TruncateAnswers <= 0 {
		return false
	}
	b.faults.TruncateAnswers--
	return true
}

// wait holds a request back for the delay in force.
func (b *faultInjector) wait(ctx context.Context) error {
	delay := time.Duration(b.CurrentFaults().DelayMillis) * time.Millisecond
	if delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
