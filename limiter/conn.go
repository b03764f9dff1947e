package limiter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// rateWindow is the time in which the recent rate of a connection is measured.
	rateWindow = 2 * time.Second
	// lingerTime is how long the connection of a refused request remains open for the client to read the response; closing it earlier would reset it, as the client still sends.
	lingerTime = 500 * time.Millisecond
	// maxLingering is the number of connections of refused requests that remain open.
	maxLingering = 64
)

// The errors of reads are of type net.OpError, for which the server closes the connection without a response that blames the client.
var (
	errDropped  = &net.OpError{Op: "read", Err: errors.New("connection gave way to others")}
	errRefused  = &net.OpError{Op: "read", Err: errors.New("request refused before it was read")}
	errTooLarge = &net.OpError{Op: "read", Err: errors.New("message too large")}
)

// headerRefusal is the response to a header that does not fit the budget; no handler has seen the request.
const headerRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 20\r\n\r\n{\"error\":\"not run\"}\n"

// conn counts what arrives on a connection.
type conn struct {
	net.Conn

	budget *Budget
	class  Class

	// The budget's mutex guards these: whether the connection has a place, where, what its request uses, and whether that announced a small body.
	registered       bool
	index            int
	held, heldHeader int64
	small            bool

	mu    sync.Mutex
	phase phase
	// reading and writing mean that a call waits for the client.
	reading, writing bool
	// progress is the time of the last byte, or of the latest change of phase; began is the start of the request.
	progress, began time.Time
	// scan counts the header that is arriving, received the bytes of a message, and headerCost is the memory of the parsed header.
	scan       headerScan
	received   int64
	headerCost int64
	// dropped means that the connection gave way, refused that nothing more is read from it, and closed that Close was called.
	dropped, refused, closed bool
	// handled means that a handler has the request, and answered that the handler responds although the request was not read completely.
	handled, answered bool
	// messages means that a peer sends JSON messages instead of HTTP requests, and calls is the number of its calls in progress.
	messages bool
	calls    int
	rate     rate
}

// rate measures how many bytes arrived recently.
type rate struct {
	start             time.Time
	current, previous int64
}

func (r *rate) add(now time.Time, n int64) {
	r.advance(now)
	r.current += n
}

func (r *rate) advance(now time.Time) {
	switch passed := now.Sub(r.start); {
	case passed < rateWindow:
	case passed < 2*rateWindow:
		r.previous, r.current = r.current, 0
		r.start = r.start.Add(rateWindow)
	default:
		*r = rate{start: now}
	}
}

// perSecond returns the rate since the start of the previous window.
func (r *rate) perSecond(now time.Time) int64 {
	r.advance(now)
	return (r.previous + r.current) * int64(time.Second) / int64(rateWindow+now.Sub(r.start))
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.beginRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if failure := c.endRead(p[:n]); failure != nil {
		return 0, failure
	}
	return n, err //nolint:wrapcheck // A wrapper returns the errors of the connection unchanged.
}

func (c *conn) beginRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.failure(); err != nil {
		return err
	}
	c.reading = true
	return nil
}

func (c *conn) failure() error {
	switch {
	case c.dropped:
		return errDropped
	case c.refused:
		return errRefused
	default:
		return nil
	}
}

// endRead counts what was read; an error means that it exceeds the budget.
func (c *conn) endRead(p []byte) error {
	held, stage, err := c.countRead(p)
	if err != nil || held == 0 {
		return err
	}
	if !c.budget.charge(c, held, stage) {
		c.budget.reporter.count(stage.refusal())
		c.refuseUnread(stage)
		return errRefused
	}
	return nil
}

// countRead returns the memory that the header or message in progress needs beyond the allowance.
func (c *conn) countRead(p []byte) (held int64, stage purpose, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if err := c.failure(); err != nil {
		return 0, 0, err
	}
	if len(p) == 0 {
		return 0, 0, nil
	}
	now := time.Now()
	c.progress = now
	c.rate.add(now, int64(len(p)))
	if c.phase == idle {
		c.phase, c.began, c.scan, c.received = header, now, headerScan{}, 0
	}
	if c.phase != header {
		return 0, 0, nil
	}
	if c.messages {
		c.received += int64(len(p))
		if c.received > maxMessageBytes {
			c.budget.reporter.count(messageRefused)
			return 0, 0, errTooLarge
		}
		return heldCost(0, c.received*messageFactor), forBody, nil
	}
	c.scan.add(p)
	return heldCost(c.scan.cost(), 0), forHeader, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	return c.Conn.Write(p) //nolint:wrapcheck // A wrapper returns the errors of the connection unchanged.
}

func (c *conn) setWriting(writing bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.progress = writing, now
}

