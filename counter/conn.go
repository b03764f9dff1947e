package counter

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// InstrumentDial wraps a dial function and counts the bytes of its connections as NAME.bytesSent and NAME.bytesReceived, and the connections as NAME.connections.
func InstrumentDial(registry metrics.Registry, name string, dial DialFunc) DialFunc {
	c := newCounters(registry, name)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.connections.Inc(1)
		return &conn{Conn: raw, counters: c}, nil
	}
}

// Listener wraps a listener and counts the bytes of its connections as NAME.bytesSent and NAME.bytesReceived, and the connections as NAME.connections.
func Listener(registry metrics.Registry, name string, l net.Listener) net.Listener {
	return &listener{Listener: l, counters: newCounters(registry, name)}
}

type counters struct {
	sent        metrics.Counter
	received    metrics.Counter
	connections metrics.Counter
}

func newCounters(registry metrics.Registry, name string) counters {
	return counters{
		sent:        metrics.GetOrRegisterCounter(name+".bytesSent", registry),
		received:    metrics.GetOrRegisterCounter(name+".bytesReceived", registry),
		connections: metrics.GetOrRegisterCounter(name+".connections", registry),
	}
}

type conn struct {
	net.Conn

	counters counters
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counters.received.Inc(int64(n))
	return n, err //nolint:wrapcheck // A wrapper returns the errors of the connection unchanged.
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.sent.Inc(int64(n))
	return n, err //nolint:wrapcheck // A wrapper returns the errors of the connection unchanged.
}

type listener struct {
	net.Listener

	counters counters
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // A wrapper returns the errors of the listener unchanged.
	}
	l.counters.connections.Inc(1)
	return &conn{Conn: raw, counters: l.counters}, nil
}
