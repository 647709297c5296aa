package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/silence"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file detects silent links to other VMs. Package silence decides;
// docs/design/silent-connections.md gives the reasons. All messages to one VM share one
// link, so that one verdict covers all its users.

// errLinkSilent ends a connection to a VM that returns no receipts. The queued messages are
// kept: they are newer than those sent over the silent connection.
var errLinkSilent = errors.New("connection is silent; opening a new one")

const (
	// linkCheckInterval is the least time between two checks of all links: a fraction of the
	// shortest timeouts that they check.
	linkCheckInterval = 40 * time.Millisecond
	// maxConcurrentRedials bounds the concurrent dials that replace silent connections. A
	// control VM that loses its links to 300 VMs at once has renewed them all within some
	// 0.1 s, and continues to send heartbeats meanwhile.
	maxConcurrentRedials = 32
	// redialJitter is the time over which these dials are spread: a tenth of the interval at
	// which leases are renewed, or less.
	redialJitter = 30 * time.Millisecond
	// redialSlotTimeout is how long a dial that doesn't complete keeps its slot. After that
	// the VM is assumed to be unreachable.
	redialSlotTimeout = 250 * time.Millisecond
)

// receipts is the state of the link to another VM across all its connections.
type receipts struct {
	mu    sync.Mutex
	state silence.Link
	// seen is the highest number received from the incarnation seenIncarnation of the other VM.
	seen            uint64
	seenIncarnation core.Incarnation
	// conn is the current connection of the link, or nil; silent is set if that connection
	// is closed because it is silent.
	conn   *drpcconn.Conn
	silent *atomic.Bool
	// redial is set if the last connection was found silent and the next one replaces it.
	redial bool
}

// nextReceipt returns the receipt to send with a message. requested is the receipt that a probe
// already carries, which asks for a reply at once; it is nil for other messages.
func (r *receipts) nextReceipt(requested *core.Receipt, now time.Time) *core.Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	receipt := core.Receipt{Seen: r.seen, ReplyNow: requested != nil && requested.ReplyNow}
	r.state, receipt.Number = r.state.Sent(now)
	return &receipt
}

// recordAcknowledged records the highest number that the other VM has received.
func (r *receipts) recordAcknowledged(number uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = r.state.Acked(number, now)
}

// recordReceipt records the receipt of a message from the other VM.
func (r *receipts) recordReceipt(from core.ReplicaID, receipt core.Receipt, now time.Time) {
	r.mu.Lock()
	if r.seenIncarnation != from.Incarnation {
		r.seenIncarnation, r.seen = from.Incarnation, 0
	}
	r.seen = max(r.seen, receipt.Number)
	r.state = r.state.Acknowledging()
	r.mu.Unlock()
	r.recordAcknowledged(receipt.Seen, now)
}

// errStopping ends a dial because the process is stopping.
var errStopping = errors.New("this process is stopping; ask another VM")

// dialPeer connects to a VM. Concurrent dials that replace silent connections are bounded.
func (d *Daemon) dialPeer(l *peerLink) (*drpcconn.Conn, error) {
	l.receipts.mu.Lock()
	redial := l.redial
	l.redial = false
	l.receipts.mu.Unlock()
	if !redial {
		return d.credentials.Dial(d.context, l.currentAddress())
	}
	select {
	case <-time.After(rand.N(redialJitter)):
	case <-d.tomb.Dying():
		return nil, errStopping
	}
	select {
	case d.peers.redialSlots <- struct{}{}:
	case <-d.tomb.Dying():
		return nil, errStopping
	}
	var once sync.Once
	free := func() { once.Do(func() { <-d.peers.redialSlots }) }
	late := time.AfterFunc(redialSlotTimeout, free)
	defer late.Stop()
	defer free()
	return d.credentials.Dial(d.context, l.currentAddress())
}

// attachConn starts to check a new connection of a link, until detachConn. The returned flag is
// set if the connection is closed because it is silent.
func (d *Daemon) attachConn(l *peerLink, conn *drpcconn.Conn, stream drpc.Stream) *atomic.Bool {
	l.receipts.mu.Lock()
	defer l.receipts.mu.Unlock()
	l.state = l.state.Reconnected()
	l.conn, l.silent = conn, new(atomic.Bool)
	go l.readReceipts(stream)
	return l.silent
}

// detachConn stops checking a connection that has ended.
func (l *peerLink) detachConn() {
	l.receipts.mu.Lock()
	defer l.receipts.mu.Unlock()
	l.conn = nil
}

