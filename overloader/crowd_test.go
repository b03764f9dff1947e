package overloader

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients of each crowd, of which each finisherInterval-th finishes its request.
	crowdSize        = 400
	finisherInterval = 40
	// maxHeaderBytes and maxBodyBytes are the limits of a request that the clients stay within.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 256 << 10
	// withheldBytes is the size of the end of a request that a client holds back; it includes the last chunk of a chunked body.
	withheldBytes = 5
	// manyPieces is the number of writes of a client that sends piece by piece, with piecePause after each.
	manyPieces = 16
	piecePause = 20 * time.Millisecond
	// reconnectPause is the time after which a client whose connection was closed sends its request again.
	reconnectPause = time.Second
	// steadyTime is how long the peak memory of the process may grow by no more than steadyGrowth kilobytes before the crowd counts as read, maxHold the limit of that wait.
	steadyTime   = 1500 * time.Millisecond
	steadyGrowth = 1 << 10
	maxHold      = 20 * time.Second
)

// kind is a kind of client.
type kind struct {
	name string
	// line returns the i-th of the lines that fill the header up to its limit; nil adds none.
	line func(i int) string
	// noBody means that the request ends with its header.
	noBody bool
	// body is the size of the body in bytes, if larger than that of the job; the rest is white space.
	body int
	// chunk is the size of the chunks of a chunked body in bytes; 0 sends the body with its length.
	chunk int
	// pieces is the number of writes that the body is sent in.
	pieces int
}

// kinds are the clients of the HTTP listeners.
var kinds = []kind{
	{name: "headers_repeated", line: func(int) string { return "a:\r\n" }, pieces: 1},
	{name: "headers_distinct", line: distinctLine, pieces: 1},
	{name: "headers_irregular", line: irregularLine, pieces: 1},
	{name: "headers_unfinished", line: distinctLine, noBody: true, pieces: 1},
	{name: "bodies_whole", body: maxBodyBytes, pieces: 1},
	{name: "bodies_in_pieces", body: maxBodyBytes, pieces: manyPieces},
	{name: "chunks_large", body: maxBodyBytes, chunk: 32 << 10, pieces: 1},
	{name: "chunks_small", body: maxBodyBytes, chunk: 4, pieces: manyPieces},
}

// distinctLine returns a header line with a short name of its own and an empty value.
func distinctLine(i int) string { return shortName(i) + ":\r\n" }

// irregularLine returns header lines of mixed case, some with a value of white space and some continued on the next line.
func irregularLine(i int) string {
	const continuedInterval = 8
	switch {
	case i%continuedInterval == 0:
		return shortName(i) + ":\r\n \r\n"
	case i%2 == 0:
		return shortName(i) + ":\r\n"
	default:
		return strings.ToUpper(shortName(i)) + ":\t\r\n"
	}
}

// shortName returns the i-th of 46,656 names of three characters.
func shortName(i int) string {
	const symbols = "abcdefghijklmnopqrstuvwxyz0123456789"
	n := len(symbols)
	return string([]byte{symbols[i%n], symbols[i/n%n], symbols[i/n/n%n]})
}

// message is what a client sends: one request of HTTP or JSON-RPC.
type message struct{ head, body []byte }

// withoutEnd returns the message that lacks its last bytes.
func (m message) withoutEnd() message {
	if len(m.body) == 0 {
		return message{head: m.head[:len(m.head)-withheldBytes]}
	}
	return message{head: m.head, body: m.body[:len(m.body)-withheldBytes]}
}

// content returns the encoded body of a request with the job.
func (k kind) content(job string) []byte {
	if k.noBody {
		return nil
	}
	body := job + strings.Repeat(" ", max(0, k.body-len(job)))
	if k.chunk == 0 {
		return []byte(body)
	}
	return chunked(body, k.chunk)
}

// request returns a request with the given first lines and encoded body.
func (k kind) request(head string, body []byte) message {
	switch {
	case k.noBody:
	case k.chunk > 0:
		head += "Transfer-Encoding: chunked\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return message{head: []byte(fillHeader(head, k.line) + "\r\n"), body: body}
}

// fillHeader adds lines up to the limit of a header.
func fillHeader(head string, line func(i int) string) string {
	if line == nil {
		return head
	}
	var b strings.Builder
	b.WriteString(head)
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next)+len("\r\n") > maxHeaderBytes {
			return b.String()
		}
		b.WriteString(next)
	}
}

func chunked(body string, size int) []byte {
	var b []byte
	for len(body) > 0 {
		n := min(size, len(body))
		b = fmt.Appendf(b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(b, "0\r\n\r\n"...)
}

// crowd is a number of clients of one kind that stay connected until it is dismissed.
type crowd struct {
	address string
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// sending counts the clients that have neither sent their part nor lost a connection yet.
	sending sync.WaitGroup
}

// gather starts a crowd whose n-th client sends the n-th message in so many pieces, all but its end if it is not a finisher.
func gather(t *testing.T, address string, pieces int, messageOf func(n int) message) *crowd {
	ctx, cancel := context.WithCancel(t.Context())
	c := &crowd{address: address, cancel: cancel}
	for n := range crowdSize {
		m := messageOf(n)
		if n%finisherInterval != 0 {
			m = m.withoutEnd()
		}
		c.sending.Add(1)
		c.clients.Go(func() { c.run(ctx, m, pieces, sync.OnceFunc(c.sending.Done)) })
	}
	t.Cleanup(c.dismiss)
	return c
}

// run sends the message and stays connected; it repeats this whenever the connection is closed.
func (c *crowd) run(ctx context.Context, m message, pieces int, sent func()) {
	for ctx.Err() == nil {
		if conn, err := dial(ctx, c.address); err == nil {
			if err := send(conn, m, pieces, piecePause); err == nil {
				sent()
				_, _ = io.Copy(io.Discard, conn)
			}
			_ = conn.Close()
		}
		sent()
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// dismiss closes all connections of the crowd.
func (c *crowd) dismiss() {
	c.cancel()
	c.clients.Wait()
}

// hold waits until the crowd has sent its part and the process has read it, as far as it wants to.
func (c *crowd) hold(p *program) {
	sent := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(sent)
	}()
	limit := time.After(maxHold)
	select {
	case <-sent:
	case <-limit:
		return
	}
	const poll = 100 * time.Millisecond
	for last, since := 0, time.Now(); time.Since(since) < steadyTime; time.Sleep(poll) {
		if peak := p.peakMemory(); peak-last > steadyGrowth {
			last, since = peak, time.Now()
		}
		select {
		case <-limit:
			return
		default:
		}
	}
}

// dial opens a connection that is closed when the context ends.
func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}

// send writes the message in so many pieces of its body with a pause between two; the first includes the header.
func send(conn net.Conn, m message, pieces int, pause time.Duration) error {
	size := len(m.body)/pieces + 1
	for buffers, rest := (net.Buffers{m.head}), m.body; ; buffers = nil {
		n := min(size, len(rest))
		buffers = append(buffers, rest[:n])
		if _, err := buffers.WriteTo(conn); err != nil {
			return err
		}
		if rest = rest[n:]; len(rest) == 0 {
			return nil
		}
		time.Sleep(pause)
	}
}
