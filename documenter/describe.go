package documenter

import (
	"fmt"
	"strings"
)

// Describe returns sentences that explain the guarantees and rules of a valid document.
func Describe(d Document) []string {
	sentences := []string{describeFleet(d)}
	for _, o := range d.Organisations {
		sentences = append(sentences, describeOrganisation(o))
	}
	for i, c := range d.Classes {
		sentences = append(sentences, describeClass(i, c))
	}
	return append(sentences, describeLosses(d)...)
}

func describeFleet(d Document) string {
	workers, accelerators := 0, 0
	for _, g := range d.Workers {
		n := g.Racks * g.WorkersPerRack
		workers += n
		accelerators += n * g.Accelerators
	}
	return fmt.Sprintf("Service %s runs on %d workers with %d accelerators.", d.Service, workers, accelerators)
}

func describeOrganisation(o Organisation) string {
	if len(o.Guarantees) == 0 {
		return fmt.Sprintf("%s is guaranteed nothing and borrows what is free.", o.Name)
	}
	parts := make([]string, 0, len(o.Guarantees))
	for _, g := range o.Guarantees {
		parts = append(parts, fmt.Sprintf("%d times %s", g.Count, g.Shape))
	}
	return fmt.Sprintf("%s always gets %s.", o.Name, strings.Join(parts, " and "))
}

func describeClass(position int, c Class) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s comes %s", c.Name, ordinal(position+1))
	if c.Urgent() {
		fmt.Fprintf(&b, ", starts within %d s where its organisation has guarantee left, and moves lent work of later classes", c.StartWithinSeconds)
	}
	switch {
	case c.Borrows && c.Checkpointable:
		b.WriteString("; it borrows, and is moved at a checkpoint")
	case c.Borrows:
		b.WriteString("; it borrows, and is started anew when moved")
	default:
		b.WriteString("; it never borrows and is never moved")
	}
	switch {
	case c.Idempotent:
		fmt.Fprintf(&b, "; a failure is retried at most %d times", c.Limits.Retries)
	default:
		b.WriteString("; it never runs twice")
	}
	fmt.Fprintf(&b, "; an organisation may have %d waiting, each may run %d s.", c.Limits.Queued, c.Limits.RunSeconds)
	return b.String()
}

func ordinal(n int) string {
	switch {
	case n%10 == 1 && n%100 != 11:
		return fmt.Sprintf("%dst", n)
	case n%10 == 2 && n%100 != 12:
		return fmt.Sprintf("%dnd", n)
	case n%10 == 3 && n%100 != 13:
		return fmt.Sprintf("%drd", n)
	default:
		return fmt.Sprintf("%dth", n)
	}
}

// describeLosses lists the guarantees that cannot be met after the loss of the first worker, rack or availability zone of the document.
func describeLosses(d Document) []string {
	var sentences []string
	for _, loss := range []struct {
		what string
		lost func(zone string, rack, worker int) bool
	}{
		{"a worker", func(_ string, rack, worker int) bool { return rack == 0 && worker == 0 }},
		{"a rack", func(_ string, rack, _ int) bool { return rack == 0 }},
		{"availability zone " + d.Workers[0].Zone, func(zone string, _, _ int) bool { return zone == d.Workers[0].Zone }},
	} {
		broken := d.brokenGuarantees(loss.lost)
		if len(broken) == 0 {
			sentences = append(sentences, fmt.Sprintf("Losing %s breaks no guarantee.", loss.what))
			continue
		}
		sentences = append(sentences, fmt.Sprintf("Losing %s breaks %s.", loss.what, strings.Join(broken, ", ")))
	}
	return sentences
}

// brokenGuarantees describes, in the order of the document, the guarantees that do not fit without the lost workers; the rack passed to lost is counted over all groups, the worker within its rack.
func (d Document) brokenGuarantees(lost func(zone string, rack, worker int) bool) []string {
	tracker := d.tracker()
	index := 0
	rackIndex := 0
	for _, g := range d.Workers {
		for range g.Racks {
			for w := range g.WorkersPerRack {
				if lost(g.Zone, rackIndex, w) {
					tracker.RemoveWorker(index)
				}
				index++
			}
			rackIndex++
		}
	}
	var broken []string
	for _, o := range d.Organisations {
		for _, g := range o.Guarantees {
			missing := 0
			for range g.Count {
				tracker.AddDemand(g.Shape, 1)
				if !tracker.Packs() {
					tracker.AddDemand(g.Shape, -1)
					missing++
				}
			}
			if missing > 0 {
				broken = append(broken, fmt.Sprintf("%d of %d times %s of %s", missing, g.Count, g.Shape, o.Name))
			}
		}
	}
	return broken
}
