package messenger

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"

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
