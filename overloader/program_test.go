package overloader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// memoryMB is the memory limit in the settings of each process; an idle one uses 12 MB (entry VM of the platform) or 25 MB (snipelift serve).
	memoryMB = 72
	// maxFiles is the limit on open descriptors in the settings, of which 200 are for files; the crowd alone exceeds it.
	maxFiles = 360
	// maxAttempts is the number of attempts of an ordinary client, each of which may take attemptTimeout.
	maxAttempts    = 30
	attemptTimeout = 8 * time.Second
	// defaultRetryAfter is the pause of an ordinary client after an attempt without a Retry-After header, maxRetryAfter its longest pause.
	defaultRetryAfter = time.Second
	maxRetryAfter     = 5 * time.Second
	// startTimeout limits the time until a process that was started accepts connections.
	startTimeout   = 20 * time.Second
	sampleInterval = 50 * time.Millisecond
)

// program is a process under test, with the requests that are ordinary for it.
type program struct {
	t       *testing.T
	process *os.Process
	exited  chan struct{}
	log     string
	// client and peer are the addresses of its listeners.
	client, peer string
	// submission returns the request line and the header lines of the n-th submission without its length; query holds those of a request without a body.
	submission func(n int) string
	query, job string
	// peerMessage returns the n-th message to the peer listener.
	peerMessage func(n int) message
	// mostFiles is the largest number of open descriptors that was sampled.
	mostFiles atomic.Int64
}

// programs counts the processes, each of which has ports of its own.
var programs atomic.Int32

// addresses returns IP:port addresses for one process, on a loopback address that no other test process uses and below the ephemeral ports.
func addresses(count int) []string {
	const firstOctet, secondOctet, firstPort, portsPerProgram = 127, 192, 20000, 20
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{firstOctet, secondOctet | byte(pid>>16), byte(pid >> 8), byte(pid)})
	first := firstPort + portsPerProgram*int(programs.Add(1))
	var list []string
	for i := range count {
		list = append(list, netip.AddrPortFrom(host, uint16(first+i)).String()) //nolint:gosec // Far below the largest port.
	}
	return list
}

// build builds the main package at a path below the module's root and returns the program's path.
func build(t *testing.T, main string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "program")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-tags", "nomsgpack", "-o", path, filepath.Join("..", main)).CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return path
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, settings map[string]any) string {
	t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// start starts the process and returns when it accepts connections or has exited.
func (p *program) start(command *exec.Cmd) {
	p.t.Helper()
	log, err := os.Create(filepath.Join(p.t.TempDir(), "log"))
	if err != nil {
		p.t.Fatal(err)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.process, p.exited, p.log = command.Process, exited, log.Name()
	go func() {
		// The exit status is ignored, since the end of the test kills the process.
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	p.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-exited
	})
	ctx, cancel := context.WithTimeout(p.t.Context(), startTimeout)
	defer cancel()
	for p.alive() && ctx.Err() == nil {
		if conn, err := dial(ctx, p.client); err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(sampleInterval)
	}
}

func (p *program) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// logTail returns the end of the process's output.
func (p *program) logTail() string {
	const maxBytes = 2000
	data, _ := os.ReadFile(p.log)
	return string(data[max(0, len(data)-maxBytes):])
}

var peakPattern = regexp.MustCompile(`VmHWM:\s*(\d+) kB`)

// peakMemory returns the largest resident memory that the process has had, in kilobytes, or 0 if it has exited.
func (p *program) peakMemory() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid))
	match := peakPattern.FindSubmatch(data)
	if match == nil {
		return 0
	}
	peak, _ := strconv.Atoi(string(match[1]))
	return peak
}

// sampleFiles samples the number of open descriptors until the context ends.
func (p *program) sampleFiles(ctx context.Context) {
	for ctx.Err() == nil {
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.process.Pid))
		p.mostFiles.Store(max(p.mostFiles.Load(), int64(len(files))))
		time.Sleep(sampleInterval)
	}
}

// exchange sends one request on a connection of its own and returns the status and the pause that the response asks for.
func (p *program) exchange(m message, pieces int, pause time.Duration) (int, time.Duration, error) {
	ctx, cancel := context.WithTimeout(p.t.Context(), attemptTimeout)
	defer cancel()
	conn, err := dial(ctx, p.client)
	if err != nil {
		return 0, defaultRetryAfter, err
	}
	defer func() { _ = conn.Close() }()
	if err := send(conn, m, pieces, pause); err != nil {
		return 0, defaultRetryAfter, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, defaultRetryAfter, err
	}
	defer func() { _ = response.Body.Close() }()
	retryAfter := defaultRetryAfter
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		retryAfter = min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	return response.StatusCode, retryAfter, nil
}

