package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// begunOn returns the attempts of a begun stream after its run on a path ends.
func begunOn(route *relay.Route, p relay.Path) relay.Attempts {
	return relay.Attempts{Route: route, Service: "s", Begun: true, Resumed: true, Tried: 1, Sent: 1, Reached: true, Ran: relay.Runs{}.With(p.First().Target)}
}

// begun returns the request of a begun stream without some targets.
func begun(route *relay.Route, without ...relay.TargetID) relay.PathRequest {
	a := ask(route)
	a.Service, a.Begun, a.Resumed, a.Avoid = "s", true, true, without
	return a
}

// A request that finds no other path must lose neither its room nor a repeat.
func TestRerouteWithoutAnotherPathChangesNothing(t *testing.T) {
	r, route := newRouter(nil)
	r.UpdateTargets(enginesHolding("large", config.Range{Last: 40}, config.Range{First: 40, Last: 80}))
	for _, processed := range []bool{false, true} {
		path := choose(t, r, ask(route), start)
		if processed {
			r.RecordBegun(path)
		}
		before, usage := r.OwnWork(), r.Usage(start)
		_, refusal := r.Reroute(path, processed, begun(route, path.First().Target), begunOn(route, path), start)
		require.NotNil(t, refusal)
		require.Equal(t, before, r.OwnWork())
		require.Equal(t, usage, r.Usage(start))
		r.Release(path, processed)
		require.Empty(t, r.OwnWork())
	}
}

// The room of the old path counts as free for the new one, which shares its engines.
func TestRerouteReusesRoomOfOldPath(t *testing.T) {
	r, route := newRouter(nil)
	receiveRequests(r, 20, start.Add(-20*time.Second), start)
	first, second := config.Range{Last: 40}, config.Range{First: 40, Last: 80}
	r.UpdateTargets(enginesHolding("large", first, second, first))
	path := choose(t, r, ask(route), start)
	for {
		if _, refusal := r.Choose(ask(route), start); refusal != nil {
			break
		}
	}
	request := begun(route, path.First().Target)
	_, refusal := r.ChooseRepeat(request, begunOn(route, path), start)
	require.NotNil(t, refusal, "the second engine is full")
	next, refusal := r.Reroute(path, false, request, begunOn(route, path), start)
	require.Nil(t, refusal)
	requireWhole(t, next)
	require.NotEqual(t, path.First().Target, next.First().Target)
	require.Equal(t, path.Stages[1].Target, next.Stages[1].Target)
}
