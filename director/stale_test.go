package director

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
)

func TestAnOutdatedWorkerListIsIgnored(t *testing.T) {
	const known = 40
	for _, test := range []struct {
		version, want int64
		listed        bool
	}{{known - 1, known, true}, {known, known, false}, {known + 1, known + 1, false}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"rows":[],"ver":%d}`, test.version)
		}))
		store := &platform.Store{Client: server.Client(), Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second}
		owner := newTerm(&Director{Logger: slog.New(slog.DiscardHandler), Store: store}, registrar.Lease{Epoch: 1}, 1, 0)
		owner.listed["w"] = platform.Worker{ID: "w"}
		if got := owner.reloadWorkers(t.Context(), known); got != test.want {
			t.Errorf("version %d: followed from %d, want %d", test.version, got, test.want)
		}
		if _, listed := owner.listed["w"]; listed != test.listed {
			t.Errorf("version %d: worker listed: %t, want %t", test.version, listed, test.listed)
		}
		server.Close()
	}
}
