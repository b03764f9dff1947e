package limiter

import (
	"cmp"
	"slices"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// idle connections are between two requests or have not sent any.
	idle phase = iota
	// header means that a header, or a message of a peer, is arriving.
	header
	// body means that a handler waits for a part of the body, or that the server discards the rest of it.
	body
	// busy means that the process has the request and works on it.
	busy
)

const (
	// fairChance is the time without a byte from which a connection may give way; a retransmission takes less than a second.
	fairChance = time.Second
	// slowAge is the age of a request from which its rate counts.
	slowAge = 4 * time.Second
	// slowRate is the rate in bytes per second below which a request that is not stalled may give way: that of senders that hold a body of 256 KB open with a few bytes at a time.
	slowRate = 1 << 10
)

// sight is what is known of a connection when one has to give way.
type sight struct {
	phase phase
	// waiting is the time since the connection last made progress; it is 0 while the process works on the request.
	waiting time.Duration
	// age is the time since the request began.
	age time.Duration
	// rate is the number of bytes per second that arrived recently.
	rate int64
	// held is the memory of the request beyond the allowance.
	held int64
	// paused means that the process was paused recently, so that the other values say little of the client.
	paused bool
}

const (
	// beatInterval is the time between two signs that the process runs.
	beatInterval = 250 * time.Millisecond
	// maxBeatGap is the time without a sign after which the process counts as paused; a process that waits for its share of a core is late by less.
	maxBeatGap = fairChance
)

// heartbeat recognises pauses of the process or of the VM, after which all connections seem stalled although bytes wait in their sockets.
type heartbeat struct {
	// last is the time of the last sign, and resumed the end of the last pause.
	last, resumed time.Time
}

// observe notes that the process runs.
func (h *heartbeat) observe(now time.Time) {
	if !h.last.IsZero() && now.Sub(h.last) > maxBeatGap {
		h.resumed = now
	}
	h.last = now
}

// paused reports whether the process was paused so recently that bytes may still wait in the sockets.
func (h *heartbeat) paused(now time.Time) bool { return now.Sub(h.resumed) < fairChance }

// The order in which connections give way: idle ones lose nothing, stalled ones make no progress, and slow ones make little.
const (
	rankIdle = iota
	rankStalled
	rankSlow
	rankNever
)

func (s sight) rank() int {
	switch {
	case s.phase == busy || s.waiting <= 0:
		return rankNever
	case s.phase == idle && s.waiting >= fairChance:
		return rankIdle
	case s.phase == idle || s.paused:
		return rankNever
	case s.waiting >= fairChance:
		return rankStalled
	case s.age >= slowAge && s.rate < slowRate:
		return rankSlow
	default:
		return rankNever
	}
}

// compare orders the connections by who gives way first.
func (s sight) compare(other sight) int {
	rank := s.rank()
	if order := cmp.Compare(rank, other.rank()); order != 0 {
		return order
	}
	if rank == rankSlow {
		return cmp.Compare(s.rate, other.rate)
	}
	return cmp.Compare(other.waiting, s.waiting)
}

// pickForConnection returns the indexes of at most n connections that give way to new ones. It answers thousands of connections that stay open without
// progress: a new client is served at the cost of the connection that has been idle or stalled for longest.
func pickForConnection(sights []sight, n int) []int {
	return pick(sights, func(s sight) bool { return s.rank() != rankNever }, func(chosen []int) bool { return len(chosen) >= n })
}

// pickForMemory returns the indexes of connections whose requests give way so that the given number of bytes becomes free. It answers thousands of headers
// and bodies that stop just short of their end: those without progress for longest give way, and small requests never do.
func pickForMemory(sights []sight, bytes int64) []int {
	var freed int64
	counted := 0
	return pick(sights, func(s sight) bool { return s.held > 0 && s.phase != idle && s.rank() != rankNever }, func(chosen []int) bool {
		for ; counted < len(chosen); counted++ {
			freed += sights[chosen[counted]].held
		}
		return freed >= bytes
	})
}

func pick(sights []sight, eligible func(sight) bool, enough func(chosen []int) bool) []int {
	var candidates []int
	for i, s := range sights {
		if eligible(s) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(i, j int) int { return sights[i].compare(sights[j]) })
	for n := range candidates {
		if enough(candidates[:n]) {
			return candidates[:n]
		}
	}
	return candidates
}