// mustServe repeats a request as an ordinary client does, until it is answered with 200.
func (p *program) mustServe(what string, m message) {
	p.t.Helper()
	var outcomes bytes.Buffer
	for range maxAttempts {
		status, retryAfter, err := p.exchange(m, 1, 0)
		switch {
		case err != nil:
			fmt.Fprintf(&outcomes, "%v; ", err)
		case status == http.StatusOK:
			return
		default:
			fmt.Fprintf(&outcomes, "%d; ", status)
		}
		if !p.alive() {
			break
		}
		time.Sleep(retryAfter)
	}
	p.t.Fatalf("request %s was not served: %s\nprocess alive: %t, end of its log:\n%s", what, &outcomes, p.alive(), p.logTail())
}

// mustSubmit submits the n-th job.
func (p *program) mustSubmit(what string, n int) {
	p.t.Helper()
	p.mustServe(what, kind{}.request(p.submission(n), []byte(p.job)))
}

// ordinary is the number of the first job of the ordinary client; those below are of the crowd.
const ordinary = 1000

// endure checks that the process withstands a crowd and serves an ordinary client during and after it.
func (p *program) endure(address string, pieces int, messageOf func(n int) message) {
	p.t.Helper()
	p.mustSubmit("before the crowd", ordinary)
	p.mustAccept(address, messageOf(crowdSize))
	idle := p.peakMemory()
	ctx, cancel := context.WithCancel(p.t.Context())
	defer cancel()
	go p.sampleFiles(ctx)
	c := gather(p.t, address, pieces, messageOf)
	c.hold(p)
	p.mustSubmit("during the crowd", ordinary+1)
	cancel()
	c.dismiss()
	p.mustSubmit("after the crowd", ordinary+2)
	const kilobytes = 1 << 10
	peak, files := p.peakMemory()/kilobytes, p.mostFiles.Load()
	p.t.Logf("peak memory %d MB (idle %d MB), descriptors %d", peak, idle/kilobytes, files)
	if !p.alive() {
		p.t.Errorf("process has exited, end of its log:\n%s", p.logTail())
	}
	if peak >= memoryMB {
		p.t.Errorf("peak memory %d MB, want less than %d MB", peak, memoryMB)
	}
	if files >= maxFiles {
		p.t.Errorf("%d open descriptors, want less than %d", files, maxFiles)
	}
}

// mustAccept checks that a whole message of the crowd is an ordinary one, which the idle process answers with success.
func (p *program) mustAccept(address string, m message) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), attemptTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := send(conn, m, 1, 0); err != nil {
		p.t.Fatal(err)
	}
	start := make([]byte, 256)
	n, err := conn.Read(start)
	if err != nil || !bytes.HasPrefix(start, []byte("HTTP/1.1 200")) && !bytes.Contains(start, []byte(`"result":`)) {
		p.t.Fatalf("answer to a single whole message: %q, error %v", start[:n], err)
	}
}

// endureClients checks that the process withstands a crowd of clients.
func (p *program) endureClients(k kind) {
	p.t.Helper()
	body := k.content(p.job)
	p.endure(p.client, k.pieces, func(n int) message {
		if k.noBody {
			return k.request(p.query, body)
		}
		return k.request(p.submission(n), body)
	})
}

// endurePeers checks that the process withstands a crowd at its peer listener.
func (p *program) endurePeers() {
	p.t.Helper()
	p.endure(p.peer, 1, p.peerMessage)
}

// serveUnusual checks that single requests with many header lines and with a slow body are served at once.
func (p *program) serveUnusual() {
	p.t.Helper()
	p.mustSubmit("before the others", ordinary)
	const headerLines, slowPieces, slowBytes, slowPause = 4000, 21, 2000, 100 * time.Millisecond
	lines := strings.Repeat("a:\r\n", headerLines)
	slow := kind{body: slowBytes}
	for _, request := range []struct {
		name    string
		message message
		pieces  int
	}{
		{"many header lines", kind{}.request(p.submission(ordinary+1)+lines, []byte(p.job)), 1},
		{"slow body", slow.request(p.submission(ordinary+2), slow.content(p.job)), slowPieces},
	} {
		if len(request.message.head) > maxHeaderBytes {
			p.t.Fatalf("%s: header of %d bytes is not legal", request.name, len(request.message.head))
		}
		if status, _, err := p.exchange(request.message, request.pieces, slowPause); err != nil || status != http.StatusOK {
			p.t.Errorf("%s: status %d, error %v, want 200; end of the log:\n%s", request.name, status, err, p.logTail())
		}
	}
}
