package relay_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// heartbeatOf is a heartbeat of the incarnation of i-1 that began at a start.
func heartbeatOf(born, call uint64) relay.Target {
	return message(relay.NewTargetID("i-1", born), call)
}

// currentIDs returns the identities of the targets of a registry that are not superseded.
func currentIDs(r *relay.Registry) []relay.TargetID {
	var ids []relay.TargetID
	for _, t := range r.All() {
		ids = append(ids, t.ID)
	}
	return ids
}

func incarnationIDs(borns ...uint64) []relay.TargetID {
	var ids []relay.TargetID
	for _, born := range borns {
		ids = append(ids, relay.NewTargetID("i-1", born))
	}
	return ids
}

func TestTargetIDContainsNameAndStart(t *testing.T) {
	require.Equal(t, relay.TargetID("i-1"), relay.NewTargetID("i-1", 0), "without a start the identity is the name")
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(rapid.String(), rapid.StringMatching(`[i@0-9a-z-]{0,12}`))
		born := rapid.OneOf(rapid.Uint64(), rapid.SampledFrom([]uint64{0, 1, 1790000000000, math.MaxUint64}))
		n, b := name.Draw(t, "name"), born.Draw(t, "born")
		id := relay.NewTargetID(n, b)
		require.Equal(t, n, id.Name())
		require.Equal(t, b, id.StartMillis())
	})
}

func TestIncarnationsHaveDifferentKeys(t *testing.T) {
	ids := incarnationIDs(0, 1790000000000, 1790000000001, 1790000004000)
	keys := make(map[relay.TargetKey]bool)
	for _, id := range ids {
		keys[id.Key()] = true
	}
	require.Len(t, keys, len(ids))
}

func TestUnknownStartIsNoOtherIncarnation(t *testing.T) {
	id := relay.NewTargetID("i-1", 7)
	require.True(t, id.OtherIncarnation(8))
	require.False(t, id.OtherIncarnation(7))
	require.False(t, id.OtherIncarnation(0))
	require.False(t, relay.TargetID("i-1").OtherIncarnation(7))
}

// The state of an incarnation does not apply to the next one, whose message numbers are lower.
func TestNewIncarnationHasNoOldState(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	old := heartbeatOf(100, 50)
	old.Leaving, old.Layers = true, config.Range{First: 3, Last: 9}
	r.ReceiveReport(old, start)
	require.True(t, r.ReceiveReport(heartbeatOf(200, 1), start))
	require.Equal(t, []relay.Target{heartbeatOf(200, 1)}, r.All())
	ended, again := r.PopTransitions()
	require.Equal(t, []relay.Succession{{Old: incarnationIDs(100)[0], New: incarnationIDs(200)[0]}}, ended)
	require.Empty(t, again)
	require.Contains(t, r.SilentTargets(start.Add(2*time.Second), lossTimeout), incarnationIDs(100)[0], "the old incarnation is reported as silent")
}

