package faker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/storer"
)

const maxRequestBytes = 16 << 20

// Platform is a fake of the table service, the object store and the VM list behind one HTTP handler.
type Platform struct {
	faultInjector
	mu      sync.Mutex
	tables  map[string]*Table
	objects map[string][]byte
	vms     []lister.VM
	listed  []lister.VM
}

// NewPlatform returns a platform without rows, objects or VMs.
func NewPlatform() *Platform {
	return &Platform{tables: map[string]*Table{}, objects: map[string][]byte{}}
}

// Table returns the table of the service, which starts out empty.
func (p *Platform) Table(service string) *Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tables[service] == nil {
		p.tables[service] = NewTable()
	}
	return p.tables[service]
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []lister.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// List returns the VM list; while FreezeList is set, it is the list of the last call before.
func (p *Platform) List(ctx context.Context) ([]lister.VM, error) {
	if err := p.injectFaults(ctx); err != nil {
		return nil, err
	}
	frozen := p.CurrentFaults().FreezeList
	p.mu.Lock()
	defer p.mu.Unlock()
	if !frozen {
		p.listed = slices.Clone(p.vms)
	}
	return slices.Clone(p.listed), nil
}

func (p *Platform) injectFaults(ctx context.Context) error {
	if err := p.delay(ctx); err != nil {
		return err
	}
	if p.CurrentFaults().Down {
		return fmt.Errorf("%w: told to be down", storer.ErrUnavailable)
	}
	return nil
}

// Objects returns a client of the object store that calls it in process.
func (p *Platform) Objects() storer.Objects {
	return storer.Objects{Put: p.putObject, Get: p.getObject}
}

func (p *Platform) putObject(ctx context.Context, key string, data []byte) error {
	if err := p.injectFaults(ctx); err != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[key] = slices.Clone(data)
	return nil
}

func (p *Platform) getObject(ctx context.Context, key string) ([]byte, error) {
	if err := p.injectFaults(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[key]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return data, nil
}

// ServeHTTP implements the subset of the DynamoDB and S3 APIs that package storer uses, GET and PUT /vms, and PUT /faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.trackConnection(r.RemoteAddr) {
		leaveUnanswered(r)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if r.URL.Path == "/faults" {
		p.serveFaults(w, r)
		return
	}
	if err := p.injectFaults(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Header.Get("X-Amz-Target") != "":
		p.serveTable(w, r)
	case r.URL.Path == "/vms":
		p.serveList(w, r)
	default:
		p.serveObject(w, r)
	}
}

// leaveUnanswered reads the request and sends no response until its client gives up.
//
// The server notices a closed connection only after it has read the body.
func leaveUnanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var vms []lister.VM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetVMs(vms)
		return
	}
	vms, err := p.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data, _ := json.Marshal(vms)
	sum := sha256.Sum256(data)
	etag := `"` + hex.EncodeToString(sum[:8]) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeAmazonJSON(w, http.StatusOK, vms)
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/")
	if _, after, ok := strings.Cut(key, "/"); ok {
		key = after
	}
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = p.putObject(r.Context(), key, data)
		return
	}
	data, err := p.getObject(r.Context(), key)
	if errors.Is(err, storer.ErrNotFound) {
		w.Header().Set("Content-Type", "application/xml")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "<Error><Code>NoSuchKey</Code></Error>")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func writeAmazonJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
