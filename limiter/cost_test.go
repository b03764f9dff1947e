package limiter

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A body of 4-byte chunks in the same segment as its header counted as a thousand header lines, and was refused.
func TestScanCountsOnlyTheHeader(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n\r\n"
	text := head + strings.Repeat("4\r\nabcd\r\n", 500)
	for _, size := range []int{1, 2, 3, 7, len(text)} {
		var h headerScan
		for rest := []byte(text); len(rest) > 0; {
			n := min(size, len(rest))
			h.add(rest[:n])
			rest = rest[n:]
		}
		if !h.ended || h.lines != 3 || h.bytes != int64(len(head)) {
			t.Errorf("in parts of %d bytes: got %+v, want 3 lines of %d bytes", size, h, len(head))
		}
	}
	var h headerScan
	h.add([]byte("GET / HTTP/1.1\na:\n\r"))
	if h.ended || h.lines != 2 {
		t.Errorf("got %+v, want 2 lines and no end", h)
	}
}

// The values of all headers share one array, so that a kept value kept thousands of dropped ones.
func TestKeptHeadersAreBounded(t *testing.T) {
	h := http.Header{"Authorization": {"Token key"}, "Prefer": {}}
	for i := range 4000 {
		h[fmt.Sprint("X", i)] = []string{"y"}
		h.Add("Prefer", "wait=1")
	}
	kept, cost := keepHeaders(h, []string{"Authorization", "Prefer", "If-Match"})
	if kept.Get("Authorization") != "Token key" || len(kept["Prefer"]) != maxKeptValues || len(kept) != 2 || cap(kept["Prefer"]) > 2*maxKeptValues {
		t.Errorf("kept %v", kept)
	}
	if cost > requestAllowance {
		t.Errorf("cost %d of what is kept", cost)
	}
}
