package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file connects a VM that is isolated from a service to its targets by way of other VMs.
//
// Problem: callers of such a VM go on using it for as long as they keep its address and their
// connections. Each needs an answer, and there are targets with room for it.
//
// Algorithm: connections to targets of the service are opened by way of another VM (wire/tunnel.go),
// which is asked only if it reaches the service itself. All else stays with the VM that has the
// caller: which target runs the request, what may be sent again, quotas, repeats and limits. VMs
// that have opened a tunnel recently are asked first; one that could not is not asked for a while.
// Once targets are in reach again, idle tunnels are closed, and new connections are direct.
//
// A target that asks for a backoff sees the VM in between: both VMs back off from it, whichever of them
// has the answer that asked.
//
// A VM that stops opens no tunnel for others, and lets none of them carry another request. It ends once their
// requests have, or with its grace time.
//
// Invariants: a tunnel leads to a target directly, never by way of a third VM. A connection that
// could not be opened has carried no byte of a request.
//
// Limits: reports of engines are not asked through tunnels, so that an isolated VM does not notice
// by itself that an engine stands still.

const (
	// tunnelDialTimeout bounds the dial of a target by the VM in between, and tunnelTimeout the
	// whole with the ways between VMs.
	tunnelDialTimeout = 200 * time.Millisecond
	tunnelTimeout     = 400 * time.Millisecond
	// maxTunnelVMs is the number of VMs that are asked for one connection.
	maxTunnelVMs = 5
	// maxTunnelRefusals is the number of VMs that have to find that a target does not accept.
	maxTunnelRefusals = 2
	// tunnelGoodTTL is how long a VM that opened a tunnel is preferred, and tunnelBadTTL how long
	// one that did not is avoided.
	tunnelGoodTTL = 3 * time.Second
	tunnelBadTTL  = time.Second
	// tunnelVMsTTL is how long the list of other VMs is used.
	tunnelVMsTTL = time.Second
	// maxTunnels bounds the tunnels that this VM carries for others: each takes some 40 KB.
	maxTunnels = 256
)

// tunnels chooses the VMs by way of which this VM reaches targets.
type tunnels struct {
	// others returns the other entry VMs.
	others func() []core.EntryAddress
	// carried counts the tunnels that this VM carries for others.
	carried atomic.Int64

	mu      sync.Mutex
	known   []core.EntryAddress
	askedAt time.Time
	goodAt  map[core.VMName]time.Time
	badAt   map[core.VMName]time.Time
}

func (t *tunnels) init(others func() []core.EntryAddress) {
	t.others = others
	t.goodAt, t.badAt = make(map[core.VMName]time.Time), make(map[core.VMName]time.Time)
}

