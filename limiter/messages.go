package limiter

import (
	"net"
	"time"
)

const (
	// maxMessageBytes is the size limit of one JSON message of a peer; a job or a document has 256 KB before encoding.
	maxMessageBytes = 2 << 20
	// callCost is the memory of one call of a peer in progress in bytes, in addition to its parameters.
	callCost = 8 << 10
)

// Messages bounds the JSON messages that a peer sends on one connection; the zero value sets no limit.
type Messages struct{ conn *conn }

// MessagesOf returns the limits for a connection of a listener from Budget.Wrap.
func MessagesOf(nc net.Conn) Messages {
	c, ok := nc.(*conn)
	if !ok {
		return Messages{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages = true
	return Messages{conn: c}
}

// End means that a message has been read and decoded; rest is the number of bytes of the next one that have already arrived.
func (m Messages) End(rest int) {
	if m.conn == nil {
		return
	}
	m.conn.endRequest()
	if rest > 0 {
		m.conn.beginMessage(rest)
	}
	if !m.conn.budget.charge(m.conn, heldCost(0, int64(rest)*messageFactor), forBody) {
		m.conn.budget.reporter.count(messageRefused)
		m.conn.stopReading()
	}
}

// beginMessage counts the bytes of a message that arrived together with the previous one.
func (c *conn) beginMessage(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.received = header, int64(size)
}

// BeginCall counts a call with parameters of the given size until the returned function is called; the result is false if the call must not run.
func (m Messages) BeginCall(size int) (end func(), ok bool) {
	if m.conn == nil {
		return func() {}, true
	}
	release, ok := m.conn.budget.hold(m.conn.class, int64(size)+callCost)
	if !ok {
		m.conn.budget.reporter.count(callRefused)
		return nil, false
	}
	m.conn.addCalls(1)
	return func() {
		release()
		m.conn.addCalls(-1)
	}, true
}

func (c *conn) addCalls(n int) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls += n
	c.progress = now
}
