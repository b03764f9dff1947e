package messenger

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/snipelift/snipelift/limiter"
)

// Of the short messages that arrived together with the end of a long one, all but the first 512 bytes were lost.
func TestMessagesAfterALongOneAreRead(t *testing.T) {
	near, far := net.Pipe()
	const short = 20
	go func() {
		defer func() { _ = near.Close() }()
		_, _ = io.WriteString(near, `"`+strings.Repeat("a", 40_000)+`"`+strings.Repeat(`"`+strings.Repeat("b", 198)+`"`, short))
	}()
	m := newMessageStream(far, limiter.Messages{})
	for i := range short + 1 {
		var got json.RawMessage
		if err := m.ReadObject(&got); err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
		if want := []int{40_002, 200}[min(i, 1)]; len(got) != want {
			t.Fatalf("message %d: got %d bytes, want %d", i, len(got), want)
		}
	}
}

// failingListener returns an error before each connection, as the kernel does while no descriptor is free.
type failingListener struct {
	net.Listener

	failed bool
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failed = !f.failed; f.failed {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// The server accepted no more connections of other entries once the descriptors had been exhausted for a moment.
func TestServerSurvivesAFailedAccept(t *testing.T) {
	l, err := limiter.Listen(t.Context(), limiter.Peers, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cleanUp := Serve(&failingListener{Listener: l}, Handlers{})
	defer cleanUp()
	for range 2 {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"unknown"}`)
		if n, err := conn.Read(make([]byte, 1)); n != 1 {
			t.Errorf("no response: %v", err)
		}
		_ = conn.Close()
	}
}