// candidates returns the VMs to ask, in order.
func (t *tunnels) candidates(now time.Time) []core.EntryAddress {
	t.mu.Lock()
	stale := now.After(t.askedAt.Add(tunnelVMsTTL))
	t.mu.Unlock()
	if stale {
		known := t.others()
		t.mu.Lock()
		t.known, t.askedAt = known, now
		t.mu.Unlock()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var good, unknown []core.EntryAddress
	for _, i := range rand.Perm(len(t.known)) {
		vm := t.known[i]
		switch {
		case now.Before(t.badAt[vm.VM].Add(tunnelBadTTL)):
		case now.Before(t.goodAt[vm.VM].Add(tunnelGoodTTL)):
			good = append(good, vm)
		default:
			unknown = append(unknown, vm)
		}
	}
	candidates := append(good, unknown...)
	return candidates[:min(len(candidates), maxTunnelVMs)]
}

// record records whether a VM has reached targets for this one.
func (t *tunnels) record(vm core.VMName, reaches bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reaches {
		t.goodAt[vm] = now
		delete(t.badAt, vm)
		return
	}
	t.badAt[vm] = now
	delete(t.goodAt, vm)
}

// otherEntryVMs returns the other entry VMs, those of this hall first.
func (g *Gateway) otherEntryVMs() []core.EntryAddress {
	ctx, cancel := context.WithTimeout(g.daemon.context, tunnelTimeout)
	defer cancel()
	var others []core.EntryAddress
	for _, a := range g.EntryAddresses(ctx, g.daemon.settings.Hall).Addresses {
		if string(a.VM) != g.daemon.settings.Name {
			others = append(others, a)
		}
	}
	return others
}

// dialTarget connects to a target's address: directly, or by way of another VM if this one is
// isolated from the target's service.
func (g *Gateway) dialTarget(ctx context.Context, direct func(context.Context, string) (net.Conn, error), address string) (net.Conn, error) {
	g.mu.Lock()
	to, known := g.router.TargetAt(address)
	isolated := known && g.router.IsolatedFrom(to.Service)
	g.mu.Unlock()
	if !isolated {
		return direct(ctx, address)
	}
	failed, refused := errors.New("no other VM is known"), 0
	for _, vm := range g.tunnels.candidates(clock.Now()) {
		conn, outcome, err := g.dialTunnel(ctx, vm, to.ID)
		if err == nil || errors.Is(err, ErrHeldBack) {
			return conn, err
		}
		failed = err
		if outcome == wire.TunnelRefused {
			refused++
		}
		if ctx.Err() != nil || refused >= maxTunnelRefusals {
			break
		}
	}
	return nil, fmt.Errorf("this VM is isolated from service %s: %w", to.Service, failed)
}

// dialTunnel connects to a target by way of a VM.
func (g *Gateway) dialTunnel(ctx context.Context, vm core.EntryAddress, to relay.TargetID) (net.Conn, wire.TunnelOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := g.daemon.credentials.DialTunnel(ctx, vm.Peers, to)
	outcome := wire.TunnelOpened
	var failed *wire.TunnelError
	if errors.As(err, &failed) {
		outcome = failed.Outcome
	}
	if failed != nil && failed.BackoffFor > 0 {
		g.recordBackoff(to, failed.BackoffFor)
		g.meter.tunneled(outcome)
		g.log.Info("tunnel not opened", "by_way_of", vm.VM, "target", to, "outcome", outcome.String(), "backoff_ms", failed.BackoffFor.Milliseconds(), "error", err.Error())
		return nil, outcome, fmt.Errorf("%w: target %s has asked VM %s to back off, which would carry the connection", ErrHeldBack, to, vm.VM)
	}
	if outcome != wire.TunnelRefused { // the target may be lost, or the VM cut and not know it yet
		g.tunnels.record(vm.VM, outcome == wire.TunnelOpened, clock.Now())
	}
	g.meter.tunneled(outcome)
	if err != nil {
		g.log.Info("tunnel not opened", "by_way_of", vm.VM, "target", to, "outcome", outcome.String(), "error", err.Error())
	}
	return conn, outcome, err
}

// Tunnel implements wire.Server.
func (s *peerServer) Tunnel(stream drpc.Stream) error {
	var request wire.TunnelRequest
	if err := stream.MsgRecv(&request, wire.Encoding{}); err != nil {
		return err
	}
	wire.Identify(stream.Context())
	if s.daemon.gateway == nil {
		return stream.MsgSend(&wire.TunnelReply{Outcome: wire.TunnelDeclined, Reason: "this VM serves no callers"}, wire.Encoding{})
	}
	return s.daemon.gateway.carryTunnel(stream, request.Target)
}

// carryTunnel carries a tunnel to a target for another VM until it ends.
func (g *Gateway) carryTunnel(stream drpc.Stream, to relay.TargetID) error {
	defer g.tunnels.carried.Add(-1)
	carried := g.tunnels.carried.Add(1)
	conn, reply := g.dialForTunnel(to, carried)
	g.meter.tunnelCarried(reply.Outcome)
	if err := stream.MsgSend(&reply, wire.Encoding{}); err != nil || conn == nil {
		if conn != nil {
			conn.Close()
		}
		return err
	}
	first := true
	wire.CopyTunnel(stream, conn, wire.TunnelHooks{AdmitRequest: func() bool {
		admitted := g.backoffLeft(to) == 0 && (first || !g.Stopping())
		first = false
		return admitted
	}})
	return nil
}

// tunnelCheckInterval is the interval at which a VM that stops checks the tunnels that it carries.
const tunnelCheckInterval = 20 * time.Millisecond

// awaitTunnels waits until this VM, which stops, carries no tunnel any more, or ctx ends. Idle tunnels are closed by
// the VMs that opened them.
func (g *Gateway) awaitTunnels(ctx context.Context) {
	carried := g.tunnels.carried.Load()
	if carried == 0 {
		return
	}
	g.log.Info("planned stop waits for tunnels of other VMs", "tunnels", carried)
	ticker := time.NewTicker(tunnelCheckInterval)
	defer ticker.Stop()
	for g.tunnels.carried.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// backoffLeft returns how long this VM still backs off from a target, 0 if it does not.
func (g *Gateway) backoffLeft(id relay.TargetID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	until, backedOff := g.router.BackedOff(id, now)
	if !backedOff {
		return 0
	}
	return until.Sub(now)
}

// Backoff implements wire.Server.
func (s *peerServer) Backoff(_ context.Context, notice *wire.BackoffNotice) (*wire.BackoffReply, error) {
	g := s.daemon.gateway
	if g == nil {
		return &wire.BackoffReply{}, nil // this VM sends targets nothing
	}
	g.mu.Lock()
	_, known := g.router.TargetNamed(notice.Target)
	g.mu.Unlock()
	g.log.Info("another VM passes on a backoff", "target", notice.Target, "known", known, "backoff_ms", notice.For.Milliseconds())
	if known {
		g.recordBackoff(notice.Target, notice.For)
	}
	return &wire.BackoffReply{}, nil
}

// recordBackoff records a backoff that another VM has passed on.
func (g *Gateway) recordBackoff(id relay.TargetID, left time.Duration) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.RecordBackoff(id, now.Add(left), now)
}

// dialForTunnel dials a target for another VM, unless this VM can't reach it either.
func (g *Gateway) dialForTunnel(to relay.TargetID, carried int64) (net.Conn, wire.TunnelReply) {
	g.mu.Lock()
	target, known := g.router.TargetNamed(to)
	isolated := known && g.router.IsolatedFrom(target.Service)
	g.mu.Unlock()
	switch {
	case !known:
		return nil, wire.TunnelReply{Outcome: wire.TunnelDeclined, Reason: "target " + string(to) + " is not known here"}
	case carried > maxTunnels || g.Stopping():
		return nil, wire.TunnelReply{Outcome: wire.TunnelDeclined, Reason: "this VM carries no more tunnels"}
	case isolated:
		return nil, wire.TunnelReply{Outcome: wire.TunnelIsolated, Reason: "this VM is isolated from service " + target.Service}
	}
	if left := g.backoffLeft(to); left > 0 {
		return nil, wire.TunnelReply{Outcome: wire.TunnelDeclined, Reason: "target " + string(to) + " has asked this VM to back off", BackoffFor: left}
	}
	conn, err := wire.TargetDialer(net.Dialer{Timeout: tunnelDialTimeout})(g.daemon.context, "tcp", target.Address)
	if err != nil {
		g.recordUnreached(to)
		return nil, wire.TunnelReply{Outcome: wire.TunnelRefused, Reason: err.Error()}
	}
	return conn, wire.TunnelReply{Outcome: wire.TunnelOpened}
}
