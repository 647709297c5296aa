package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// permitWorld simulates holders and leaders. Messages between them are lost, late, repeated and
// out of order, holders restart and freeze, and leaders change.
type permitWorld struct {
	t         *rapid.T
	now       time.Time
	perSecond float64
	allocator *relay.PermitAllocator[string]
	holders   []*worldHolder
	asks      []askInTransit
	grants    []grantInTransit
	sent      []time.Time
	leaders   uint64
}

type worldHolder struct {
	index, incarnation int
	limits             *relay.RateLimits
	number             uint64
	renewed            map[uint64]time.Time
	// leaseUntil is when it must stop sending.
	leaseUntil, frozenUntil time.Time
}

// holderLease is the duration of a lease, from the renewal that it answers.
const holderLease = 3 * time.Second

type askInTransit struct {
	leader      uint64
	from        *worldHolder
	incarnation int
	name        string
	number      uint64
	asks        []relay.PermitRequest
}

type grantInTransit struct {
	to          *worldHolder
	incarnation int
	number      uint64
	permits     []relay.Permits
}

func (h *worldHolder) name() string { return fmt.Sprintf("vm-%d.%d", h.index, h.incarnation) }

// start starts a holder as a new incarnation, without any state.
func (l *permitWorld) start(h *worldHolder) {
	h.incarnation++
	h.limits = relay.NewRateLimits(uint64(h.incarnation))
	h.number = 0
	h.renewed = make(map[uint64]time.Time)
	h.leaseUntil = l.now.Add(holderLease)
	l.receiveLimit(h)
}

// receiveLimit gives a holder the limit with an answer to a request that was sent before.
func (l *permitWorld) receiveLimit(h *worldHolder) {
	h.limits.Observe(limitedTarget, relay.LimitAnswer{Limited: true, PerSecond: l.perSecond, SentAt: l.now.Add(-time.Millisecond), ReceivedAt: l.now})
}

func (l *permitWorld) holder() *worldHolder {
	return l.holders[rapid.IntRange(0, len(l.holders)-1).Draw(l.t, "holder")]
}

func (l *permitWorld) frozen(h *worldHolder) bool { return l.now.Before(h.frozenUntil) }

func (l *permitWorld) renew(h *worldHolder) {
	h.number++
	h.renewed[h.number] = l.now
	l.asks = append(l.asks, askInTransit{leader: l.leaders, from: h, incarnation: h.incarnation, name: h.name(), number: h.number, asks: h.limits.PermitRequests(l.now)})
}

// deliver delivers some ask to its leader, and may leave a copy in transit.
func (l *permitWorld) deliver() {
	if len(l.asks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(l.asks)-1).Draw(l.t, "ask")
	a := l.asks[i]
	if !rapid.Bool().Draw(l.t, "again") {
		l.asks = append(l.asks[:i], l.asks[i+1:]...)
	}
	if a.leader != l.leaders {
		return
	}
	var permits []relay.Permits
	for _, ask := range a.asks {
		if p, ok := l.allocator.Request(a.name, a.number, ask, l.now); ok {
			permits = append(permits, p)
		}
	}
	l.grants = append(l.grants, grantInTransit{to: a.from, incarnation: a.incarnation, number: a.number, permits: permits})
}

func (l *permitWorld) grant() {
	if len(l.grants) == 0 {
		return
	}
	i := rapid.IntRange(0, len(l.grants)-1).Draw(l.t, "grant")
	g := l.grants[i]
	if !rapid.Bool().Draw(l.t, "again") {
		l.grants = append(l.grants[:i], l.grants[i+1:]...)
	}
	if g.incarnation != g.to.incarnation || l.frozen(g.to) {
		return
	}
	if until := g.to.renewed[g.number].Add(holderLease); until.After(g.to.leaseUntil) {
		g.to.leaseUntil = until
	}
	g.to.limits.Grant(g.number, g.permits, g.to.renewed[g.number].Add(relay.PermitTTL), l.now)
}

func (l *permitWorld) send(h *worldHolder) {
	if !l.now.Before(h.leaseUntil) {
		return
	}
	h.limits.NoteDemand(limitedTarget, l.now)
	if h.limits.Acquire(limitedTarget, l.now) {
		l.sent = append(l.sent, l.now)
	}
}

// check checks every span of time that ends now: it brings no more than the burst and what the
// limit allows.
func (l *permitWorld) check() {
	for i, from := range l.sent {
		allowed := 4 + l.perSecond + l.perSecond*l.now.Sub(from).Seconds()
		require.LessOrEqual(l.t, float64(len(l.sent)-i), allowed+1e-6, "in the last %v", l.now.Sub(from))
	}
}

// Whatever happens to messages, holders and leaders, no span of time brings more to a target than
// the burst of its limit and what the limit allows. The burst is 4 requests and what the limit
// allows in a second.
func TestPermitsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &permitWorld{t: t, now: start, perSecond: rapid.SampledFrom([]float64{0.1, 0.5, 4.5, 20}).Draw(t, "limit")}
		l.allocator = relay.NewPermitAllocator[string](1, relay.PermitTTL, start.Add(-time.Hour))
		for i := range rapid.IntRange(1, 6).Draw(t, "holders") {
			h := &worldHolder{index: i}
			l.holders = append(l.holders, h)
			l.start(h)
		}
		for range 300 {
			h := l.holder()
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2:
				if !l.frozen(h) {
					l.renew(h)
				}
			case 3, 4:
				l.deliver()
			case 5, 6:
				l.grant()
			case 7, 8, 9:
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					if !l.frozen(h) {
						l.send(h)
					}
				}
			case 10:
				l.now = l.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond)
			case 11:
				switch rapid.IntRange(0, 5).Draw(t, "rare") {
				case 0:
					l.start(h)
				case 1:
					h.frozenUntil = l.now.Add(2 * time.Second)
				case 2:
					l.leaders++
					l.allocator = relay.NewPermitAllocator[string](l.leaders, relay.PermitTTL, l.now)
				case 3:
					l.receiveLimit(h)
				}
			}
			l.check()
		}
	})
}
