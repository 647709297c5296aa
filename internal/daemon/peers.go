package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"encoding/json"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/silence"
	"github.com/spoolbank/spoolbank/internal/wire"
	"github.com/spoolbank/spoolbank/query"
)

// peerQueueLength bounds the messages queued for one peer. More are dropped:
// the protocols above tolerate loss. A control VM for 300 VMs has a link to each of them, and
// runs out of memory with room for 4,096 messages on each link.
const peerQueueLength = 1024

// redialDelay is the delay before a peer that could not be reached is dialed again.
const redialDelay = 100 * time.Millisecond

// peers sends messages to other VMs, over one stream to each.
type peers struct {
	daemon *Daemon
	mu     sync.Mutex
	links  map[core.VMName]*peerLink
	// inbound holds the connection over which each VM last sent messages.
	inbound map[core.VMName]drpc.Transport
	// lastCheck is when all links were last checked.
	lastCheck time.Time
	// redialSlots bounds the concurrent dials that replace silent connections.
	redialSlots chan struct{}
	// broken limits the log lines about links that broke.
	broken logLimiter
}

type peerLink struct {
	queue   chan *core.Envelope
	mu      sync.Mutex
	address string
	// serving is set while a goroutine sends the messages in the queue.
	serving bool
	receipts
}

func newPeers(d *Daemon) *peers {
	p := &peers{
		daemon: d, links: make(map[core.VMName]*peerLink),
		inbound: make(map[core.VMName]drpc.Transport), redialSlots: make(chan struct{}, maxConcurrentRedials),
	}
	for name, address := range d.settings.Control.VMs {
		p.setAddress(core.VMName(name), address)
	}
	return p
}

// setAddress sets the address of a VM. It dials nothing, since a VM receives the addresses of
// all others and sends messages to few of them.
func (p *peers) setAddress(vm core.VMName, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[vm]; ok {
		l.setAddress(address)
		return
	}
	p.links[vm] = &peerLink{address: address, receipts: receipts{state: silence.NewLink(time.Duration(p.daemon.settings.Timing.Silence))}}
}

// ensureServing starts the goroutine that sends over a link, unless it runs.
func (p *peers) ensureServing(l *peerLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.serving {
		return
	}
	l.serving = true
	l.queue = make(chan *core.Envelope, peerQueueLength)
	p.daemon.tomb.Go(func() error {
		p.daemon.serveLink(l)
		return nil
	})
}

func (l *peerLink) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

func (l *peerLink) currentAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// address returns the address of a VM, or "" if it is unknown.
func (p *peers) address(vm core.VMName) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[vm]; ok {
		return l.currentAddress()
	}
	return ""
}

func (p *peers) send(e core.Envelope) {
	l, ok := p.link(e.To)
	if !ok {
		return
	}
	p.ensureServing(l)
	select {
	case l.queue <- &e:
	default:
		p.daemon.metrics.countDropped()
	}
}

// link returns the link to a VM. A VM that is not known yet can be reached if its
// name is an address.
func (p *peers) link(vm core.VMName) (*peerLink, bool) {
	p.mu.Lock()
	l, ok := p.links[vm]
	p.mu.Unlock()
	if ok {
		return l, true
	}
	if _, err := netip.ParseAddrPort(string(vm)); err != nil {
		return nil, false
	}
	p.setAddress(vm, string(vm))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[vm], true
}

// serveLink sends the queued messages of one peer over a stream, which it opens when there
// is something to send. Messages that are queued while the peer can't be reached are
// outdated by then and are dropped.
func (d *Daemon) serveLink(l *peerLink) {
	for {
		var broken error
		select {
		case e := <-l.queue:
			err := d.sendAll(l, e)
			if errors.Is(err, errLinkSilent) {
				continue
			}
			broken = err
		case <-d.tomb.Dying():
			return
		}
		select {
		case <-time.After(redialDelay):
			d.peers.recordBroken(l, broken, l.drain())
		case <-d.tomb.Dying():
			return
		}
	}
}

// drain drops the queued messages and returns how many there were.
func (l *peerLink) drain() int {
	for dropped := 0; ; dropped++ {
		select {
		case <-l.queue:
		default:
			return dropped
		}
	}
}

// recordBroken counts the messages dropped with a link that broke, and logs the break.
func (p *peers) recordBroken(l *peerLink, err error, dropped int) {
	for range dropped {
		p.daemon.metrics.countDropped()
	}
	address := l.currentAddress()
	if allowed, withheld := p.broken.allow(address, time.Now()); allowed && err != nil {
		p.daemon.log.Info("peer link broken", "address", address, "error", err.Error(), "dropped", dropped, "withheld", withheld)
	}
}

