package limiter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts in-memory connections, so that the tests run in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a server with a budget, whose handler reads a body and then waits for the query parameter "work".
type fixture struct {
	t        *testing.T
	budget   *Budget
	listener *pipeListener
	headers  chan http.Header
}

func newFixture(t *testing.T, limits Limits) *fixture {
	t.Helper()
	f := &fixture{t: t, budget: New(limits, slog.New(slog.DiscardHandler)), listener: &pipeListener{make(chan net.Conn), make(chan struct{})}, headers: make(chan http.Header, 100)}
	s := &http.Server{ReadHeaderTimeout: 3 * time.Second, MaxHeaderBytes: 16 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case f.headers <- r.Header:
		default:
		}
		body, err := ReadBody(r, 256<<10)
		switch {
		case errors.Is(err, ErrOverloaded):
			Refuse(w)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			work, _ := time.ParseDuration(r.URL.Query().Get("work"))
			time.Sleep(work)
			_, _ = fmt.Fprint(w, len(body))
		}
	})}
	f.budget.Protect(s, "Authorization")
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(f.budget.Wrap(Clients, f.listener))
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
		f.budget.Close()
		// Connections of refused requests remain open for the linger time.
		time.Sleep(time.Minute)
	})
	return f
}

// client is a client's connection; the status of each response is sent to statuses, and -1 at the end of the connection.
type client struct {
	net.Conn

	statuses chan int
}

func (f *fixture) dial() *client {
	near, far := net.Pipe()
	f.listener.conns <- far
	c := &client{Conn: near, statuses: make(chan int, 10)}
	go func() {
		reader := bufio.NewReader(near)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				c.statuses <- -1
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
				c.statuses <- 0
			}
			c.statuses <- response.StatusCode
		}
	}()
	f.t.Cleanup(func() { _ = near.Close() })
	return c
}

// send writes a request with a body of the announced size, of which so many bytes are sent.
func (c *client) send(query string, announced, sent int) {
	_, _ = fmt.Fprintf(c, "POST /?%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", query, announced, strings.Repeat("x", sent))
}

func (c *client) expect(t *testing.T, what string, want int) {
	t.Helper()
	synctest.Wait()
	select {
	case got := <-c.statuses:
		if got != want {
			t.Errorf("%s: got status %d, want %d", what, got, want)
		}
	default:
		t.Errorf("%s: no response, want status %d", what, want)
	}
}

func (c *client) expectNone(t *testing.T, what string) {
	t.Helper()
	synctest.Wait()
	select {
	case got := <-c.statuses:
		t.Errorf("%s: got status %d, want none yet", what, got)
	default:
	}
}

// The bodies of thousands of stalled clients filled the memory; a request that makes progress takes the place of the one that stalled first.
func TestStalledBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Limits{MemoryBytes: 64 * mebibyte, OpenFiles: 1000})
		const size = 256 << 10
		var stalled []*client
		for f.budget.shares.bytes.accounts[Clients].used+size+blockSize < f.budget.shares.bytes.accounts[Clients].max*80/100 {
			c := f.dial()
			stalled = append(stalled, c)
			c.send("", size, size-100)
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		for f.budget.shares.bytes.takeLarge(Clients, 2*blockSize) {
			f.budget.shares.bytes.give(Clients, 2*blockSize)
			c := f.dial()
			c.send("", size, requestAllowance*2)
			synctest.Wait()
		}
		for _, length := range []int{3000, smallBody} {
			small := f.dial()
			small.send("", length, length)
			small.expect(t, "small request", http.StatusOK)
		}
		time.Sleep(fairChance + waitTime)
		working := f.dial()
		working.send("work=1m", 200<<10, 200<<10)
		working.expectNone(t, "request that the process works on")
		time.Sleep(2 * fairChance)
		slow := f.dial()
		slow.send("", 200<<10, 20<<10)
		for range 18 {
			time.Sleep(fairChance / 2)
			_, _ = slow.Write(make([]byte, 10<<10))
		}
		slow.expect(t, "slow body", http.StatusOK)
		for range len(stalled) - 1 {
			late := f.dial()
			late.send("work=1m", size, size)
			late.expectNone(t, "body that arrives at once")
		}
		stalled[0].expect(t, "body that stalled first", http.StatusServiceUnavailable)
		time.Sleep(time.Minute)
		working.expect(t, "request that the process worked on", http.StatusOK)
		if used := f.budget.shares.bytes.accounts[Clients].used; used > size*int64(len(stalled)) {
			t.Errorf("%d bytes are counted after the requests", used)
		}
	})
}

