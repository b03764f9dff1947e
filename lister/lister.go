package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Role is the role of a VM.
type Role string

const (
	// RoleEntry is a VM that runs an entry of this system.
	RoleEntry Role = "entry"
	// RoleWorker is an upstream that runs tasks.
	RoleWorker Role = "worker"
)

// VM is an element of the platform's list, which may be seconds or minutes old.
type VM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// List fetches the list of VMs.
type List func(ctx context.Context) ([]VM, error)

const (
	maxListBytes = 4 << 20
	listTimeout  = 2 * time.Second
)

// NewHTTP returns a List that fetches a JSON array from the URL, with conditional requests that reuse the last list while its entity tag is unchanged.
func NewHTTP(client *http.Client, url string) List {
	c := &cached{client: client, url: url}
	return c.list
}

// cached stores the last list with its entity tag.
type cached struct {
	client *http.Client
	url    string

	mu   sync.Mutex
	etag string
	vms  []VM
}

func (c *cached) list(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("get VM list: %w", err)
	}
	etag, known := c.last()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("get VM list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return known, nil
	case http.StatusOK:
		return c.read(response)
	default:
		return nil, fmt.Errorf("get VM list: status %d", response.StatusCode)
	}
}

func (c *cached) last() (string, []VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.vms
}

func (c *cached) read(response *http.Response) ([]VM, error) {
	var list []VM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = response.Header.Get("ETag")
	c.vms = list
	return list, nil
}
