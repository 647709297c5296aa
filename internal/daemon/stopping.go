package daemon

import (
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// Reloaded records that the settings were read again.
func (g *Gateway) Reloaded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plannedStop = g.plannedStop.WithReload(clock.Now())
}

// refuseOutlasting refuses a stream whose answer would not end before the planned stop of this
// VM; relay.PlannedStop decides.
func (g *Gateway) refuseOutlasting(call *Call, route *relay.Route, now time.Time) *relay.Refusal {
	if !g.policy.Has(relay.StopAdmission) || !g.plannedStop.Planned() || !route.Stream || len(route.Shares) == 0 {
		return nil
	}
	tokens := g.plannedStop.EstimatedTokens(call.LengthHint, call.AnswerTokens, now)
	if !g.plannedStop.Outlasts(g.router.AnswerTime(route.Shares[0].Service, tokens), now) {
		return nil
	}
	return &relay.Refusal{Kind: relay.RefusedNoRoom, RetryAt: now.Add(retryDelay), Reason: "this VM stops before the answer would end"}
}