func TestLateMessagesOfEarlierIncarnationAreIgnored(t *testing.T) {
	leaving, gone := heartbeatOf(100, 60), relay.Target{ID: incarnationIDs(100)[0], Call: 1 << 62, Leaving: true, Gone: true}
	leaving.Leaving = true
	elsewhere := heartbeatOf(100, 60)
	elsewhere.Address = "10.0.0.2:80"
	for name, late := range map[string]func(*relay.Registry, time.Time) bool{
		"heartbeat":            func(r *relay.Registry, now time.Time) bool { return r.ReceiveReport(heartbeatOf(100, 60), now) },
		"from another address": func(r *relay.Registry, now time.Time) bool { return r.ReceiveReport(elsewhere, now) },
		"leaving":              func(r *relay.Registry, now time.Time) bool { return r.ReceiveReport(leaving, now) },
		"sign-off":             func(r *relay.Registry, now time.Time) bool { return r.ReceiveReport(gone, now) },
		"from a control VM":    func(r *relay.Registry, now time.Time) bool { return r.ReceiveForwarded(heartbeatOf(100, 60), now) },
		"third incarnation":    func(r *relay.Registry, now time.Time) bool { return r.ReceiveReport(heartbeatOf(50, 3), now) },
		"without a start":      func(r *relay.Registry, now time.Time) bool { return r.ReceiveReport(heartbeatOf(0, 3), now) },
		"forwarded heartbeat": func(r *relay.Registry, now time.Time) bool {
			r.ReceiveHeartbeat(incarnationIDs(100)[0], 60, now)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := relay.NewRegistry(lossTimeout)
			r.ReceiveReport(heartbeatOf(100, 50), start)
			r.ReceiveReport(heartbeatOf(200, 1), start.Add(time.Second))
			r.PopTransitions()
			before, digest := r.ChangedSince(0), r.Digest()
			change := r.Change()
			now := start.Add(2 * time.Second)
			require.False(t, late(r, now))
			require.Equal(t, before, r.ChangedSince(0))
			require.Empty(t, r.ChangedSince(change))
			require.Equal(t, digest, r.Digest())
			ended, again := r.PopTransitions()
			require.Empty(t, ended)
			require.Empty(t, again)
			require.NotContains(t, r.SilentTargets(now, 500*time.Millisecond), incarnationIDs(200)[0], "a late message does not make the running incarnation silent")
		})
	}
}

func TestEarlierIncarnationReportedLateIsVoid(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(heartbeatOf(200, 1), start)
	require.False(t, r.ReceiveReport(heartbeatOf(100, 99), start))
	require.Equal(t, incarnationIDs(200), currentIDs(r))
}

// A sign-off may arrive before the first message of its incarnation.
func TestSignOffEndsItsIncarnation(t *testing.T) {
	for _, born := range []uint64{100, 200} {
		r := relay.NewRegistry(lossTimeout)
		r.ReceiveReport(heartbeatOf(100, 50), start)
		r.ReceiveReport(relay.Target{ID: incarnationIDs(born)[0], Call: 1 << 62, Leaving: true, Gone: true}, start)
		r.ReceiveReport(heartbeatOf(200, 1), start)
		held, _ := r.Get(incarnationIDs(200)[0])
		require.Equal(t, born != 200, held.AcceptsWork())
		require.Equal(t, incarnationIDs(200), currentIDs(r))
	}
}

func TestSignOffWithoutStartEndsCurrentIncarnations(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(heartbeatOf(100, 50), start)
	r.ReceiveReport(heartbeatOf(200, 1), start)
	require.True(t, r.ReceiveReport(relay.Target{ID: "i-1", Call: 1 << 62, Leaving: true, Gone: true}, start))
	held, _ := r.Get(incarnationIDs(200)[0])
	require.False(t, held.AcceptsWork())
	r.ReceiveReport(heartbeatOf(300, 1), start)
	held, _ = r.Get(incarnationIDs(300)[0])
	require.True(t, held.AcceptsWork(), "the sign-off does not apply to a later incarnation")
}

