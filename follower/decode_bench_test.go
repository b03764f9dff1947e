package follower

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/snipelift/snipelift/platform"
)

// BenchmarkApplyConfig measures what a new configuration costs a VM after its bytes have arrived.
func BenchmarkApplyConfig(b *testing.B) {
	for _, queues := range []int{45, 1445, 4245} {
		routes := make([]map[string]any, queues)
		for i := range routes {
			routes[i] = map[string]any{"name": fmt.Sprintf("r-%06d", i), "host": fmt.Sprintf("host%06d.example", i), "prefix": fmt.Sprintf("/prefix%06d/", i), "service": "chestkeeper", "priority": 1, "maxAttempts": 3, "stretch": 1.5, "sloMs": 1000, "timeoutMs": 3000}
		}
		value, err := json.Marshal(map[string]any{"version": 1, "routes": routes})
		if err != nil {
			b.Fatal(err)
		}
		response, err := json.Marshal(map[string]any{"rows": []map[string]any{{"table": platform.OperatorTable, "part": "", "key": platform.ConfigKey, "value": value, "ver": 1}}})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("%d queues", queues), func(b *testing.B) {
			for b.Loop() {
				var page struct {
					Rows []struct {
						Value []byte `json:"value"`
					} `json:"rows"`
				}
				if err := json.Unmarshal(response, &page); err != nil {
					b.Fatal(err)
				}
				c, err := platform.DecodeConfig(page.Rows[0].Value)
				if err != nil {
					b.Fatal(err)
				}
				newSnapshot(c)
			}
		})
	}
}
