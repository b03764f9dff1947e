package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// dialTimeout limits how long opening a connection may take.
	dialTimeout = time.Second
	// probeIdleTime is how long a connection may be idle before it is probed.
	probeIdleTime = 2 * time.Second
	// probeTimeout is how long to wait for the response to a probe before closing the connection.
	probeTimeout = 2 * time.Second
)

// Dial opens a connection to an address of the form IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Peer is a client for one other entry.
//
// It keeps one connection, probes it while it is idle, and closes it if a probe
// fails; the next call then opens a new one.
type Peer struct {
	address string
	dial    Dial

	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	lastUsed time.Time
}

// NewPeer returns a peer that opens its connection on the first call.
func NewPeer(address string, dial Dial) *Peer {
	return &Peer{address: address, dial: dial}
}

// Close closes the connection; a later call opens a new one.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// Call sends a request and decodes the result.
//
// The error wraps ErrUnreachable, ErrOutcomeUnknown, owner.ErrNotOwner or owner.ErrNoJob.
func (p *Peer) Call(ctx context.Context, method string, params, result any) error {
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		p.markUsed(conn)
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		p.markUsed(conn)
		if known := errorFromCode(remote.Code); known != nil {
			return fmt.Errorf("%w: entry at %s", known, p.address)
		}
		return fmt.Errorf("%w: %s: %s", ErrOutcomeUnknown, method, remote.Message)
	}
	return fmt.Errorf("%w: %s: %w", ErrOutcomeUnknown, method, err)
}

func (p *Peer) markUsed(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.lastUsed = time.Now()
	}
}

func (p *Peer) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	stream := jsonrpc2.NewPlainObjectStream(raw)
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(rejectCalls))
	p.conn = conn
	p.lastUsed = time.Now()
	go p.probe(conn)
	return conn, nil
}

func rejectCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
}

// probe pings the other entry whenever the connection has been idle, and drops the connection if a ping fails.
func (p *Peer) probe(conn *jsonrpc2.Conn) {
	ticker := time.NewTicker(probeIdleTime)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			p.drop(conn)
			return
		case <-ticker.C:
		}
		if p.idleTime(conn) < probeIdleTime {
			continue
		}
		if !p.respondsToPing(conn) {
			p.drop(conn)
			return
		}
	}
}

func (p *Peer) idleTime(conn *jsonrpc2.Conn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return 0
	}
	return time.Since(p.lastUsed)
}

func (p *Peer) respondsToPing(conn *jsonrpc2.Conn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := conn.Call(ctx, MethodPing, Ping{}, nil)
	if err != nil {
		return false
	}
	p.markUsed(conn)
	return true
}

func (p *Peer) drop(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
	_ = conn.Close()
}
