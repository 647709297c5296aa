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

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/silence"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file finds out that the link to another VM has fallen silent; package silence
// decides, docs/design/silent-connections.md weighs. All that goes to one VM goes over one
// link, so that all its users learn of it by one verdict.

// errLinkSilent ends a connection to a VM from which no proof of life came back. What waits
// to be sent is kept: it is younger than the silence.
var errLinkSilent = errors.New("the connection is silent; a new one is made")

const (
	// lookEvery is the least time between two looks at all links: a fraction of the shortest
	// waits that are looked for.
	lookEvery = 40 * time.Millisecond
	// redialsAtOnce bounds the connections that are made at once in the place of silent
	// ones: where a control VM loses its links to 300 VMs together, it has renewed them all
	// within some 0.1 s, and goes on with its heartbeats meanwhile.
	redialsAtOnce = 32
	// redialSpread is the time over which they are spread: a tenth of the interval at which
	// leases are renewed, or less.
	redialSpread = 30 * time.Millisecond
	// redialHold is how long one that does not come about keeps others from theirs: after
	// that the VM is taken to be away.
	redialHold = 250 * time.Millisecond
)

// receipts is what one VM knows of the link to another one, over all its connections.
type receipts struct {
	mu    sync.Mutex
	state silence.Link
	// seen is the highest number received from the other VM in its incarnation seenOf.
	seen   uint64
	seenOf core.Incarnation
	// conn is the connection that the link has now, if it has one; silent is set when that
	// is ended for its silence.
	conn   *drpcconn.Conn
	silent *atomic.Bool
	// redial says that the last connection was found silent, so that the next one is made
	// in its place.
	redial bool
}

// number returns the receipt that a message goes out with. The given one, if any, says
// whether the message is a question.
func (r *receipts) number(given *core.Receipt, now time.Time) *core.Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	receipt := core.Receipt{Seen: r.seen, Ask: given != nil && given.Ask}
	r.state, receipt.Number = r.state.Sent(now)
	return &receipt
}

// proved takes the highest number that the other VM has seen.
func (r *receipts) proved(number uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = r.state.Proved(number, now)
}

// take takes the receipt of a message of the other VM.
func (r *receipts) take(from core.ReplicaID, receipt core.Receipt, now time.Time) {
	r.mu.Lock()
	if r.seenOf != from.Incarnation {
		r.seenOf, r.seen = from.Incarnation, 0
	}
	r.seen = max(r.seen, receipt.Number)
	r.state = r.state.Speaks()
	r.mu.Unlock()
	r.proved(receipt.Seen, now)
}

// errStopping ends a dial: the process stops.
var errStopping = errors.New("this process stops; ask another VM")

// dialPeer connects to a VM. In the place of silent connections few are made at once.
func (d *Daemon) dialPeer(l *peerLink) (*drpcconn.Conn, error) {
	l.receipts.mu.Lock()
	redial := l.redial
	l.redial = false
	l.receipts.mu.Unlock()
	if !redial {
		return d.keys.Dial(d.context, l.get())
	}
	select {
	case <-time.After(rand.N(redialSpread)):
	case <-d.tomb.Dying():
		return nil, errStopping
	}
	select {
	case d.peers.redials <- struct{}{}:
	case <-d.tomb.Dying():
		return nil, errStopping
	}
	var once sync.Once
	free := func() { once.Do(func() { <-d.peers.redials }) }
	late := time.AfterFunc(redialHold, free)
	defer late.Stop()
	defer free()
	return d.keys.Dial(d.context, l.get())
}

// watchLink looks after a new connection to a VM until unwatch. The flag that it returns is
// set when the connection is ended for its silence.
func (d *Daemon) watchLink(l *peerLink, conn *drpcconn.Conn, stream drpc.Stream) *atomic.Bool {
	l.receipts.mu.Lock()
	defer l.receipts.mu.Unlock()
	l.state = l.state.Renewed()
	l.conn, l.silent = conn, new(atomic.Bool)
	go l.readReceipts(stream)
	return l.silent
}

