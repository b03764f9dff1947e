package commands

import (
	"context"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/server"
)

func newStatus() command {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "show the service at a glance"
	var t target
	t.addFlags(sub)
	asJSON := false
	sub.Bool(&asJSON, "j", "json", "print JSON")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		status, err := client.Status(ctx)
		if err != nil {
			return 0, err
		}
		if asJSON {
			return ExitDone, c.printJSON(status)
		}
		c.showStatus(status)
		return ExitDone, nil
	}}
}

func (c console) showStatus(s server.Status) {
	c.printf("entry %s in %s, document version %d\n", s.Self.Entry, s.Self.Zone, s.Self.DocumentVersion)
	if !s.DocumentTrusted {
		c.printf("the document could not be confirmed lately\n")
	}
	if !s.StoreSeen {
		c.printf("the table service has not answered lately\n")
	}
	if s.View == nil {
		c.printf("no owner could be reached\n")
		return
	}
	c.showRacks(*s.View)
	for _, o := range s.View.Organisations {
		c.printf("%-20s guaranteed %4d  in use %4d  borrowed %4d  waiting %4d", o.Name, o.Guaranteed, o.InUse, o.Borrowed, o.Waiting)
		if o.Missing > 0 {
			c.printf("  MISSING %d", o.Missing)
		}
		c.printf("\n")
	}
	classes := make([]string, 0, len(s.View.Queues))
	for class := range s.View.Queues {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for _, class := range classes {
		c.printf("waiting in %-20s %d\n", class, s.View.Queues[class])
	}
}

// showRacks prints each rack with the accelerators of its workers, one character each: "." free,
// "G" guaranteed, "L" lent, "S" spare.
func (c console) showRacks(view scheduler.View) {
	racks := map[string][]string{}
	for _, w := range view.Workers {
		letters := w.Map
		if w.State != "up" {
			letters += "(" + w.State + ")"
		}
		key := w.Zone + "/" + w.Rack
		racks[key] = append(racks[key], letters)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.printf("%-24s %s\n", name, strings.Join(racks[name], " "))
	}
}