// A body that does not fit while no request has had its fair chance waits, and is answered "not run" if that does not help; its rest is not read.
func TestBodyThatDoesNotFitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Limits{MemoryBytes: 64 * mebibyte, OpenFiles: 1000})
		f.budget.shares.bytes.accounts[Clients].max = 130 << 10
		first, second := f.dial(), f.dial()
		first.send("work=5s", 90<<10, 90<<10)
		first.expectNone(t, "first request")
		go second.send("", 90<<10, 90<<10)
		synctest.Wait()
		time.Sleep(waitTime / 2)
		second.expectNone(t, "request that waits for memory")
		time.Sleep(waitTime)
		second.expect(t, "request that does not fit", http.StatusServiceUnavailable)
		time.Sleep(5 * time.Second)
		first.expect(t, "first request", http.StatusOK)
		second.expect(t, "connection of the refused request", -1)
	})
}

func TestHeadersOfLegalSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Limits{MemoryBytes: 64 * mebibyte, OpenFiles: 1000})
		lines := strings.Repeat("a:\r\n", 4000)
		calm := f.dial()
		_, _ = fmt.Fprintf(calm, "GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Token key\r\n%s\r\n", lines)
		calm.expect(t, "4,000 header lines without pressure", http.StatusOK)
		if h := <-f.headers; len(h) != 1 || h.Get("Authorization") != "Token key" {
			t.Errorf("the handler got %d headers, want the one that it reads", len(h))
		}
		var open []*client
		for range 30 {
			c := f.dial()
			open = append(open, c)
			_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\n%s", lines)
		}
		synctest.Wait()
		if used := f.budget.headerBytes[Clients]; used > f.budget.shares.maxHeaderBytes || used == 0 {
			t.Errorf("headers use %d bytes, want at most %d", used, f.budget.shares.maxHeaderBytes)
		}
		open[29].expect(t, "header that does not fit", http.StatusServiceUnavailable)
		small := f.dial()
		_, _ = fmt.Fprint(small, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		small.expect(t, "ordinary request", http.StatusOK)
		time.Sleep(2 * fairChance)
		late := f.dial()
		_, _ = fmt.Fprintf(late, "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", lines)
		late.expect(t, "header after the fair chance of others", http.StatusOK)
	})
}

// All places were taken by connections without requests, and new clients were refused.
func TestIdleConnectionsGiveWayToNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Limits{MemoryBytes: 64 * mebibyte, OpenFiles: 120})
		working := f.dial()
		working.send("work=10s", 10, 10)
		used := f.dial()
		used.send("", 10, 10)
		used.expect(t, "request", http.StatusOK)
		time.Sleep(fairChance)
		for f.budget.shares.connections.take(Clients, 1) {
			f.budget.shares.connections.give(Clients, 1)
			f.dial()
			synctest.Wait()
		}
		fresh := f.dial()
		fresh.send("", 10, 10)
		fresh.expect(t, "new client", http.StatusOK)
		used.expect(t, "connection that has been idle for longest", -1)
		f.dial().expect(t, "new client while all others are recent", -1)
		time.Sleep(10 * time.Second)
		working.expect(t, "request that the process worked on", http.StatusOK)
	})
}

func TestReadBodyAcceptsAllLengths(t *testing.T) {
	const limit = 100_000
	for _, size := range []int{0, 1, firstBlock - 1, firstBlock, firstBlock + 1, firstBlock + blockSize, 60_000, limit, limit + 1} {
		for _, announced := range []int64{int64(size), -1} {
			text := strings.Repeat("0123456789", size/10+1)[:size]
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", io.NopCloser(strings.NewReader(text)))
			if err != nil {
				t.Fatal(err)
			}
			r.ContentLength = announced
			got, err := ReadBody(r, limit)
			if size > limit {
				if !errors.Is(err, ErrTooLarge) {
					t.Errorf("%d bytes: got %v, want ErrTooLarge", size, err)
				}
				continue
			}
			if err != nil || string(got) != text {
				t.Errorf("%d bytes, %d announced: got %d bytes, %v", size, announced, len(got), err)
			}
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(size)+1
			if _, err := ReadBody(r, limit+1); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d bytes of one more: got %v", size, err)
			}
		}
	}
}

