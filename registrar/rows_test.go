package registrar_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

// The numbers of waiting jobs of thousands of queues outgrew their row, and the store rejected each batch that held it.
func TestNumbersOfWaitingJobsFitIntoRows(t *testing.T) {
	for _, queues := range []int{0, 3, 1_000, 20_000} {
		t.Run(fmt.Sprintf("%d queues", queues), func(t *testing.T) {
			counts := map[string]int{}
			for i := range queues {
				counts[fmt.Sprintf("queue-%d-%s", i, strings.Repeat("x", 40))] = i + 1
			}
			rows := map[string]platform.Row{}
			for _, row := range registrar.PendingRows(counts) {
				if len(row.Value) > registrar.MaxValueBytes {
					t.Errorf("row %s has %d bytes", row.Key, len(row.Value))
				}
				if !registrar.IsPendingKey(row.Key) {
					t.Errorf("row %s counts as another kind", row.Key)
				}
				rows[row.Key] = row
			}
			if queues < 1_000 && len(rows) != 1 {
				t.Errorf("%d rows, want the one that earlier versions read", len(rows))
			}
			decoded := map[string]map[string]int{}
			for key, row := range rows {
				held, err := registrar.Decode[map[string]int](row)
				if err != nil {
					t.Fatal(err)
				}
				decoded[key] = held
			}
			for queue, want := range counts {
				key := registrar.PendingShardKey(decoded[registrar.PendingKey], queue)
				if got := decoded[key][queue]; got != want {
					t.Fatalf("%s has %d waiting jobs in row %s, want %d", queue, got, key, want)
				}
			}
		})
	}
}
