package documenter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/snipelift/snipelift/packer"
)

const (
	// MaxBytes is the maximum size of a document in bytes.
	MaxBytes = 256 << 10
	// maxWorkers is the maximum number of workers in a document.
	maxWorkers = 10_000
	// maxQueued is the maximum of Limits.Queued.
	maxQueued = 100_000
	// maxStartWithinSeconds is the maximum of Class.StartWithinSeconds.
	maxStartWithinSeconds = 3600
)

// ErrInvalid is wrapped by all errors about an invalid document.
var ErrInvalid = errors.New("document refused")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Decode parses and validates a document; the error wraps ErrInvalid and names the invalid key and the reason.
func Decode(data []byte) (Document, error) {
	var d Document
	if len(data) > MaxBytes {
		return d, fmt.Errorf("%w: %d bytes, at most %d are accepted", ErrInvalid, len(data), MaxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Document{}, fmt.Errorf("%w: %s", ErrInvalid, strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Document{}, fmt.Errorf("%w: text after the document's end", ErrInvalid)
	}
	return d, d.Validate()
}

// Validate returns an error that wraps ErrInvalid if the document is invalid.
func (d Document) Validate() error {
	checks := []func() error{
		d.validateService,
		d.validateWorkers,
		d.validateClasses,
		d.validateOrganisations,
		d.validatePacking,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
	}
	return nil
}

func (d Document) validateService() error { return validateName("service", d.Service) }

func (d Document) validateWorkers() error {
	if len(d.Workers) == 0 {
		return errors.New("workers: at least one group is needed")
	}
	total := 0
	for i, g := range d.Workers {
		path := fmt.Sprintf("workers[%d]", i)
		if err := validateName(path+".zone", g.Zone); err != nil {
			return err
		}
		if g.Racks < 1 || g.Racks > maxWorkers {
			return fmt.Errorf("%s.racks: %d, accepted are 1 to %d", path, g.Racks, maxWorkers)
		}
		if g.WorkersPerRack < 1 || g.WorkersPerRack > maxWorkers {
			return fmt.Errorf("%s.workersPerRack: %d, accepted are 1 to %d", path, g.WorkersPerRack, maxWorkers)
		}
		if g.Accelerators < 0 || g.Accelerators > 64 {
			return fmt.Errorf("%s.accelerators: %d, accepted are 0 to 64", path, g.Accelerators)
		}
		total += g.Racks * g.WorkersPerRack
	}
	if total > maxWorkers {
		return fmt.Errorf("workers: %d in all, accepted are 1 to %d", total, maxWorkers)
	}
	return nil
}

func (d Document) validateClasses() error {
	if len(d.Classes) == 0 {
		return errors.New("classes: at least one class is needed")
	}
	seen := map[string]bool{}
	for i, c := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if err := validateName(path+".name", c.Name); err != nil {
			return err
		}
		if seen[c.Name] {
			return fmt.Errorf("%s.name: %q is there twice", path, c.Name)
		}
		seen[c.Name] = true
		if err := c.validate(path); err != nil {
			return err
		}
	}
	return nil
}

func (c Class) validate(path string) error {
	switch {
	case c.StartWithinSeconds < 0 || c.StartWithinSeconds > maxStartWithinSeconds:
		return fmt.Errorf("%s.startWithinSeconds: %d, accepted are 0 (not urgent) to %d", path, c.StartWithinSeconds, maxStartWithinSeconds)
	case c.Borrows && !c.Reclaimable():
		return fmt.Errorf("%s.borrows: work that can be neither checkpointed nor repeated cannot be moved off lent accelerators; set borrows to false, or checkpointable or idempotent to true", path)
	case c.Limits.Queued < 1 || c.Limits.Queued > maxQueued:
		return fmt.Errorf("%s.limits.queued: %d, accepted are 1 to %d", path, c.Limits.Queued, maxQueued)
	case c.Limits.Retries < 0 || c.Limits.Retries > 10:
		return fmt.Errorf("%s.limits.retries: %d, accepted are 0 to 10", path, c.Limits.Retries)
	case c.Limits.Retries > 0 && !c.Idempotent:
		return fmt.Errorf("%s.limits.retries: %d, but work that is not idempotent is never repeated; set it to 0", path, c.Limits.Retries)
	case c.Limits.RunSeconds < 1:
		return fmt.Errorf("%s.limits.runSeconds: %d, accepted are 1 and more", path, c.Limits.RunSeconds)
	}
	return nil
}

func (d Document) validateOrganisations() error {
	if len(d.Organisations) == 0 {
		return errors.New("organisations: at least one organisation is needed")
	}
	seen := map[string]bool{}
	for i, o := range d.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		if err := validateName(path+".name", o.Name); err != nil {
			return err
		}
		if seen[o.Name] {
			return fmt.Errorf("%s.name: %q is there twice", path, o.Name)
		}
		seen[o.Name] = true
		if err := o.validateGuarantees(path, d.WorkerSize()); err != nil {
			return err
		}
	}
	return nil
}

func (o Organisation) validateGuarantees(path string, workerSize int) error {
	for i, g := range o.Guarantees {
		guaranteePath := fmt.Sprintf("%s.guarantees[%d]", path, i)
		if g.Accelerators < 1 {
			return fmt.Errorf("%s.accelerators: %d, accepted are 1 and more", guaranteePath, g.Accelerators)
		}
		if err := g.Validate(workerSize); err != nil {
			return fmt.Errorf("%s: %w", guaranteePath, err)
		}
		if g.Count < 1 || g.Count > maxWorkers {
			return fmt.Errorf("%s.count: %d, accepted are 1 to %d", guaranteePath, g.Count, maxWorkers)
		}
	}
	return nil
}

// validatePacking checks that the workers can hold all guarantees at once; the error names the first one that does not fit beside those before it.
func (d Document) validatePacking() error {
	tracker := d.tracker()
	for i, o := range d.Organisations {
		for k, g := range o.Guarantees {
			tracker.AddDemand(g.Shape, g.Count)
			if !tracker.Packs() {
				return fmt.Errorf("organisations[%d].guarantees[%d]: %d times %s for %s does not pack onto the workers beside the guarantees before it", i, k, g.Count, g.Shape, o.Name)
			}
		}
	}
	return nil
}

// tracker returns a capacity tracker with all workers of the document and no demand.
func (d Document) tracker() *packer.CapacityTracker {
	tracker := packer.NewCapacityTracker(d.WorkerSize())
	worker, rack := 0, 0
	for _, g := range d.Workers {
		for range g.Racks {
			for range g.WorkersPerRack {
				tracker.AddWorker(worker, rack, g.Accelerators)
				worker++
			}
			rack++
		}
	}
	return tracker
}

func validateName(path, name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%s: %q, accepted are lower-case letters, digits and dashes, 63 at most", path, name)
	}
	return nil
}
