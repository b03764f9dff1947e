package faker

import (
	"context"
	"sync"
	"time"
)

// Faults are the faults that a fake injects; the zero value injects none.
type Faults struct {
	// Down fails every request.
	Down bool `json:"down,omitempty"`
	// DelayMillis delays every request.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseReplies is the number of next writes or commands that are executed but not answered.
	LoseReplies int `json:"loseReplies,omitempty"`
	// Silent leaves all requests on the connections that are open when it is set unanswered, permanently; later connections work.
	Silent bool `json:"silent,omitempty"`
	// FailTasks makes a worker fail every task that it starts, at once.
	FailTasks bool `json:"failTasks,omitempty"`
	// Leaving makes a worker report that it is leaving and refuse new reservations.
	Leaving bool `json:"leaving,omitempty"`
	// TruncateAnswers is the number of next responses of a worker that are cut off in the middle.
	TruncateAnswers int `json:"truncateAnswers,omitempty"`
	// RepeatAnswers makes a worker report all its tasks in every response, the latest first, also finished ones that it was told to forget.
	RepeatAnswers bool `json:"repeatAnswers,omitempty"`
	// FreezeList makes the platform serve the VM list as it was last served.
	FreezeList bool `json:"freezeList,omitempty"`
}

// faultInjector holds the current faults of a fake.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	// remotes are the remote addresses of all connections so far; silent are those of connections that get no more responses.
	remotes map[string]bool
	silent  map[string]bool
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
	for address := range b.remotes {
		b.silent[address] = true
	}
}

// trackConnection records the remote address of a connection and reports whether the connection is silent.
func (b *faultInjector) trackConnection(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remotes == nil {
		b.remotes = map[string]bool{}
	}
	b.remotes[address] = true
	return b.silent[address]
}

// CurrentFaults returns the faults that were last set, less the lost replies and truncated responses so far.
func (b *faultInjector) CurrentFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// loseReply reports whether the reply to the current request is to be lost, and counts it.
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

// delay blocks for the injected delay or until the context ends.
func (b *faultInjector) delay(ctx context.Context) error {
	duration := time.Duration(b.CurrentFaults().DelayMillis) * time.Millisecond
	if duration == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
