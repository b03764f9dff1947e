package limiter

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

// ErrOverloaded means that a request gave way to others before it was read completely; it was not executed.
var ErrOverloaded = errors.New("too many requests are being received")

// RetryAfter is the delay after which a refused request finds memory: by then stalled requests have given way.
const RetryAfter = time.Second

const (
	// scanInterval is the shortest time between two searches for connections that may give way if the first found too few; each search visits all connections of a class.
	scanInterval = 50 * time.Millisecond
	// scanPause is the pause after each search for each connection that it visited: with 2,500 connections 40 ms, which bounds the searches to a few percent of a core.
	scanPause = 16 * time.Microsecond
	// minClosed is the smallest number of connections that one search closes if as many make no progress.
	minClosed = 8
	// closeDivisor determines how many connections, or how much memory, one search frees: 1/closeDivisor of the share, so that a flood does not cause a search for each of its connections.
	closeDivisor = 64
	// maxWaiting is the number of bodies that wait for memory at the same time; each leaves a full receive buffer in its socket.
	maxWaiting = 32
	// waitTime is how long a body waits for memory: until stalled requests have had their fair chance. waitInterval is the time between two attempts.
	waitTime     = fairChance + 200*time.Millisecond
	waitInterval = scanInterval
	// pressedPercent is the part of a share in percent below which a request that was refused early is not read to its end.
	pressedPercent = 25
)

// Budget is the memory and the connections that all listeners of a process share.
type Budget struct {
	// joins serialises the copies of large bodies, so that only one is held twice.
	joins sync.Mutex

	reporter *reporter

	mu     sync.Mutex
	shares shares
	// headerBytes is the part of the memory for large requests that is used by headers that are being read.
	headerBytes [classes]int64
	conns       [classes][]*conn
	// nextScan is the earliest time of the next search for connections that give way, by class and purpose.
	nextScan  [classes][purposes]time.Time
	waiting   int
	lingering int
	// beats recognises pauses of the process; beat is the timer of its signs, nil after Close.
	beats heartbeat
	beat  *time.Timer
}

// purpose is what a search for connections that give way is for.
type purpose int

const (
	forConnection purpose = iota
	forHeader
	forBody
	purposes
)

// New returns a budget for a process with the limits; closing it ends its log lines and timers.
func New(limits Limits, logger *slog.Logger) *Budget {
	b := &Budget{shares: limits.divide(), reporter: newReporter(logger)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beat = time.AfterFunc(beatInterval, b.observeBeat)
	return b
}

// observeBeat notes regularly that the process runs.
func (b *Budget) observeBeat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.beat == nil {
		return
	}
	b.beats.observe(time.Now())
	b.beat.Reset(beatInterval)
}

// Close ends the log lines and timers of the budget.
func (b *Budget) Close() {
	b.reporter.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beat.Stop()
	b.beat = nil
}

// admit counts a new connection, and closes connections that make no progress if there is no room for it; the result is false if there are none.
func (b *Budget) admit(c *conn) bool {
	b.mu.Lock()
	ok := b.shares.connections.take(c.class, 1)
	var dropped []*conn
	if !ok {
		n := max(minClosed, b.shares.connections.accounts[c.class].max/closeDivisor)
		dropped = b.drop(c.class, forConnection, func(sights []sight) []int { return pickForConnection(sights, int(n)) })
		for _, d := range dropped {
			b.unregister(d)
		}
		ok = b.shares.connections.take(c.class, 1)
	}
	if ok {
		c.index = len(b.conns[c.class])
		c.registered = true
		b.conns[c.class] = append(b.conns[c.class], c)
	}
	b.mu.Unlock()
	for _, d := range dropped {
		d.abort(forConnection)
		b.reporter.count(connectionClosed)
	}
	if !ok {
		b.reporter.count(connectionRefused)
	}
	return ok
}

// remove forgets a closed connection and releases what its request used.
func (b *Budget) remove(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c)
	b.unregister(c)
}

// unregister gives the place of a connection to others.
func (b *Budget) unregister(c *conn) {
	if !c.registered {
		return
	}
	c.registered = false
	b.shares.connections.give(c.class, 1)
	conns := b.conns[c.class]
	last := conns[len(conns)-1]
	conns[c.index], last.index = last, c.index
	conns[len(conns)-1] = nil
	b.conns[c.class] = conns[:len(conns)-1]
}