// After a clock was set back, the start of an incarnation is before that of the one that died.
func TestEarlierStartIsCurrentOnceLaterOneIsSilent(t *testing.T) {
	for name, higher := range map[string]uint64{"set back": 300, "from the future": math.MaxUint64} {
		t.Run(name, func(t *testing.T) {
			r, follower := relay.NewRegistry(lossTimeout), relay.NewRegistry(lossTimeout)
			r.ReceiveReport(heartbeatOf(higher, 9), start)
			follower.ReceiveForwarded(heartbeatOf(higher, 9), start)
			for call := uint64(1); call <= 3; call++ {
				r.ReceiveReport(heartbeatOf(200, call), start.Add(time.Duration(call)*time.Second))
				require.Equal(t, incarnationIDs(higher), currentIDs(r))
			}
			now := start.Add(lossTimeout + time.Second)
			change := r.Change()
			require.True(t, r.ReceiveReport(heartbeatOf(200, 4), now))
			require.Contains(t, currentIDs(r), incarnationIDs(200)[0])
			_, again := r.PopTransitions()
			require.Equal(t, []relay.Target{heartbeatOf(200, 4)}, again)

			for _, told := range r.ChangedSince(change) {
				follower.ReceiveForwarded(told, now)
			}
			require.NotContains(t, currentIDs(follower), incarnationIDs(200)[0])
			for _, m := range r.AbsenceNotes() {
				follower.ReceiveAbsence(m, now)
			}
			require.Contains(t, currentIDs(follower), incarnationIDs(200)[0])

			// The incarnation with the later start was cut off, and reports again.
			change = r.Change()
			require.True(t, r.ReceiveReport(heartbeatOf(higher, 10), now))
			require.Equal(t, incarnationIDs(higher), currentIDs(r))
			for _, told := range r.ChangedSince(change) {
				follower.ReceiveForwarded(told, now)
			}
			follower.ReceiveAbsence(relay.AbsenceNote{ID: incarnationIDs(higher)[0], Call: 9}, now) // arrives late
			require.Equal(t, incarnationIDs(higher), currentIDs(follower))
			require.Equal(t, r.Digest(), follower.Digest())
		})
	}
}

// The running incarnation may report only to other control VMs, none of which knew the absent
// one.
func TestForwardedHeartbeatsMarkLaterStartAbsent(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(heartbeatOf(300, 9), start)
	r.ReceiveForwarded(heartbeatOf(200, 1), start.Add(time.Second))
	r.ReceiveHeartbeat(incarnationIDs(200)[0], 2, start.Add(2*time.Second))
	require.Equal(t, incarnationIDs(300), currentIDs(r))
	r.ReceiveHeartbeat(incarnationIDs(200)[0], 3, start.Add(lossTimeout+time.Second))
	require.Contains(t, currentIDs(r), incarnationIDs(200)[0])
	require.Equal(t, []relay.AbsenceNote{{ID: incarnationIDs(300)[0], Call: 9}}, r.AbsenceNotes())
}

// A late message of an incarnation does not mark a later one as absent.
func TestRepeatedMessageMarksNothingAbsent(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(heartbeatOf(100, 5), start)
	r.ReceiveReport(heartbeatOf(200, 1), start)
	late := start.Add(10 * time.Second)
	r.ReceiveReport(heartbeatOf(100, 5), late)
	r.ReceiveReport(relay.Target{ID: incarnationIDs(100)[0], Call: 1 << 62, Leaving: true, Gone: true}, late)
	require.Equal(t, incarnationIDs(200), currentIDs(r))
}

// A VM that follows a new control VM learns that an absent incarnation reports again.
func TestDigestReflectsAbsence(t *testing.T) {
	a, b := relay.NewRegistry(lossTimeout), relay.NewRegistry(lossTimeout)
	for _, r := range []*relay.Registry{a, b} {
		r.ReceiveForwarded(heartbeatOf(300, 9), start)
		r.ReceiveForwarded(heartbeatOf(200, 1), start)
		r.ReceiveAbsence(relay.AbsenceNote{ID: incarnationIDs(300)[0], Call: 9}, start)
	}
	require.Equal(t, a.Digest(), b.Digest())
	b.ReceiveHeartbeat(incarnationIDs(300)[0], 10, start.Add(time.Second))
	for _, told := range b.Differing(a.Digest()) {
		a.ReceiveForwarded(told, start.Add(time.Second))
	}
	require.Equal(t, incarnationIDs(300), currentIDs(a))
}

func messageAt(id relay.TargetID, address string, call uint64) relay.Target {
	t := message(id, call)
	t.Address = address
	return t
}

