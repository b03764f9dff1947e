package limiter

import (
	"bytes"
	"net/http"
	"slices"
)

const (
	// lineCost is the memory of one parsed header line in bytes: its map entry, its slice of values and the copies that remain while the map grows.
	lineCost = 192
	// requestAllowance is the size in bytes up to which a request is part of the cost of its connection.
	requestAllowance = 8 << 10
	// maxKeptValues is the number of values of a header that are kept of an oversized request; no handler reads more than the first one.
	maxKeptValues = 4
	// messageFactor is the memory of one byte of a JSON message while it is read and decoded, in bytes: the buffer of the decoder, which doubles, and the raw parameters.
	messageFactor = 4
)

// headerCost estimates the memory in bytes of a header of which so many bytes and line ends have arrived; 16 KB of lines without values allocate 0.4 MB when they are parsed, 93 to 154 bytes a line.
func headerCost(bytes, lines int64) int64 { return bytes + lines*lineCost }

// headerScan counts the bytes and line ends of a header that arrives in parts. It stops at the end of the header, since a body of small chunks has as many line ends and costs less.
type headerScan struct {
	bytes, lines int64
	// line is the length of the current line so far, and ended means that an empty line was seen.
	line  int
	ended bool
}

func (h *headerScan) add(p []byte) {
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += int64(len(p))
			h.line += len(p)
			return
		}
		h.bytes += int64(end) + 1
		h.lines++
		length := h.line + end
		h.ended = length == 0 || (length == 1 && (end == 0 || p[0] == '\r'))
		h.line = 0
		p = p[end+1:]
	}
}

func (h *headerScan) cost() int64 { return headerCost(h.bytes, h.lines) }

// heldCost returns what a request with these costs uses beyond the allowance.
func heldCost(header, body int64) int64 { return max(header+body-requestAllowance, 0) }

// keepHeaders returns the header with only the given names, and its cost. It answers headers of legal size with thousands of lines, which would be held until the body has arrived.
func keepHeaders(h http.Header, names []string) (http.Header, int64) {
	kept := make(http.Header, len(names))
	var bytes, lines int64
	for _, name := range names {
		values := h[name]
		if len(values) == 0 {
			continue
		}
		// The copy does not keep the array that holds the values of all headers.
		values = slices.Clone(values[:min(len(values), maxKeptValues)])
		kept[name] = values
		for _, value := range values {
			bytes += int64(len(name) + len(value))
			lines++
		}
	}
	return kept, headerCost(bytes, lines)
}
