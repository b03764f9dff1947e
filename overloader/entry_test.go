package overloader

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"testing"

	"github.com/snipelift/snipelift/faker"
)

// startEntry starts cmd/snipelift-entry with a fake of the platform's store.
func startEntry(t *testing.T, path string) *program {
	t.Helper()
	store := faker.NewRowStore()
	store.Put("op", "config", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "lookups", "host": "a.example", "prefix": "/l/", "service": "tabulator", "maxAttempts": 3, "stretch": 1.5, "sloMs": 250}},
		"services": []any{map[string]any{"name": "tabulator"}},
		"tenants":  []any{map[string]any{"name": "unions", "apiKeys": []string{"key"}}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	platform := httptest.NewServer(store)
	t.Cleanup(platform.Close)
	list := addresses(4)
	client, ready, metrics, peer := list[0], list[1], netip.MustParseAddrPort(list[2]), list[3]
	settings := writeSettings(t, map[string]any{
		"node": "entry", "zone": "zone-a", "ip": metrics.Addr(), "portRange": []uint16{metrics.Port(), metrics.Port() + 1}, "heartbeatMs": 1500,
		"listen":   map[string]any{"front": client, "ready": ready},
		"platform": map[string]any{"addr": platform.Listener.Addr().String()},
		"limits":   map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": memoryMB, "maxFds": maxFiles},
		"bounds":   map[string]any{"maxHoldMs": 10000, "stopMs": 400, "gangWaitMs": 3000, "graceS": 2, "status_s": 600, "configApplyMs": 3000, "maxStretchMs": 5000},
	})
	lines := "Host: a.example\r\nAuthorization: Token key\r\nX-Timeout-Ms: 5000\r\n"
	p := &program{
		t: t, client: client, peer: peer,
		submission: func(n int) string { return fmt.Sprintf("POST /l/%016x HTTP/1.1\r\n", n) + lines },
		query:      "GET /l/ HTTP/1.1\r\n" + lines,
		job:        `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":1000,"gpu":1,"estimateMs":1000}]}`,
	}
	transaction := kind{body: maxBodyBytes}
	body := transaction.content(`{"upserts":[]}`)
	p.peerMessage = func(int) message {
		return transaction.request("POST /rows-tx HTTP/1.1\r\nHost: store\r\n", body)
	}
	command := exec.CommandContext(t.Context(), path)
	command.Env = append(os.Environ(), "SNIPELIFT_BOOT="+settings)
	p.start(command)
	return p
}

// TestEntryEnduresCrowds guards against clients within the limits of a request that exhaust the memory of an entry VM of the platform.
func TestEntryEnduresCrowds(t *testing.T) {
	path := build(t, "cmd/snipelift-entry")
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { startEntry(t, path).endureClients(k) })
	}
}

// TestEntryEnduresPeers guards against store requests of peers that exhaust the memory of an entry VM of the platform.
func TestEntryEnduresPeers(t *testing.T) {
	startEntry(t, build(t, "cmd/snipelift-entry")).endurePeers()
}

// TestEntryServesUnusualRequests guards against limits that reject a single legal request of an idle process.
func TestEntryServesUnusualRequests(t *testing.T) {
	startEntry(t, build(t, "cmd/snipelift-entry")).serveUnusual()
}