// An address has one target at a time: the one with the later start, under whatever name.
func TestLaterStartAtAddressIsCurrent(t *testing.T) {
	first, second := relay.NewTargetID("i-1", 100), relay.NewTargetID("i-2", 200)
	for _, order := range [][]relay.TargetID{{first, second}, {second, first}, {first, second, first}} {
		r := relay.NewRegistry(lossTimeout)
		for i, id := range order {
			r.ReceiveReport(messageAt(id, "x", uint64(1+i)), start.Add(time.Duration(i)*time.Second))
		}
		require.Equal(t, []relay.TargetID{second}, currentIDs(r))
		r.ReceiveReport(messageAt(second, "y", 9), start.Add(3*time.Second))
		require.ElementsMatch(t, []relay.TargetID{first, second}, currentIDs(r), "its address is free again")
	}
}

// Without starts, a late message of the first target neither makes it current again nor makes the
// running one silent.
func TestLaterRegistrationAtAddressIsCurrent(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	silent := func(now time.Time) []relay.TargetID {
		return r.SilentTargets(now, 1500*time.Millisecond)
	}
	r.ReceiveReport(messageAt("old", "x", 30), start)
	for i := range 3 {
		r.ReceiveReport(messageAt("new", "x", uint64(1+i)), start.Add(time.Second+time.Duration(i)*1200*time.Millisecond))
	}
	r.ReceiveReport(messageAt("old", "x", 31), start.Add(3500*time.Millisecond))
	for _, ms := range []int{3500, 4000, 5000, 5500} {
		require.Equal(t, []relay.TargetID{"old"}, silent(start.Add(time.Duration(ms)*time.Millisecond)))
	}
	r.ReceiveReport(messageAt("old", "x", 32), start.Add(9*time.Second))
	require.Equal(t, []relay.TargetID{"new"}, silent(start.Add(9*time.Second)), "the later one has died")
}

func TestEndedIncarnationGetsNoWork(t *testing.T) {
	targets := placedToday()
	r, route := newRouter(targets)
	path := choose(t, r, ask(route), start)
	old := path.Stages[len(path.Stages)-1]
	begun := relay.NewTargetID(old.Target.Name(), 200)
	require.Equal(t, []string{old.Address}, r.EndIncarnations([]relay.Succession{{Old: old.Target, New: begun}}))
	require.Empty(t, r.EndIncarnations([]relay.Succession{{Old: old.Target, New: begun}}), "an incarnation ends only once")
	require.True(t, r.IsSuspect(old.Target, start), "what runs there is lost")
	r.UpdateTargets([]relay.Target{{ID: begun, Service: "s", Address: old.Address, Call: 1}})
	r.RecordFailure(old.Target, true, start)
	require.False(t, r.IsSuspect(begun, start))
	require.Contains(t, r.OwnWork(), old.Target.Key())
	require.NotContains(t, r.OwnWork(), begun.Key())
	for range 50 {
		p := choose(t, r, ask(route), start)
		require.False(t, p.Includes(old.Target))
		r.Release(p, false)
	}
	r.Release(path, false)
	require.Empty(t, r.OwnWork())
	require.Empty(t, r.Findings(start).Failed)
}

// A VM whose registry has removed a target determines by itself which of its incarnations ends.
func TestFirstReportEndsEarlierIncarnations(t *testing.T) {
	r := relay.NewRouter(relay.Settings{})
	first, second, third := relay.NewTargetID("i-1", 100), relay.NewTargetID("i-2", 200), relay.NewTargetID("i-3", 900)
	r.UpdateTargets([]relay.Target{messageAt(first, "x", 1), messageAt(second, "y", 1), messageAt(third, "z", 1), messageAt("plain", "w", 1)})
	later := relay.NewTargetID("i-1", 300)
	require.Equal(t, []relay.Succession{{Old: first, New: later}, {Old: second, New: later}}, r.SupersededBy([]relay.Target{messageAt(later, "y", 1)}))
	require.Empty(t, r.SupersededBy([]relay.Target{messageAt(first, "x", 2), messageAt("other", "x", 1), messageAt(relay.NewTargetID("i-3", 800), "z", 1)}))
}

