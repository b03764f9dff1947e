package limiter

import (
	"math"
	"testing"
)

const fourThousandLines = 20 << 10 / 3

// Ordinary clients were refused, or the process exceeded its memory, if the parts did not fit the smallest and the largest VMs.
func TestSharesFitTheLimits(t *testing.T) {
	for _, test := range []struct {
		memoryMB, files, clients int64
	}{{48, 1024, 64}, {64, 1024, 200}, {144, 4100, 1000}, {284, 4100, 2500}, {536, 4100, 2500}, {65536, 1 << 20, 100_000}} {
		l := Limits{MemoryBytes: test.memoryMB * mebibyte, OpenFiles: int(test.files)}
		s := l.divide()
		clients := int64(0)
		for s.connections.take(Clients, 1) {
			clients++
		}
		if clients < test.clients || clients > (test.files-reservedFiles)*acceptedShare/100 {
			t.Errorf("%d MB: %d connections of clients, want at least %d", test.memoryMB, clients, test.clients)
		}
		for _, c := range []Class{Peers, Probes, Metrics} {
			if !s.connections.take(c, 4) || (c == Peers && !s.connections.take(c, 4)) {
				t.Errorf("%d MB: no connections left for %s", test.memoryMB, c)
			}
		}
		if limit := headerCost(20<<10, fourThousandLines); limit > s.maxHeaderBytes || !s.bytes.take(Clients, limit) {
			t.Errorf("%d MB: no room for one header of legal size", test.memoryMB)
		}
		if used := s.connections.total*connectionCost + s.bytes.total; test.memoryMB >= 64 && used > l.GoMemoryBytes()-minOwn {
			t.Errorf("%d MB: the budget has %d bytes, the Go runtime %d", test.memoryMB, used, l.GoMemoryBytes())
		}
	}
}

// The live heap of an owner and of a budget in full use was so close to the memory limit of the smallest VMs that the process would mostly have collected garbage.
func TestOwnerAndRequestsLeaveRoomForGarbage(t *testing.T) {
	for _, memoryMB := range []int64{144, 184, 284, 536} {
		l := Limits{MemoryBytes: memoryMB * mebibyte, OpenFiles: 4100}
		s := l.divide()
		if live, limit := ownerLive+s.connections.total*connectionCost+s.bytes.total, l.GoMemoryBytes(); live*100 > limit*82 {
			t.Errorf("%d MB: %d MB live, want at most 82%% of %d", memoryMB, live/mebibyte, limit/mebibyte)
		}
		if !s.bytes.takeLarge(Peers, 4*mebibyte) {
			t.Errorf("%d MB: no room for a transaction of a peer", memoryMB)
		}
	}
}

// A limit in the settings that no VM has set no limit at all, or one below what the program itself uses.
func TestAbsurdMemoryLimits(t *testing.T) {
	for _, memoryMB := range []int{-1, 0, 1, 20, 1<<44 + 1, math.MaxInt} {
		l := Detect(memoryMB, 0)
		if got := l.GoMemoryBytes(); got < minOwn || got > unlimitedMemory || (memoryMB > 1<<40 && got < unlimitedMemory/2) {
			t.Errorf("%d MB: the limit of the Go runtime is %d bytes", memoryMB, got)
		}
		if s := l.divide(); s.connections.total < 2*reserveDivisor || s.bytes.total < minRequestBytes {
			t.Errorf("%d MB: %d connections, %d bytes", memoryMB, s.connections.total, s.bytes.total)
		}
	}
}

func TestFloodOfOneClassLeavesTheReserveOfOthers(t *testing.T) {
	l := ledger{total: 100, accounts: [classes]account{Clients: {max: 100}, Peers: {reserved: 10, max: 50}, Probes: {reserved: 2, max: 4}, Metrics: {reserved: 2, max: 4}}}
	for l.take(Clients, 1) {
	}
	if got := l.accounts[Clients].used; got != 86 {
		t.Errorf("clients use %d, want all but the reserves", got)
	}
	if !l.take(Peers, 10) || l.take(Peers, 1) || !l.take(Probes, 2) || l.take(Probes, 1) {
		t.Error("the reserves are not available, or exceeded")
	}
	if !l.pressed(Clients, 25) {
		t.Error("a full share is not pressed")
	}
	if l.takeLarge(Clients, 1) {
		t.Error("a large request takes what is left for small ones")
	}
	l.give(Clients, 50)
	if !l.take(Peers, 40) || l.take(Peers, 1) || l.pressed(Clients, 10) {
		t.Error("what one class does not use is not available to another up to its maximum")
	}
}