// release gives the memory of a connection's request to others.
func (b *Budget) release(c *conn) {
	b.shares.bytes.give(c.class, c.held)
	b.headerBytes[c.class] -= c.heldHeader
	c.held, c.heldHeader, c.small = 0, 0, false
}

// charge sets the memory that the request of a connection uses beyond the allowance; if that does not fit, stalled requests give way, and the result is false if that is not enough.
func (b *Budget) charge(c *conn, held int64, p purpose) bool {
	b.mu.Lock()
	ok := b.fit(c, held, p)
	var dropped []*conn
	if !ok && !c.isDropped() {
		need := max(held-c.held, b.shares.bytes.accounts[c.class].max/closeDivisor)
		dropped = b.drop(c.class, p, func(sights []sight) []int { return pickForMemory(sights, need) })
		for _, d := range dropped {
			b.release(d)
		}
		ok = b.fit(c, held, p)
	}
	b.mu.Unlock()
	for _, d := range dropped {
		d.abort(p)
		b.reporter.count(requestClosed)
	}
	return ok
}

// fit sets the memory of a request if that fits without others giving way.
func (b *Budget) fit(c *conn, held int64, p purpose) bool {
	if c.isDropped() {
		return false
	}
	var heldHeader int64
	if p == forHeader {
		heldHeader = held
	}
	if more := heldHeader - c.heldHeader; more > 0 && b.headerBytes[c.class]+more > b.shares.maxHeaderBytes {
		return false
	}
	if more := held - c.held; more > 0 {
		take := b.shares.bytes.takeLarge
		if c.small {
			take = b.shares.bytes.take
		}
		if !take(c.class, more) {
			return false
		}
	} else {
		b.shares.bytes.give(c.class, -more)
	}
	b.headerBytes[c.class] += heldHeader - c.heldHeader
	c.held, c.heldHeader = held, heldHeader
	return true
}

// setSmall sets whether the request of a connection may use all of the memory for large requests.
func (b *Budget) setSmall(c *conn, small bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.small = small
}

// drop marks the connections that give way, unless they have made progress in the meantime; the caller aborts them.
func (b *Budget) drop(c Class, p purpose, choose func([]sight) []int) []*conn {
	now := time.Now()
	b.beats.observe(now)
	if now.Before(b.nextScan[c][p]) {
		return nil
	}
	conns, paused := b.conns[c], b.beats.paused(now)
	sights := make([]sight, len(conns))
	for i, d := range conns {
		sights[i] = d.sight(now)
		sights[i].held, sights[i].paused = d.held, paused
		if p == forHeader {
			sights[i].held = d.heldHeader
		}
	}
	var dropped []*conn
	for _, i := range choose(sights) {
		if conns[i].drop(now, sights[i]) {
			dropped = append(dropped, conns[i])
		}
	}
	pause := time.Duration(len(conns)) * scanPause
	if len(dropped) == 0 {
		pause = max(pause, scanInterval)
	}
	b.nextScan[c][p] = now.Add(pause)
	return dropped
}

// await sets the memory of a request like charge, and waits for a while if it does not fit; few requests wait, others are refused immediately.
func (b *Budget) await(c *conn, held int64) bool {
	if b.charge(c, held, forBody) {
		return true
	}
	b.mu.Lock()
	wait := b.waiting < maxWaiting && !c.isDropped()
	if wait {
		b.waiting++
	}
	b.mu.Unlock()
	if !wait {
		return false
	}
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	for end := time.Now().Add(waitTime); time.Now().Before(end); {
		time.Sleep(waitInterval)
		if b.charge(c, held, forBody) {
			return true
		}
	}
	return false
}

// pressed reports whether little memory or few connections are left for a class.
func (b *Budget) pressed(c Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shares.connections.pressed(c, pressedPercent) || b.shares.bytes.pressed(c, pressedPercent)
}

// hold counts memory that does not belong to a connection until the returned function is called; the result is false if it does not fit.
func (b *Budget) hold(c Class, n int64) (release func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.shares.bytes.take(c, n) {
		return nil, false
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.shares.bytes.give(c, n)
	}, true
}

// Protect limits the connections and requests of a server whose listener comes from Wrap; an oversized header is reduced to the named headers before the handler runs.
func (b *Budget) Protect(s *http.Server, headers ...string) {
	s.ConnContext = withConn
	s.ConnState = observeState
	s.Handler = &guard{next: s.Handler, headers: headers}
}