// The connection of a request that had waited for a result for long counted as slow while its response was written, by the bytes that arrived, and could be closed.
func TestResponseAfterALongWaitDoesNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Limits{MemoryBytes: 64 * mebibyte, OpenFiles: 1000})
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		c := &conn{Conn: far, budget: f.budget, class: Clients}
		c.beginHandler(100, 0)
		time.Sleep(2 * slowAge)
		go func() { _, _ = c.Write([]byte("response")) }()
		go func() { _, _ = c.Read(make([]byte, 1)) }()
		rank := func() int {
			time.Sleep(fairChance / 10)
			synctest.Wait()
			return c.sight(time.Now()).rank()
		}
		if got := rank(); got != rankNever {
			t.Errorf("rank %d while the response is being written", got)
		}
		_, _ = io.ReadFull(near, make([]byte, len("response")))
		c.endHandler()
		if got := rank(); got != rankNever {
			t.Errorf("rank %d when the handler has ended", got)
		}
		time.Sleep(fairChance)
		if got := rank(); got != rankStalled {
			t.Errorf("rank %d long after the handler has ended", got)
		}
		_ = c.Close()
	})
}

// After a freeze of the VM, bodies whose next bytes waited in their sockets were aborted in favour of the first one that needed memory.
func TestBodiesSurviveAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Limits{MemoryBytes: 64 * mebibyte, OpenFiles: 1000})
		f.budget.shares.bytes.accounts[Clients].max = 130 << 10
		first, second := f.dial(), f.dial()
		first.send("", 100<<10, 98<<10)
		synctest.Wait()
		time.Sleep(fairChance / 2)
		f.budget.mu.Lock()
		// The last sign of a process that was paused is as old as the pause.
		f.budget.beats.last = time.Now().Add(-3 * fairChance)
		f.budget.conns[Clients][0].mu.Lock()
		f.budget.conns[Clients][0].progress = time.Now().Add(-3 * fairChance)
		f.budget.conns[Clients][0].mu.Unlock()
		f.budget.mu.Unlock()
		go second.send("", 90<<10, 90<<10)
		synctest.Wait()
		_, _ = first.Write(make([]byte, 2<<10))
		first.expect(t, "body that arrived during the pause", http.StatusOK)
		time.Sleep(waitTime)
		second.expect(t, "body that waited for memory", http.StatusOK)
	})
}

// A chunked body whose connection ended before its last chunk was taken for a complete one.
func TestChunkedBodyCutShortIsRejected(t *testing.T) {
	for _, chunks := range []string{"5\r\n[1,2]\r\n", "5\r\n[1,2]\r\n0", "5\r\n[1,2]", "9\r\n[1,2]", "5\r\n[1,2]\r\n0\r\n"} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ReadBody(r, 1000); err == nil {
			t.Errorf("%q: got the body %q", chunks, got)
		}
	}
}

// One peer that sent an endless message, or calls without waiting for their results, filled the memory.
func TestMessagesAndCallsAreBounded(t *testing.T) {
	b := New(Limits{MemoryBytes: 64 * mebibyte, OpenFiles: 1000}, slog.New(slog.DiscardHandler))
	defer b.Close()
	near, far := net.Pipe()
	c := &conn{Conn: far, budget: b, class: Peers}
	b.admit(c)
	m := MessagesOf(c)
	go func() {
		for {
			if _, err := near.Write(make([]byte, 32<<10)); err != nil {
				return
			}
		}
	}()
	total, buffer := 0, make([]byte, 32<<10)
	for {
		n, err := c.Read(buffer)
		total += n
		if err != nil {
			break
		}
	}
	if total == 0 || total > maxMessageBytes {
		t.Errorf("read %d bytes of one message", total)
	}
	_ = c.Close()
	_ = near.Close()
	var ends []func()
	for {
		end, ok := m.BeginCall(100 << 10)
		if !ok {
			break
		}
		ends = append(ends, end)
	}
	for _, end := range ends {
		end()
	}
	if used := b.shares.bytes.accounts[Peers].used; len(ends) == 0 || used != 0 {
		t.Errorf("%d calls ran, and %d bytes are counted afterwards", len(ends), used)
	}
}
