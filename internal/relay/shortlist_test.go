package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// replicas returns engines of a kind in a hall: the given number for each eighth of the
// layers.
func replicas(hall, kind string, each int) []relay.Target {
	var targets []relay.Target
	for part := range 8 {
		for i := range each {
			id := fmt.Sprintf("%s-%s-%d-%02d", hall, kind, part, i)
			targets = append(targets, relay.Target{
				ID: relay.TargetID(id), Service: "s", Address: id + ":80", Hall: hall, Accelerator: kind,
				Slots: 192, Call: 1, Layers: config.Range{First: 10 * part, Last: 10 * (part + 1)},
			})
		}
	}
	return targets
}

// In halls with hundreds of engines and few requests, the fastest engines are listed, as
// many as the answers in progress require, with the same number of holders for each layer.
func TestShortlistTakesFastestEnginesForLoad(t *testing.T) {
	targets := append(replicas("a", "small", 30), replicas("a", "middle", 10)...)
	few := replicas("b", "small", 4)
	kinds := func(listed []relay.TargetID) map[string]int {
		counts := make(map[string]int)
		for _, id := range listed {
			for _, target := range append(targets, few...) {
				if target.ID == id {
					counts[target.Hall+" "+target.Accelerator]++
				}
			}
		}
		return counts
	}
	idle := kinds(engine().Shortlist(append(targets, few...), 0))
	require.Equal(t, relay.MinShortlist, idle["a middle"], "the fastest engines first")
	require.Zero(t, idle["a small"])
	require.Len(t, few, idle["b small"], "a hall with few engines lists all of them")

	busy := kinds(engine().Shortlist(targets, 900))
	require.Equal(t, 80, busy["a middle"])
	require.Greater(t, busy["a small"], 80)
	require.Less(t, busy["a small"], 240)
	counts := make([]int, 8)
	for _, id := range engine().Shortlist(targets, 900) {
		for _, target := range targets {
			if target.ID == id {
				counts[target.Layers.First/10]++
			}
		}
	}
	for _, n := range counts {
		require.Equal(t, counts[0], n, "all layers have the same number of holders")
	}
}

func TestWithheldEnginesAreSentWhenListedOrLeaving(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.WithholdEngines()
	targets := replicas("a", "small", 1)
	for _, target := range targets {
		r.ReceiveReport(target, start)
	}
	plain := relay.Target{ID: "plain", Service: "w", Address: "w:80", Call: 1}
	r.ReceiveReport(plain, start)
	require.Equal(t, []relay.Target{plain}, r.ListedChangedSince(0))
	require.Len(t, r.All(), len(targets)+1)

	change := r.Change()
	require.True(t, r.AddToShortlist(targets[2].ID))
	require.False(t, r.AddToShortlist(targets[2].ID), "already listed")
	require.Equal(t, []relay.Target{targets[2]}, r.ListedChangedSince(change))
	require.False(t, r.UpdateSuffices(targets[2].ID, change), "the follower has not received it yet")

	change = r.Change()
	leaving := targets[5]
	leaving.Call, leaving.Leaving = 2, true
	r.ReceiveReport(leaving, start)
	require.Equal(t, []relay.Target{leaving}, r.ListedChangedSince(change), "a VM may have received it from another control VM")
}

// An engine that restarts at its address holds nothing and is on no shortlist: unless VMs that have
// received it before also receive the next incarnation, they keep sending there.
func TestNextIncarnationOfListedEngineIsListed(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.WithholdEngines()
	first := replicas("a", "small", 1)[0]
	first.ID = relay.NewTargetID("i-1", 1000)
	r.ReceiveReport(first, start)
	r.AddToShortlist(first.ID)
	change := r.Change()
	next := first
	next.ID, next.Layers = relay.NewTargetID("i-1", 2000), config.Range{}
	require.True(t, r.ReceiveReport(next, start))
	require.Equal(t, []relay.Target{next}, r.ListedChangedSince(change))
}
