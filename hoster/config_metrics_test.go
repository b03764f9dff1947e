package hoster

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
)

func TestAgeOfConfigurationIsServedAsMetric(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := faker.NewRowStore()
		rows.Put(platform.OperatorTable, platform.ConfigKey, map[string]any{"version": 7})
		board := faker.NewHTTPNetwork()
		board.Handle("store:1", rows)
		f := &follower.Follower{
			Store:  &platform.Store{Client: board.Client("self"), Address: "store:1", Timeout: time.Second},
			Logger: slog.New(slog.DiscardHandler),
		}
		m := newMetrics()
		m.registerConfig(f)
		expect := func(want string) {
			t.Helper()
			recorder := httptest.NewRecorder()
			m.ServeHTTP(recorder, nil)
			if words := strings.Join(strings.Fields(recorder.Body.String()), " "); !strings.Contains(words, want) {
				t.Errorf("no %q in %s", want, words)
			}
		}
		expect("gauge config.ageMillis value: -1")
		go f.Run(t.Context())
		time.Sleep(100 * time.Millisecond)
		expect("gauge config.version value: 7")
		rows.SetFaults(faker.RowFaults{Silent: true})
		time.Sleep(3900 * time.Millisecond)
		// The poll in progress ends 0.7 s after the start without a change.
		expect("gauge config.ageMillis value: 3300")
	})
}
