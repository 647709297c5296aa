package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// sendingOutcome is what becomes of one sending of a request to a target.
type sendingOutcome int

const (
	sentAndRan sendingOutcome = iota
	sentAndLost
	sentAndRejected
	refusedDial
	timedOutDial
	expiredRepeat
	sendingOutcomes
)

// playedTry is a try as it was played: its sendings at one target, of which all but the last were
// followed by another.
type playedTry struct {
	target   relay.TargetID
	sendings []sendingOutcome
	// refused counts the connections that the target has refused in a row.
	refused int
}

func (p playedTry) last() sendingOutcome { return p.sendings[len(p.sendings)-1] }

// runRule records a try.
type runRule func(a relay.Attempts, p playedTry) relay.Attempts

func sent(o sendingOutcome) bool { return o <= sentAndRejected }

func mayHaveRun(o sendingOutcome) bool { return o == sentAndRan || o == sentAndLost }

// refusedDialsOfEnded is the number of refused dials in a row that show the end of a target.
const refusedDialsOfEnded = 2

func realRule(a relay.Attempts, p playedTry) relay.Attempts {
	return a.With(relay.Try{
		Target: p.target, Sent: slices.ContainsFunc(p.sendings, sent), MayHaveRun: slices.ContainsFunc(p.sendings, mayHaveRun),
		Ended: p.refused >= refusedDialsOfEnded, RepeatExpired: p.last() == expiredRepeat,
	})
}

// runMutants are wrong rules: the first is the one that stood before.
var runMutants = map[string]runRule{
	"last sending counts": func(a relay.Attempts, p playedTry) relay.Attempts {
		return a.With(relay.Try{Target: p.target, Sent: sent(p.last()), MayHaveRun: mayHaveRun(p.last()), RepeatExpired: p.last() == expiredRepeat})
	},
	"failed dials end a target": func(a relay.Attempts, p playedTry) relay.Attempts {
		return a.With(relay.Try{
			Target: p.target, Sent: slices.ContainsFunc(p.sendings, sent), MayHaveRun: slices.ContainsFunc(p.sendings, mayHaveRun),
			Ended: p.last() == timedOutDial, RepeatExpired: p.last() == expiredRepeat,
		})
	},
	"rejection takes back a run": func(a relay.Attempts, p playedTry) relay.Attempts {
		next := realRule(a, p)
		if p.last() == sentAndRejected {
			next.Ran = next.Ran.WithEnded(p.target)
		}
		return next
	},
	"lost sending is no run": func(a relay.Attempts, p playedTry) relay.Attempts {
		return a.With(relay.Try{Target: p.target, Sent: slices.ContainsFunc(p.sendings, sent), MayHaveRun: slices.Contains(p.sendings, sentAndRan)})
	},
}

// playRequest plays the tries of one request by a rule, and returns an error if it may have run on more
// targets than its route allows, without those that have ended, or has run and would be reported as not
// run.
func playRequest(r *rand.Rand, rule runRule) error {
	targets := []relay.TargetID{"i-1", "i-2", "i-3", "i-4"}
	document, known := plainFleet(targets)
	document.Routes[0].MaxTargets = 1 + r.IntN(3)
	document.Routes[0].Repeat = []relay.RepeatPolicy{relay.RepeatNever, relay.RepeatResume, relay.RepeatAlways}[r.IntN(3)]
	router := relay.NewRouter(relay.Settings{Hall: "a", Seed: r.Uint64(), Started: start, Budget: relay.BudgetTerms{Share: 10, Window: 10 * time.Second}})
	router.SetDocument(document)
	router.UpdateTargets(known)
	receiveRequests(router, 20, start.Add(-20*time.Second), start)
	route := &document.Routes[0]
	a := relay.Attempts{Route: route, Service: "s"}
	truth := relay.Runs{}
	ended := make(map[relay.TargetID]bool)
	refused := make(map[relay.TargetID]int)
	begins := r.IntN(2) == 0
	for range 8 {
		if a.Tried > 0 && router.TryRepeat(a, start) != relay.NotDenied {
			break
		}
		id := targets[r.IntN(len(targets))]
		if only := router.AllowedTargets(a); len(only) > 0 {
			id = only[r.IntN(len(only))]
		}
		p := drawTry(r, id, route.Repeat != relay.RepeatNever, ended[id], refused)
		if r.IntN(12) == 0 {
			ended[id] = true
		}
		if slices.ContainsFunc(p.sendings, mayHaveRun) {
			if route.Repeat == relay.RepeatNever && truth.Any() {
				return fmt.Errorf("a request that may run once was sent again after %v", truth)
			}
			truth = truth.With(id)
		}
		a = rule(a, p)
		a.Route, a.Service, a.Begun = route, "s", begins && a.Ran.Any()
		alive := slices.DeleteFunc(slices.Clone(truth.Counted()), func(id relay.TargetID) bool { return ended[id] })
		if len(alive) > route.MaxTargets {
			return fmt.Errorf("%d targets may have run it, %d allowed: %v", len(alive), route.MaxTargets, alive)
		}
		if p.last() == sentAndRan {
			return nil
		}
	}
	if truth.Any() && !a.Ran.Any() {
		return fmt.Errorf("reported as not run after %v", truth)
	}
	return nil
}

// drawTry draws the sendings of a try at a target. One that may be repeated may be sent once more.
func drawTry(r *rand.Rand, id relay.TargetID, resends, ended bool, refused map[relay.TargetID]int) playedTry {
	p := playedTry{target: id}
	if resends && !ended && r.IntN(2) == 0 {
		p.sendings = append(p.sendings, sentAndLost)
	}
	o := sendingOutcome(r.IntN(int(sendingOutcomes)))
	switch {
	case ended:
		o = refusedDial
	case o == refusedDial:
		o = timedOutDial // only a target that has ended refuses connections
	}
	p.sendings = append(p.sendings, o)
	if o == refusedDial {
		refused[id]++
	} else {
		refused[id] = 0
	}
	p.refused = refused[id]
	return p
}

func plainFleet(ids []relay.TargetID) (*relay.Document, []relay.Target) {
	document := &relay.Document{
		Version: 1, Services: []relay.Service{{Name: "s", MaxConns: 100}},
		Routes: []relay.Route{{Name: "r", Host: "h", Prefix: "/", Anonymous: true, Shares: []relay.Share{{Service: "s", Weight: 1}}}},
	}
	var targets []relay.Target
	for _, id := range ids {
		targets = append(targets, relay.Target{ID: id, Service: "s", Address: string(id), Slots: 10, Call: 1})
	}
	return document, targets
}

// Guards against a later word of a target that takes back an earlier possible run: requests ran on
// more targets than their route allows, or were reported as not run after a run.
func TestNoOutcomeTakesBackPossibleRun(t *testing.T) {
	const requests = 10000
	r := rand.New(rand.NewPCG(1, 65))
	for n := range requests {
		require.NoError(t, playRequest(r, realRule), "request %d", n)
	}
	for name, rule := range runMutants {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 65))
			var found error
			for n := 0; found == nil && n < requests; n++ {
				found = playRequest(r, rule)
			}
			require.Error(t, found, "the rule is found to be wrong")
			t.Log(found)
		})
	}
}
