package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
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

// outboxLength bounds the messages that wait for one peer. More are dropped:
// the protocols above expect loss. A control VM of 300 has a link to each of them, so
// that room for 4,096 whole messages on each took its memory.
const outboxLength = 1024

// redialPause is the wait after a peer could not be reached.
const redialPause = 100 * time.Millisecond

// peers sends messages to other VMs, over one stream to each.
type peers struct {
	daemon *Daemon
	mu     sync.Mutex
	links  map[core.VMName]*peerLink
	// inbound holds the connection that each VM's messages came over last.
	inbound map[core.VMName]drpc.Transport
	// looked is when all links were last looked at.
	looked time.Time
	// redials bounds the connections that are made at once in the place of silent ones.
	redials chan struct{}
}

type peerLink struct {
	outbox  chan *core.Envelope
	mu      sync.Mutex
	address string
	// served says that somebody sends what is in the outbox.
	served bool
	receipts
}

func newPeers(d *Daemon) *peers {
	p := &peers{
		daemon: d, links: make(map[core.VMName]*peerLink),
		inbound: make(map[core.VMName]drpc.Transport), redials: make(chan struct{}, redialsAtOnce),
	}
	for name, address := range d.settings.Control.VMs {
		p.learn(core.VMName(name), address)
	}
	return p
}

// learn takes a VM's address. Nothing is dialled before there is something to send: a VM
// is told of all others, and speaks to few of them.
func (p *peers) learn(vm core.VMName, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[vm]; ok {
		l.set(address)
		return
	}
	p.links[vm] = &peerLink{address: address, receipts: receipts{state: silence.NewLink(time.Duration(p.daemon.settings.Timing.Silence))}}
}

// open makes sure that a link is served.
func (p *peers) open(l *peerLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.served {
		return
	}
	l.served = true
	l.outbox = make(chan *core.Envelope, outboxLength)
	p.daemon.tomb.Go(func() error {
		p.daemon.serveLink(l)
		return nil
	})
}

func (l *peerLink) set(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

func (l *peerLink) get() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// address returns where a VM is reached, or the empty text.
func (p *peers) address(vm core.VMName) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[vm]; ok {
		return l.get()
	}
	return ""
}

func (p *peers) send(e core.Envelope) {
	l, ok := p.link(e.To)
	if !ok {
		return
	}
	p.open(l)
	select {
	case l.outbox <- &e:
	default:
		p.daemon.metrics.dropped()
	}
}

// link returns the link to a VM. Where VMs are named by their addresses, one that
// is not known yet can be reached all the same.
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
	p.learn(vm, string(vm))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[vm], true
}

// serveLink sends what is in the outbox of one peer over a stream, which is opened when
// there is something to send. What gathers while the peer can't be reached is old by then,
// and is dropped.
func (d *Daemon) serveLink(l *peerLink) {
	for {
		select {
		case e := <-l.outbox:
			err := d.sendAll(l, e)
			if errors.Is(err, errLinkSilent) {
				continue
			}
			if err != nil {
				d.log.V(1).Info("peer link broken", "address", l.get(), "error", err.Error())
			}
		case <-d.tomb.Dying():
			return
		}
		select {
		case <-time.After(redialPause):
			l.drain()
		case <-d.tomb.Dying():
			return
		}
	}
}

func (l *peerLink) drain() {
	for {
		select {
		case <-l.outbox:
		default:
			return
		}
	}
}

