package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Role is what a VM is for.
type Role string

const (
	// RoleEntry is a VM of the system's own.
	RoleEntry Role = "entry"
	// RoleWorker is an upstream that runs tasks.
	RoleWorker Role = "worker"
)

// VM is one line of the platform's list; the list may be seconds or minutes old.
type VM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// List returns the VMs that the platform knows of.
type List func(ctx context.Context) ([]VM, error)

const (
	maxListBytes = 4 << 20
	listTimeout  = 2 * time.Second
)

// NewHTTP returns a list that is read as a JSON array from the URL.
func NewHTTP(client *http.Client, url string) List {
	return func(ctx context.Context) ([]VM, error) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return nil, fmt.Errorf("ask for VM list: %w", err)
		}
		response, err := client.Do(request)
		if err != nil {
			return nil, fmt.Errorf("ask for VM list: %w", err)
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("ask for VM list: status %d", response.StatusCode)
		}
		var list []VM
		if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
			return nil, fmt.Errorf("decode VM list: %w", err)
		}
		return list, nil
	}
}