// unwatch ends the watch over a connection that has ended.
func (l *peerLink) unwatch() {
	l.receipts.mu.Lock()
	defer l.receipts.mu.Unlock()
	l.conn = nil
}

// readReceipts takes the answers to questions until the connection ends.
func (l *peerLink) readReceipts(stream drpc.Stream) {
	for {
		var receipt core.Receipt
		if stream.MsgRecv(&receipt, wire.Encoding{}) != nil {
			return // whoever sends learns of it too
		}
		l.proved(receipt.Seen, time.Now())
	}
}

// lookAtLinks asks over the links that nothing has come back from, and ends the connections
// where an answer is missing. A look at 300 links that are well takes some 20 us; a timer
// for each message would wake the process once more for each.
func (p *peers) lookAtLinks(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.looked) < lookEvery {
		return
	}
	p.looked = now
	for _, l := range p.links {
		p.lookAt(l, now)
	}
}

func (p *peers) lookAt(l *peerLink, now time.Time) {
	l.receipts.mu.Lock()
	defer l.receipts.mu.Unlock()
	if l.conn == nil {
		return
	}
	open, patience := l.state.OpenFor(now), l.state.Patience()
	state, action := l.state.Look(now)
	l.state = state
	switch action {
	case silence.Ask:
		l.state = state.Asked(now)
		p.daemon.askOver(l)
	case silence.Void:
		l.state = state.Voided()
		l.redial = true
		l.silent.Store(true)
		go l.conn.Close()
		l.conn = nil
		p.daemon.foundSilent(silentPeer, l.get(), open, patience)
	}
}

// askOver puts a question into the outbox. Where that is full the question is not sent: the
// link moves nothing then, and is left unless it proves itself.
func (d *Daemon) askOver(l *peerLink) {
	question := &core.Envelope{From: d.self, Body: core.Message{Receipt: &core.Receipt{Ask: true}}}
	select {
	case l.outbox <- question:
	default:
		d.metrics.dropped()
	}
}

// takeReceipt takes the receipt of a message that came over a stream, answers the question
// in it, and reports whether there is a message for the Node.
func (p *peers) takeReceipt(stream drpc.Stream, e core.Envelope) bool {
	receipt := e.Body.Receipt
	if receipt == nil {
		return true
	}
	p.mu.Lock()
	l, known := p.links[e.From.VM]
	p.mu.Unlock()
	if known {
		l.take(e.From, *receipt, time.Now())
	}
	if !receipt.Ask {
		return true
	}
	if err := stream.MsgSend(&core.Receipt{Seen: receipt.Number}, wire.Encoding{}); err != nil {
		p.daemon.log.V(1).Info("question of a VM not answered, its link has ended", "vm", e.From.VM, "error", err.Error())
	}
	return false
}

// noteInbound notes the connection that a VM's messages come over. An older one of the same VM
// is closed: the VM has left it, and where it is silent it would stay open for good.
func (p *peers) noteInbound(stream drpc.Stream, vm core.VMName) {
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

// dropInbound forgets a connection from another VM that has ended.
func (p *peers) dropInbound(stream drpc.Stream) {
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

// The kinds of connections that fall silent.
const (
	silentPeer   = "peer"
	silentTarget = "target"
	silentStream = "stream"
)

// silentLinesEvery is the least time between two lines on silent connections of this
// process: hundreds may be found together, and the counter has them all.
const silentLinesEvery = 100 * time.Millisecond

// foundSilent counts a connection that was left for its silence, and logs some of them.
func (d *Daemon) foundSilent(kind, peer string, age, bound time.Duration) {
	d.metrics.foundSilent(context.Background(), kind)
	now := time.Now().UnixNano()
	last := d.silentLine.Load()
	if now-last < int64(silentLinesEvery) || !d.silentLine.CompareAndSwap(last, now) {
		return
	}
	d.log.Info("connection found silent", "kind", kind, "peer", peer, "silent_ms", age.Milliseconds(), "bound_ms", bound.Milliseconds())
}