// sendAll sends first and the messages queued after it until the stream breaks. A probe comes before
// them: a VM takes large messages only over connections that have brought a whole one.
func (d *Daemon) sendAll(l *peerLink, first *core.Envelope) error {
	conn, err := d.dialPeer(l)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := conn.NewStream(d.context, wire.RPCLink, wire.Encoding{})
	if err != nil {
		return err
	}
	silent := d.attachConn(l, conn, stream)
	defer l.detachConn()
	for _, e := range []*core.Envelope{d.newProbe(), first} {
		if err := d.sendOne(l, stream, e, silent); err != nil {
			return err
		}
	}
	for {
		select {
		case e := <-l.queue:
			if err := d.sendOne(l, stream, e, silent); err != nil {
				return err
			}
		case <-conn.Closed():
			if silent.Load() {
				return errLinkSilent
			}
			return fmt.Errorf("peer %s closed the link", l.currentAddress())
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// sendOne sends one message.
func (d *Daemon) sendOne(l *peerLink, stream drpc.Stream, e *core.Envelope, silent *atomic.Bool) error {
	d.metrics.countSent()
	e.Body.Receipt = l.nextReceipt(e.Body.Receipt, time.Now())
	err := stream.MsgSend(e, measuredEncoding{record: d.metrics.traffic.recordSent})
	if err != nil && silent.Load() {
		return errLinkSilent
	}
	return err
}

// servePeers serves other VMs and operators.
func (d *Daemon) servePeers() error { return d.servePeersUntil(d.tomb.Context(d.context)) }

func (d *Daemon) servePeersUntil(ctx context.Context) error {
	mux := drpcmux.New()
	if err := mux.Register(&peerServer{daemon: d}, wire.Description{}); err != nil {
		return err
	}
	options := drpcserver.Options{
		Manager: wire.ManagerOptions(),
		Log:     func(err error) { d.log.V(1).Info("peer connection", "error", err.Error()) },
	}
	server := drpcserver.NewWithOptions(mux, options)
	return server.Serve(ctx, d.intake.peers.Listener(d.credentials.Listener(d.peerListener)))
}

// peerServer implements wire.Server for a daemon.
type peerServer struct{ daemon *Daemon }

// Link implements wire.Server. Under TLS it accepts only messages from the VM that the
// peer's certificate names.
func (s *peerServer) Link(stream drpc.Stream) error {
	name, secure := wire.PeerName(stream.Context())
	defer s.daemon.peers.removeInbound(stream)
	recorded := false
	for {
		var e core.Envelope
		if err := stream.MsgRecv(&e, measuredEncoding{record: s.daemon.metrics.traffic.recordReceived}); err != nil {
			return err
		}
		if secure && string(e.From.VM) != name {
			s.daemon.log.Info("peer sent a message as another VM; closing its link", "certificate", name, "vm", e.From.VM)
			return fmt.Errorf("peer %s speaks for %s; use the certificate of that VM", name, e.From.VM)
		}
		s.daemon.metrics.countReceived()
		if !recorded {
			wire.Identify(stream.Context())
			s.daemon.peers.recordInbound(stream, e.From.VM)
			recorded = true
		}
		if !s.daemon.peers.handleReceipt(stream, e) {
			continue
		}
		s.daemon.post(core.Received{Envelope: e})
	}
}

// Operate implements wire.Server.
func (s *peerServer) Operate(ctx context.Context, request *wire.OperateRequest) (*wire.OperateReply, error) {
	wire.Identify(ctx)
	statement, err := query.Parse(request.Text)
	if err != nil {
		return &wire.OperateReply{Result: core.Result{Kind: core.ResultInvalid, Message: err.Error()}}, nil
	}
	d := s.daemon
	conn := d.newConnID()
	result := make(chan core.Result, 1)
	d.pendingReplies.Store(conn, result)
	defer d.pendingReplies.Delete(conn)
	d.post(core.Operated{
		Conn:      conn,
		Statement: statement,
		Operator:  request.Operator,
		Number:    request.Number,
		Digest:    digest(fmt.Sprintf("%d %s", request.Expect, request.Text)),
		Expect:    request.Expect,
		WaitUntil: deadlineAfter(request.WaitMillis),
	})
	select {
	case r := <-result:
		return &wire.OperateReply{Result: r, Leader: d.peers.address(r.Leader)}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func deadlineAfter(millis int) time.Time {
	if millis <= 0 {
		return time.Time{}
	}
	return clock.SampleNow().Add(time.Duration(millis) * time.Millisecond)
}

func (d *Daemon) answer(e core.Answer) { deliverReply(d, e.Conn, e.Result) }

// Dump implements wire.Server.
func (s *peerServer) Dump(ctx context.Context, _ *wire.DumpRequest) (*wire.DumpReply, error) {
	wire.Identify(ctx)
	var dump core.Dump
	s.daemon.inspectNode(func(n *core.Node) { dump = n.Dump() })
	redactKeys(&dump)
	text, err := json.MarshalIndent(dump, "", "  ")
	if err != nil {
		return nil, err
	}
	return &wire.DumpReply{JSON: text}, nil
}

// redactKeys replaces the hashes of API keys in a dump.
func redactKeys(dump *core.Dump) {
	for _, state := range []*config.State{&dump.Config, &dump.Entry} {
		for _, o := range state.Organisations.Sorted() {
			o.Key = "hidden"
			state.Organisations = state.Organisations.With(o)
		}
	}
}
