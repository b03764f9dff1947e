package director

import (
	"context"
	"fmt"
	"time"

	"github.com/snipelift/snipelift/arranger"
	"github.com/snipelift/snipelift/registrar"
)

// NotOwnerError means that this process is not the owner, or has not loaded its state or renewed its lease in time.
type NotOwnerError struct {
	// Owner is the node that holds the lease, or empty if none does.
	Owner string
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	if e.Owner == "" {
		return "not the owner; there is none at present"
	}
	return "not the owner, which is " + e.Owner
}

// Explain tells where the owner would place a job that was accepted now, without effect on its state. The error is a NotOwnerError
// if this process cannot tell; the lease is read then.
func (d *Director) Explain(ctx context.Context, job arranger.Job) (arranger.Explanation, error) {
	if t := d.current.Load(); t != nil {
		if e, ok := t.explain(job); ok {
			return e, nil
		}
	}
	row, err := d.Store.Get(ctx, registrar.LeaseTable, registrar.OwnerPartition, registrar.LeaseKey)
	if err != nil {
		return arranger.Explanation{}, fmt.Errorf("read lease: %w", err)
	}
	if row.Version == 0 {
		return arranger.Explanation{}, &NotOwnerError{}
	}
	lease, err := registrar.Decode[registrar.Lease](row)
	if err != nil {
		return arranger.Explanation{}, fmt.Errorf("read lease: %w", err)
	}
	if lease.Released {
		return arranger.Explanation{}, &NotOwnerError{}
	}
	return arranger.Explanation{}, &NotOwnerError{Owner: lease.Node}
}

// explain returns the explanation, or false if another process may be the owner by now.
func (t *term) explain(job arranger.Job) (arranger.Explanation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.baseCtx.Err() != nil || t.isClosing() || t.now()-t.writer.renewedAt() > exclusiveRenewalAge {
		return arranger.Explanation{}, false
	}
	if policy, ok := t.policies[job.Queue]; ok {
		job.Policy = policy
	}
	return t.arranger.Explain(time.Now(), job), true
}
