package overloader

import (
	"fmt"
	"io"
	"os/exec"
	"strings"
	"testing"

	"github.com/snipelift/snipelift/demonstrator"
)

// document is the document of the service, with one organisation and one class of short jobs.
const document = `{"service":"tabulator","workers":[{"zone":"zone-a","racks":1,"workersPerRack":2,"accelerators":8}],
"organisations":[{"name":"unions","guarantees":[{"accelerators":1,"within":"worker","count":2}]}],
"classes":[{"name":"lookup","startWithinSeconds":10,"idempotent":true,"checkpointable":false,"borrows":true,"limits":{"queued":1000,"retries":3,"runSeconds":60}}]}`

// startServe starts snipelift serve with fakes of the platform and two workers, and puts the document in force.
func startServe(t *testing.T, path string) *program {
	t.Helper()
	list := addresses(5)
	client, peer, platform, workers := list[0], list[1], list[2], list[3]
	standIns := demonstrator.StandIns{Platform: platform, Workers: workers, Racks: 1, PerRack: 2, Accelerators: 8, Zone: "zone-a", Entries: []string{peer}}
	ended := make(chan error, 1)
	go func() { ended <- standIns.Run(t.Context(), io.Discard) }()
	t.Cleanup(func() {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	url := "http://" + platform
	settings := map[string]any{
		"entry": "entry-1", "zone": "zone-a", "service": "tabulator", "httpAddress": client, "peerAddress": peer,
		"platform":    map[string]any{"tableUrl": url, "objectUrl": url, "listUrl": url + "/vms"},
		"drainMillis": 200, "checkInvariants": true, "memoryMb": memoryMB, "maxOpenFiles": maxFiles,
	}
	lines := "Host: a.example\r\nSnipelift-Organisation: unions\r\n"
	p := &program{
		t: t, client: client, peer: peer,
		submission: func(n int) string {
			return fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nIdempotency-Key: %d\r\nPrefer: wait=5\r\n", n) + lines
		},
		query: "GET /v1/status HTTP/1.1\r\n" + lines,
		job:   `{"class":"lookup","shape":{"accelerators":1,"within":"worker"},"payload":{"runMillis":1}}`,
	}
	rest := []byte(strings.Repeat("x", maxBodyBytes) + `"}}   `)
	p.peerMessage = func(n int) message {
		return message{head: fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"entry.ping","params":{"entry":"other","incarnation":"`, n), body: rest}
	}
	start := func() {
		p.start(exec.CommandContext(t.Context(), path, "serve", "--settings", writeSettings(t, settings)))
	}
	start()
	// Versions of the program without a memory limit reject its keys; the bounds that are checked stay the same.
	if !p.alive() && strings.Contains(p.logTail(), `unknown field "m`) {
		delete(settings, "memoryMb")
		delete(settings, "maxOpenFiles")
		start()
	}
	edit := "PUT /v1/document HTTP/1.1\r\nHost: a.example\r\nIf-None-Match: *\r\nEdit-Id: first\r\nEditor: test\r\n"
	p.mustServe("for the document", kind{}.request(edit, []byte(document)))
	return p
}

// TestServeEnduresCrowds guards against clients within the limits of a request that exhaust the memory of snipelift serve.
func TestServeEnduresCrowds(t *testing.T) {
	path := build(t, ".")
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { startServe(t, path).endureClients(k) })
	}
}

// TestServeEnduresPeers guards against calls on the peer listener that exhaust the memory of snipelift serve.
func TestServeEnduresPeers(t *testing.T) {
	startServe(t, build(t, ".")).endurePeers()
}

// TestServeServesUnusualRequests guards against limits that reject a single legal request of an idle process.
func TestServeServesUnusualRequests(t *testing.T) {
	startServe(t, build(t, ".")).serveUnusual()
}
