package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// refusalCodec records the refusals that callers get.
type refusalCodec struct {
	plainCodec
	refused *[]relay.Refusal
}

// Refuse implements daemon.Codec.
func (c refusalCodec) Refuse(w http.ResponseWriter, r *relay.Refusal, now time.Time) {
	*c.refused = append(*c.refused, *r)
	c.plainCodec.Refuse(w, r, now)
}

// Guards against a final refusal of a route that a newer document has: by a VM that knows that there
// is one, or has no confirmation that there is none. What its document allows is served.
func TestUnknownRouteIsRefusedForGoodByCurrentDocumentOnly(t *testing.T) {
	now := time.Now()
	document := &relay.Document{
		Version:       1,
		Organisations: []relay.Organisation{{Name: "o", Keys: []string{"known"}}},
		Services:      []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: relay.RepeatAlways, Timeout: 5 * time.Second, Objective: time.Second,
			MaxTargets: 1, Shares: []relay.Share{{Service: "s", Weight: 1}},
		}},
	}
	cases := map[string]struct {
		status   core.ConfigStatus
		outdated bool
	}{
		"current":       {core.ConfigStatus{Revision: 7, Newest: 7, ConfirmBy: now.Add(time.Hour)}, false},
		"newer known":   {core.ConfigStatus{Revision: 7, Newest: 8, ConfirmBy: now.Add(time.Hour)}, true},
		"not confirmed": {core.ConfigStatus{Revision: 7, Newest: 7, ConfirmBy: now.Add(-time.Second)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var refused []relay.Refusal
			w := newWorker(t, served)
			targets := []relay.Target{{ID: relay.TargetID(w.address), Service: "s", Address: w.address, Slots: 10, Call: 1}}
			g, err := daemon.NewGatewayAlone(daemon.Platform{Codec: refusalCodec{refused: &refused}, Router: relay.Settings{Seed: 1, Started: now, Budget: relay.BudgetTerms{Share: 1, Fixed: 100, Window: 10 * time.Second}}}, document, targets)
			require.NoError(t, err)
			daemon.SetConfigStatus(g, c.status)
			send := func(host, key string) int {
				recorder := httptest.NewRecorder()
				g.Serve(t.Context(), recorder, &daemon.Call{ID: "a", Arrived: now, Deadline: now.Add(5 * time.Second), Method: http.MethodPost, URI: "/", Path: "/", Host: host, Key: key})
				return recorder.Code
			}
			require.Equal(t, http.StatusOK, send("h", "known"))
			send("other", "known")
			send("h", "unknown")
			require.Len(t, refused, 2)
			wanted := []relay.RefusalKind{relay.RefusedNoRoute, relay.RefusedKey}
			if c.outdated {
				wanted = []relay.RefusalKind{relay.RefusedOutdated, relay.RefusedOutdated}
			}
			for i, r := range refused {
				require.Equal(t, wanted[i], r.Kind)
				require.Equal(t, c.outdated, !r.RetryAt.IsZero(), "a time to come back")
				require.True(t, r.NotRun())
			}
		})
	}
}
