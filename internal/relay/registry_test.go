package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// lossTimeout is the time without a report after which a target of these tests counts as lost.
const lossTimeout = 3 * time.Second

func message(id relay.TargetID, call uint64) relay.Target {
	return relay.Target{ID: id, Service: "s", Address: "10.0.0.1:80", Call: call}
}

func TestLeavingIsFinal(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	leaving := message("i-1", 5)
	leaving.Leaving = true
	require.True(t, r.ReceiveReport(leaving, start))
	require.False(t, r.ReceiveReport(message("i-1", 4), start))
	r.ReceiveReport(message("i-1", 9), start)
	held, _ := r.Get("i-1")
	require.True(t, held.Leaving)
	require.False(t, held.AcceptsWork())
}

func TestLateMessagesAreIgnored(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	newer := message("i-1", 7)
	newer.Layers = config.Range{First: 0, Last: 9}
	r.ReceiveReport(newer, start)
	require.False(t, r.ReceiveReport(message("i-1", 3), start.Add(time.Second)))
	held, _ := r.Get("i-1")
	require.Equal(t, newer.Layers, held.Layers)
}

func TestSignOffKeepsEarlierFields(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(message("i-1", 3), start)
	r.ReceiveReport(relay.Target{ID: "i-1", Call: 1 << 62, Leaving: true, Gone: true}, start)
	held, _ := r.Get("i-1")
	require.True(t, held.Gone)
	require.Equal(t, "s", held.Service)
}

// Late messages of a dead engine must not keep it in use after its successor has begun at the same
// address: for seconds, 60 requests a second would be refused with 421.
func TestReplacedTargetIsSilent(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(message("old", 30), start)
	r.ReceiveReport(message("new", 1), start.Add(time.Second))
	now := start.Add(2 * time.Second)
	require.Equal(t, []relay.TargetID{"old"}, r.SilentTargets(now, 1500*time.Millisecond))
	require.Empty(t, r.SilentTargets(start.Add(2*time.Second), lossTimeout))
}

// A message that another VM forwards again is no new heartbeat.
func TestRepeatedMessagesAreNoHeartbeats(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(message("i-1", 3), start)
	r.ReceiveForwarded(message("i-1", 3), start.Add(5*time.Second))
	r.ReceiveHeartbeat("i-1", 3, start.Add(5*time.Second))
	require.Len(t, r.SilentTargets(start.Add(4*time.Second), 4*time.Second), 1)
	r.ReceiveHeartbeat("i-1", 4, start.Add(5*time.Second))
	require.Empty(t, r.SilentTargets(start.Add(4*time.Second), 4*time.Second))
}

func TestFollowersReceiveChanges(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(message("i-1", 1), start)
	first := r.Change()
	r.ReceiveReport(message("i-1", 2), start)
	require.Empty(t, r.ChangedSince(first))
	r.ReceiveReport(message("i-2", 1), start)
	require.Len(t, r.ChangedSince(first), 1)
	require.Len(t, r.All(), 2)
}

// Two VMs that received the same targets from others compare digests, and exchange what differs.
func TestRegistriesAreComparedByDigest(t *testing.T) {
	a, b := relay.NewRegistry(lossTimeout), relay.NewRegistry(lossTimeout)
	for i := range 300 {
		target := message(relay.TargetID(fmt.Sprint("i-", i)), 1)
		a.ReceiveReport(target, start)
		target.Call = 9
		b.ReceiveForwarded(target, start)
	}
	require.Empty(t, a.Differing(b.Digest()), "the digest excludes the numbers of messages")
	changed := message("i-7", 10)
	changed.Layers = config.Range{First: 3, Last: 9}
	a.ReceiveReport(changed, start)
	a.ReceiveReport(message("i-new", 1), start)
	unlike := a.Differing(b.Digest())
	require.Less(t, len(unlike), 30)
	for _, target := range unlike {
		b.ReceiveForwarded(target, start)
	}
	require.Empty(t, a.Differing(b.Digest()))
	require.Len(t, a.Differing(relay.Digest{1, 2}), 301, "digests of different lengths differ everywhere")
}