// readReceipts receives the answers to probes until the connection ends.
func (l *peerLink) readReceipts(stream drpc.Stream) {
	for {
		var receipt core.Receipt
		if stream.MsgRecv(&receipt, wire.Encoding{}) != nil {
			return // the sender detects it too
		}
		l.recordAcknowledged(receipt.Seen, time.Now())
	}
}

// checkLinks probes the links on which receipts are overdue, and closes the connections
// on which the answer to a probe is overdue. Checking 300 healthy links takes some 20 us; a
// timer for each message would wake the process once more for each.
func (p *peers) checkLinks(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastCheck) < linkCheckInterval {
		return
	}
	p.lastCheck = now
	for _, l := range p.links {
		p.checkLink(l, now)
	}
}

func (p *peers) checkLink(l *peerLink, now time.Time) {
	l.receipts.mu.Lock()
	defer l.receipts.mu.Unlock()
	if l.conn == nil {
		return
	}
	unackedFor, timeout := l.state.UnackedFor(now), l.state.ProbeTimeout()
	state, action := l.state.Check(now)
	l.state = state
	switch action {
	case silence.SendProbe:
		l.state = state.Probed(now)
		p.daemon.sendProbe(l)
	case silence.ConnSilent:
		l.state = state.FoundSilent()
		l.redial = true
		l.silent.Store(true)
		go l.conn.Close()
		l.conn = nil
		p.daemon.recordSilentConnection(silentPeer, l.currentAddress(), unackedFor, timeout)
	}
}

// sendProbe queues a probe. If the queue is full the probe is dropped: the link is stalled
// then, and its connection is closed unless a receipt arrives.
func (d *Daemon) sendProbe(l *peerLink) {
	select {
	case l.queue <- d.newProbe():
	default:
		d.metrics.countDropped()
	}
}

// newProbe returns a message that is answered with a receipt and is not for the Node.
func (d *Daemon) newProbe() *core.Envelope {
	return &core.Envelope{From: d.self, Body: core.Message{Receipt: &core.Receipt{ReplyNow: true}}}
}

// handleReceipt records the receipt of a message received over a stream and answers it if it
// is a probe. It reports whether the message is for the Node.
func (p *peers) handleReceipt(stream drpc.Stream, e core.Envelope) bool {
	receipt := e.Body.Receipt
	if receipt == nil {
		return true
	}
	p.mu.Lock()
	l, known := p.links[e.From.VM]
	p.mu.Unlock()
	if known {
		l.recordReceipt(e.From, *receipt, time.Now())
	}
	if !receipt.ReplyNow {
		return true
	}
	if err := stream.MsgSend(&core.Receipt{Seen: receipt.Number}, wire.Encoding{}); err != nil {
		p.daemon.log.V(1).Info("failed to answer the probe of a VM; its link has ended", "vm", e.From.VM, "error", err.Error())
	}
	return false
}

// recordInbound records the connection over which a VM's messages arrive. It closes an older one
// of the same VM: the VM has left it, and if it is silent it would stay open forever.
func (p *peers) recordInbound(stream drpc.Stream, vm core.VMName) {
	transport, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return
	}
	p.mu.Lock()
	older := p.inbound[vm]
	p.inbound[vm] = transport
	p.mu.Unlock()
	if older != nil && older != transport {
		older.Close()
	}
}

// removeInbound removes a connection from another VM that has ended.
func (p *peers) removeInbound(stream drpc.Stream) {
	transport, ok := drpcctx.Transport(stream.Context())
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, open := range p.inbound {
		if open == transport {
			delete(p.inbound, vm)
		}
	}
}

// The kinds of connections that can fall silent.
const (
	silentPeer   = "peer"
	silentTarget = "target"
	silentStream = "stream"
)

// silentLogInterval is the least time between two log lines about silent connections:
// hundreds may be found together. The counter includes all of them.
const silentLogInterval = 100 * time.Millisecond

// recordSilentConnection counts a connection that was abandoned as silent, and logs some of them.
func (d *Daemon) recordSilentConnection(kind, peer string, age, bound time.Duration) {
	d.metrics.countSilent(context.Background(), kind)
	now := clock.NowInstant()
	last := d.lastSilentLog.Load()
	if last != nil && now.Sub(*last) < silentLogInterval || !d.lastSilentLog.CompareAndSwap(last, &now) {
		return
	}
	d.log.Info("connection found silent", "kind", kind, "peer", peer, "silent_ms", age.Milliseconds(), "bound_ms", bound.Milliseconds())
}