// sight returns what is known of the connection; the caller adds the memory.
func (c *conn) sight(now time.Time) sight {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := sight{phase: c.phase, age: now.Sub(c.began), rate: c.rate.perSecond(now)}
	switch {
	case c.dropped || c.refused || c.closed:
		s.phase = busy
	case c.writing:
		// The rate is that of what arrives, which says nothing of a client that reads.
		s.phase, s.waiting, s.rate = body, now.Sub(c.progress), slowRate
	case c.calls > 0 && c.phase == idle:
		s.phase = busy
	case c.reading:
		s.waiting = now.Sub(c.progress)
	}
	return s
}

// drop marks the connection as one that gave way, unless it has made progress since it was seen.
func (c *conn) drop(now time.Time, seen sight) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waits := c.reading || c.writing; c.dropped || !waits || now.Sub(c.progress) != seen.waiting {
		return false
	}
	c.dropped = true
	return true
}

func (c *conn) isDropped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// abort ends the request of a connection that gave way: a handler that waits for the body answers, any other connection is closed.
// The descriptor of a connection that gave way to another connection is needed at once, so that it is closed without an answer.
func (c *conn) abort(p purpose) {
	c.mu.Lock()
	answer := p != forConnection && c.handled && c.phase == body && !c.writing
	c.answered = c.answered || answer
	c.mu.Unlock()
	if answer && c.SetReadDeadline(time.Unix(1, 0)) == nil {
		return
	}
	_ = c.Conn.Close()
}

// stopReading makes all further reads fail, so that the server does not wait for the rest of a refused request.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	c.answered = c.answered || c.handled
}

// refuseUnread refuses a request whose header does not fit; a peer that sends messages learns it from the end of the connection.
func (c *conn) refuseUnread(stage purpose) {
	c.stopReading()
	if stage != forHeader || c.isDropped() {
		return
	}
	if _, err := c.Write([]byte(headerRefusal)); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// setPhase changes what the connection does.
func (c *conn) setPhase(p phase) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.progress = p, now
}

// beginHandler means that the header has been read and parsed; its memory is now that of the given cost, and length is that of the body, or negative if it is unknown. The result is false if that does not fit.
func (c *conn) beginHandler(cost, length int64) bool {
	now := time.Now()
	c.mu.Lock()
	c.phase, c.progress, c.handled, c.headerCost = busy, now, true, cost
	if c.scan.bytes == 0 {
		c.began = now
	}
	charged := heldCost(c.scan.cost(), 0) > 0
	c.mu.Unlock()
	held := heldCost(cost, 0)
	if length > requestAllowance {
		c.budget.setSmall(c, length <= smallBody)
	}
	return (held == 0 && !charged) || c.budget.charge(c, held, forBody)
}

// endHandler means that the response is complete, or will be; the server then discards the rest of the body, whose age does not include the time in the handler.
func (c *conn) endHandler() {
	now := time.Now()
	c.mu.Lock()
	c.phase, c.progress, c.began, c.handled = body, now, now, false
	c.mu.Unlock()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.release(c)
}

// endRequest means that the connection is between two requests.
func (c *conn) endRequest() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.progress, c.began, c.scan, c.received = idle, now, now, headerScan{}, 0
}

// holdBody sets the memory of the body that is held for the request, and may wait for it.
func (c *conn) holdBody(size int64) bool {
	c.mu.Lock()
	held, before := heldCost(c.headerCost, size), heldCost(c.headerCost, 0)
	c.mu.Unlock()
	return (held == 0 && before == 0) || c.budget.await(c, held)
}

// CloseWrite closes the sending direction, as the server does before it closes the connection of a client that still sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite() //nolint:wrapcheck // A wrapper returns the errors of the connection unchanged.
	}
	return nil
}

// Close implements net.Conn; the connection of a refused request remains open for a short time.
func (c *conn) Close() error {
	c.mu.Lock()
	first, linger := !c.closed, c.answered
	c.closed = true
	c.mu.Unlock()
	if first && linger && c.budget.beginLinger() {
		_ = c.CloseWrite()
		time.AfterFunc(lingerTime, func() {
			c.budget.endLinger()
			c.budget.remove(c)
			_ = c.Conn.Close()
		})
		return nil
	}
	if first {
		c.budget.remove(c)
	}
	return c.Conn.Close() //nolint:wrapcheck // A wrapper returns the errors of the connection unchanged.
}

func (b *Budget) beginLinger() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lingering >= maxLingering {
		return false
	}
	b.lingering++
	return true
}

func (b *Budget) endLinger() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lingering--
}

type connKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// observeState implements the ConnState hook of http.Server.
func observeState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}
