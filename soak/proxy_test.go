package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy is a TCP proxy on loopback between an entry and the store, or between all entries and a worker.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections map[*connection]bool
	// delay is the delay of each chunk of data; refuse closes new connections at once.
	delay  time.Duration
	refuse bool
	// dropToTarget and dropFromTarget drop the data of one direction.
	dropToTarget, dropFromTarget bool
	tasks                        sync.WaitGroup
}

// connection is a proxied connection; once silent, it drops all data in both directions and stays open.
type connection struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener lives as long as the test.
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, connections: map[*connection]bool{}}
	p.tasks.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
		p.tasks.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		server, err := net.Dial("tcp", p.target) //nolint:noctx // A connection on loopback is made at once.
		if err != nil || refuse {
			_ = client.Close()
			continue
		}
		c := &connection{client: client, server: server}
		p.mu.Lock()
		p.connections[c] = true
		p.mu.Unlock()
		p.tasks.Go(func() { p.forward(c, client, server, true) })
		p.tasks.Go(func() { p.forward(c, server, client, false) })
	}
}

// forward copies data in one direction until either side closes.
func (p *proxy) forward(c *connection, from, to net.Conn, toTarget bool) {
	defer p.closeConnection(c)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay := p.delay
		drop := toTarget && p.dropToTarget || !toTarget && p.dropFromTarget
		p.mu.Unlock()
		if drop {
			// A byte stream with a gap is useless to its reader, so the connection drops all later data as well.
			c.silent.Store(true)
		}
		if c.silent.Load() {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConnection(c *connection) {
	_ = c.client.Close()
	_ = c.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		for _, end := range []net.Conn{c.client, c.server} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = end.Close()
		}
	}
}

// silence makes all open connections silent permanently; later connections work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.silent.Store(true)
	}
}

// setFaults replaces the faults of the proxy; resets and silent connections are not among them.
func (p *proxy) setFaults(delay time.Duration, refuse, dropToTarget, dropFromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.refuse, p.dropToTarget, p.dropFromTarget = delay, refuse, dropToTarget, dropFromTarget
}

func (p *proxy) clearFaults() { p.setFaults(0, false, false, false) }
