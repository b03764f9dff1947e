package faker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// ErrNoListener means that no listener has the address.
var ErrNoListener = errors.New("no listener")

// Network connects entries in one process through in-memory pipes.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	pipes     []*pipe
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns a listener for the address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to the address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("%w: %s", ErrNoListener, address)
	}
	near, far := net.Pipe()
	p := &pipe{Conn: near, blackholed: make(chan struct{}), closed: make(chan struct{})}
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, fmt.Errorf("%w: %s", ErrNoListener, address)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
	n.mu.Lock()
	n.pipes = append(n.pipes, p)
	n.mu.Unlock()
	return p, nil
}

// Blackhole makes every second open connection silently drop all further writes of the dialer; later connections work.
func (n *Network) Blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, p := range n.pipes {
		if i%2 == 0 {
			p.blackhole()
		}
	}
}

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.address, Net: "pipe"} }

// pipe is the dialing end of a connection; once blackholed, it drops what is written to it.
type pipe struct {
	net.Conn

	blackholed    chan struct{}
	closed        chan struct{}
	blackholeOnce sync.Once
	closeOnce     sync.Once
}

func (p *pipe) blackhole() { p.blackholeOnce.Do(func() { close(p.blackholed) }) }

// Write implements net.Conn.
func (p *pipe) Write(data []byte) (int, error) {
	select {
	case <-p.blackholed:
		return len(data), nil
	default:
		return p.Conn.Write(data) //nolint:wrapcheck // A fake returns the errors of the pipe unchanged.
	}
}

// Close implements net.Conn.
func (p *pipe) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return p.Conn.Close() //nolint:wrapcheck // A fake returns the errors of the pipe unchanged.
}
