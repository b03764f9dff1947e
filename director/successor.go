package director

import (
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// The load: all VMs are restarted, two every 2 s, and each change of the owner costs time without plans. An owner that shuts down passes its lease to
// the VM that started last: if VMs have been restarted in this round, to one of these, and otherwise to the one that is restarted last if the order is that
// of the round before.

// maxSuccessorAge is the age of the record of a VM from which on the VM is not named; it writes one every 7.5 to 22.5 s.
const maxSuccessorAge = 45 * time.Second

// chooseSuccessor returns the VM that should follow the owner, given the records of all VMs at a time, or an empty string if none is suitable. A suitable VM
// records when it started, has the cores for an owner, wrote its record lately and does not shut down. The VM that was chosen before stays chosen while it
// is suitable.
func chooseSuccessor(owner, chosen string, rows []platform.Row, now time.Time) string {
	var best string
	var bestStarted int64
	for _, row := range rows {
		node, ok := registrar.EntryNode(row.Key)
		entry, err := registrar.Decode[registrar.Entry](row)
		if !ok || err != nil || node == owner {
			// Who samples the records logs and removes invalid ones.
			continue
		}
		age := now.Sub(time.UnixMilli(entry.SeenMillis))
		if entry.StartedMillis <= 0 || entry.Leaving || isSmall(entry.Cores) || age >= maxSuccessorAge {
			continue
		}
		if node == chosen {
			return chosen
		}
		if entry.StartedMillis > bestStarted || entry.StartedMillis == bestStarted && node > best {
			best, bestStarted = node, entry.StartedMillis
		}
	}
	return best
}

// isSmall reports whether a VM with the number of cores should leave the lease to others; 0 means that the number is not known.
func isSmall(cores float64) bool { return cores > 0 && cores < smallVMCores }