// sendAll sends first and what follows it until the stream breaks.
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
	silent := d.watchLink(l, conn, stream)
	defer l.unwatch()
	for e := first; ; {
		d.metrics.sent()
		e.Body.Receipt = l.number(e.Body.Receipt, time.Now())
		if err := stream.MsgSend(e, measuredEncoding{note: d.metrics.traffic.sentMessage}); err != nil {
			if silent.Load() {
				return errLinkSilent
			}
			return err
		}
		select {
		case e = <-l.outbox:
		case <-conn.Closed():
			if silent.Load() {
				return errLinkSilent
			}
			return fmt.Errorf("peer %s closed the link", l.get())
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// servePeers serves other VMs and operators.
func (d *Daemon) servePeers() error {
	mux := drpcmux.New()
	if err := mux.Register(&peerServer{daemon: d}, wire.Description{}); err != nil {
		return err
	}
	options := drpcserver.Options{
		Manager: wire.ManagerOptions(),
		Log:     func(err error) { d.log.V(1).Info("peer connection", "error", err.Error()) },
	}
	server := drpcserver.NewWithOptions(mux, options)
	return server.Serve(d.tomb.Context(d.context), d.keys.Listener(d.peerListener))
}

// peerServer is the wire.Server of a daemon.
type peerServer struct{ daemon *Daemon }

// Link implements wire.Server. Under TLS a peer speaks only for the VM that its
// certificate names.
func (s *peerServer) Link(stream drpc.Stream) error {
	name, secure := wire.PeerName(stream.Context())
	defer s.daemon.peers.dropInbound(stream)
	noted := false
	for {
		var e core.Envelope
		if err := stream.MsgRecv(&e, measuredEncoding{note: s.daemon.metrics.traffic.tookMessage}); err != nil {
			return err
		}
		if secure && string(e.From.VM) != name {
			s.daemon.log.Info("peer speaks for another VM, its link is closed", "certificate", name, "vm", e.From.VM)
			return fmt.Errorf("peer %s speaks for %s; use the certificate of that VM", name, e.From.VM)
		}
		s.daemon.metrics.received()
		if !noted {
			s.daemon.peers.noteInbound(stream, e.From.VM)
			noted = true
		}
		if !s.daemon.peers.takeReceipt(stream, e) {
			continue
		}
		s.daemon.post(core.Received{Envelope: e})
	}
}

// Operate implements wire.Server.
func (s *peerServer) Operate(ctx context.Context, request *wire.OperateRequest) (*wire.OperateReply, error) {
	statement, err := query.Parse(request.Text)
	if err != nil {
		return &wire.OperateReply{Result: core.Result{Kind: core.ResultInvalid, Message: err.Error()}}, nil
	}
	d := s.daemon
	conn := d.newConn()
	result := make(chan core.Result, 1)
	d.answers.Store(conn, result)
	defer d.answers.Delete(conn)
	d.post(core.Operated{
		Conn:      conn,
		Statement: statement,
		Operator:  request.Operator,
		Number:    request.Number,
		Digest:    digest(fmt.Sprintf("%d %s", request.Expect, request.Text)),
		Expect:    request.Expect,
		WaitUntil: waitUntil(request.WaitMillis),
	})
	select {
	case r := <-result:
		return &wire.OperateReply{Result: r, Leader: d.peers.address(r.Leader)}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func waitUntil(millis int) time.Time {
	if millis <= 0 {
		return time.Time{}
	}
	return clock.Sampled().Add(time.Duration(millis) * time.Millisecond)
}

func (d *Daemon) answer(e core.Answer) { reply(d, e.Conn, e.Result) }

// Dump implements wire.Server.
func (s *peerServer) Dump(context.Context, *wire.DumpRequest) (*wire.DumpReply, error) {
	var dump core.Dump
	s.daemon.look(func(n *core.Node) { dump = n.Dump() })
	hideKeys(&dump)
	text, err := json.MarshalIndent(dump, "", "  ")
	if err != nil {
		return nil, err
	}
	return &wire.DumpReply{JSON: text}, nil
}

// hideKeys takes the hashes of API keys out of a dump.
func hideKeys(dump *core.Dump) {
	for _, state := range []*config.State{&dump.Config, &dump.Entry} {
		for _, o := range state.Organisations.Sorted() {
			o.Key = "hidden"
			state.Organisations = state.Organisations.With(o)
		}
	}
}