// referenceIncarnations returns what is current after messages in any order: of each incarnation
// the highest number, and none beside one of the same name or address with a later start.
func referenceIncarnations(messages map[relay.TargetID][]relay.Target) map[relay.TargetID]relay.Target {
	count := make(map[relay.TargetID]relay.Target)
	for id, of := range messages {
		newest := slices.MaxFunc(of, func(a, b relay.Target) int { return int(a.Call) - int(b.Call) })
		newest.Leaving = slices.ContainsFunc(of, func(t relay.Target) bool { return t.Leaving })
		newest.Gone = slices.ContainsFunc(of, func(t relay.Target) bool { return t.Gone })
		count[id] = newest
	}
	known := maps.Clone(count)
	maps.DeleteFunc(count, func(id relay.TargetID, t relay.Target) bool {
		return slices.ContainsFunc(slices.Collect(maps.Values(known)), func(o relay.Target) bool {
			return (o.ID.Name() == id.Name() || o.Address == t.Address) && o.ID.StartMillis() > id.StartMillis()
		})
	})
	return count
}

// Whatever is lost, in whatever order and by whichever VM messages arrive, each registry has the
// current incarnations of its messages.
func TestMessageOrderDoesNotReviveIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 3
		registries, received := make([]*relay.Registry, vms), make([]map[relay.TargetID][]relay.Target, vms)
		for i := range vms {
			registries[i], received[i] = relay.NewRegistry(lossTimeout), make(map[relay.TargetID][]relay.Target)
		}
		addresses := make(map[relay.TargetID]string)
		calls := make(map[relay.TargetID]uint64)
		var sent []relay.Target
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			take := func(w relay.Target) {
				received[vm][w.ID] = append(received[vm][w.ID], w)
				registries[vm].ReceiveForwarded(w, start)
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1: // a target reports, and its report arrives or is lost
				id := relay.NewTargetID(fmt.Sprint("i-", rapid.IntRange(1, 3).Draw(t, "name")), uint64(rapid.IntRange(0, 3).Draw(t, "born")))
				if addresses[id] == "" {
					addresses[id] = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "address")
				}
				calls[id]++
				w := messageAt(id, addresses[id], calls[id])
				w.Layers = config.Range{First: 0, Last: rapid.IntRange(0, 9).Draw(t, "layers")}
				w.Leaving = rapid.IntRange(0, 5).Draw(t, "leaves") == 0
				sent = append(sent, w)
				if rapid.Bool().Draw(t, "received") {
					received[vm][w.ID] = append(received[vm][w.ID], w)
					registries[vm].ReceiveReport(w, start)
				}
			case 2: // a message arrives late, or again
				if len(sent) > 0 {
					take(rapid.SampledFrom(sent).Draw(t, "late"))
				}
			case 3: // one VM forwards its current targets to another, and some are lost
				for _, w := range registries[rapid.IntRange(0, vms-1).Draw(t, "from")].All() {
					if rapid.Bool().Draw(t, "forwarded") {
						take(w)
					}
				}
			}
		}
		for i, r := range registries {
			want := referenceIncarnations(received[i])
			got := make(map[relay.TargetID]relay.Target)
			for _, w := range r.All() {
				got[w.ID] = w
			}
			require.Equal(t, want, got)
		}
	})
}

// A message that anybody may write is removed completely: it neither supersedes others nor stays.
func TestRemovedIncarnationVoidsNothing(t *testing.T) {
	r := relay.NewRegistry(lossTimeout)
	r.ReceiveReport(messageAt(relay.NewTargetID("a", 20), "x", 1), start)
	r.ReceiveReport(messageAt(relay.NewTargetID("b", 10), "x", 1), start)
	require.Len(t, r.All(), 1)
	r.Remove(relay.NewTargetID("a", 20))
	require.Len(t, r.All(), 1)
	require.Equal(t, "b", r.All()[0].ID.Name())
}
