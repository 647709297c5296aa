// Package daemon runs a core.Node as a process: it turns sockets, timers and
// the disk into events and carries the effects out.
//
// The files: loop steps the Node; disk keeps the control state; peers speaks
// to other VMs and to operators; callers and openai serve callers; effects
// hands the Node's effects to whoever carries them out; metrics counts.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"gopkg.in/tomb.v2"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
	"github.com/spoolbank/spoolbank/internal/wire"
	"github.com/spoolbank/spoolbank/settings"
)

const (
	// tickEvery is the interval between two core.Tick events.
	tickEvery = 20 * time.Millisecond
	// settledTickEvery is that of an entry VM on a platform while it has its lease: what
	// it waits for is some hundred ms away, and each tick wakes the process.
	settledTickEvery = 100 * time.Millisecond
)

// eventQueue bounds the events that wait for the loop.
const eventQueue = 8192

// Daemon is one running process.
type Daemon struct {
	settings settings.Settings
	log      logr.Logger
	keys     wire.Keys
	tomb     tomb.Tomb
	node     *core.Node
	self     core.ReplicaID
	events   chan core.Event
	// inspect carries functions that the loop runs between events.
	inspect chan func(*core.Node)
	disk    chan core.Effect
	hints   hints
	folder  *folder
	peers   *peers
	client  *target.Client
	callers *callers
	metrics *metrics
	outbox  *outbox
	// platform and gateway are set where an adapter runs this daemon.
	platform *Platform
	gateway  *Gateway
	// context ends when the daemon does, and with it all that is under way.
	context context.Context
	cancel  context.CancelFunc
	lastID  atomic.Uint64
	// silentLine is when the last line on a silent connection was logged, in Unix ns.
	silentLine atomic.Int64
	answers    sync.Map

	callerListener net.Listener
	peerListener   net.Listener
	metricListener net.Listener
}

// New opens the data folder and the listeners. Run starts the work.
func New(s settings.Settings, log logr.Logger) (*Daemon, error) { return newDaemon(s, log, nil) }

// NewOnPlatform returns a daemon that an adapter runs, and the gateway by which
// the adapter hands it what comes from the platform.
func NewOnPlatform(s settings.Settings, log logr.Logger, p Platform) (*Daemon, *Gateway, error) {
	d, err := newDaemon(s, log, &p)
	if err != nil {
		return nil, nil, err
	}
	return d, d.gateway, nil
}

// heapShare is the part of the memory limit that the runtime keeps within; the rest is
// for what it does not count, the kernel's buffers above all.
const heapShare = 0.8

// limitMemory has the runtime collect garbage more often as it nears its limit, rather
// than be ended above it.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(megabytes) * (1 << 20)))
	}
}

func newDaemon(s settings.Settings, log logr.Logger, p *Platform) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log,
		events:   make(chan core.Event, eventQueue),
		inspect:  make(chan func(*core.Node)),
		disk:     make(chan core.Effect, eventQueue),
		hints:    newHints(),
		client:   target.NewClient(),
		platform: p,
		outbox:   newOutbox(s.Limits, log),
	}
	d.client = d.client.WithSilence(time.Duration(s.Timing.Silence), d.foundSilent)
	limitMemory(s.Limits.MemoryMB)
	d.context, d.cancel = context.WithCancel(context.Background())
	if err := d.loadKeys(); err != nil {
		return nil, err
	}
	recovered, err := d.openState()
	if err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		d.closeAll()
		return nil, err
	}
	coreSettings := d.coreSettings()
	d.self = coreSettings.Self
	d.node = core.New(coreSettings, recovered, clock.Sampled())
	d.peers = newPeers(d)
	d.callers = newCallers(d)
	d.metrics, err = newMetrics(d)
	if err != nil {
		d.closeAll()
		return nil, err
	}
	if p != nil {
		d.gateway, err = newGateway(d, *p)
	}
	if err != nil {
		d.closeAll()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) loadKeys() error {
	t := d.settings.TLS
	if t.PlainText {
		return nil
	}
	keys, err := wire.LoadKeys(t.Certificate, t.Key, t.Authority)
	d.keys = keys
	return err
}

// isVolatile reports whether a control VM keeps its state in memory only.
func (d *Daemon) isVolatile() bool {
	return d.platform != nil && d.settings.HasRole(settings.RoleControl) && d.settings.Data == ""
}

func (d *Daemon) openState() (core.Recovered, error) {
	if !d.settings.HasRole(settings.RoleControl) || d.isVolatile() {
		d.folder = nil
		return core.Recovered{}, nil
	}
	f, recovered, err := openFolder(d.settings.Data)
	if err == nil && f.badHints != nil {
		d.log.Info("hints of targets are not all used", "error", f.badHints.Error())
	}
	d.folder = f
	return recovered, err
}

func (d *Daemon) listen() error {
	var err error
	l := d.settings.Listen
	// On a platform the adapter listens for callers.
	if d.platform == nil {
		d.callerListener, err = listenOn(l.Callers)
	}
	if err != nil {
		return err
	}
	if d.peerListener, err = listenOn(l.Peers); err != nil {
		return err
	}
	d.metricListener, err = listenOn(l.Metrics)
	return err
}

func listenOn(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w; free the address or change the setting", err)
	}
	return l, nil
}

func (d *Daemon) closeAll() {
	for _, l := range []net.Listener{d.callerListener, d.peerListener, d.metricListener} {
		if l != nil {
			l.Close()
		}
	}
	if d.folder != nil {
		d.folder.close()
	}
}

func (d *Daemon) coreSettings() core.Settings {
	s := d.settings
	self := core.ReplicaID{VM: core.VMName(s.Name), Incarnation: newIncarnation()}
	cluster := ""
	if d.folder != nil {
		self.Incarnation = d.folder.identity.Incarnation
		cluster = d.folder.identity.Cluster
	}
	var decode func([]byte) (*relay.Document, error)
	if d.platform != nil {
		decode = d.platform.Decode
	}
	return core.Settings{
		DecodeDocument: decode,
		Policy:         s.Policy.Relay(),
		Volatile:       d.isVolatile(),
		Delegates:      d.platform != nil && d.platform.Delegates,
		Self:           self,
		Cluster:        cluster,
		Address:        core.EntryAddress{VM: self.VM, Hall: s.Hall, Callers: s.Listen.Callers, Peers: s.Listen.Peers},
		Control:        s.HasRole(settings.RoleControl),
		Entry:          s.HasRole(settings.RoleEntry),
		ControlVMs:     controlVMs(s.Control),
		Voters:         s.Control.Voters,
		SnapshotEvery:  s.Control.SnapshotEvery,
		Timing:         coreTiming(s.Timing),
		Seed:           uint64(newIncarnation()),
	}
}

// controlVMs returns the names of the control VMs, sorted.
func controlVMs(c settings.Control) []core.VMName {
	var names []core.VMName
	for name := range c.VMs {
		names = append(names, core.VMName(name))
	}
	slices.Sort(names)
	return names
}

func coreTiming(s settings.Timing) core.Timing {
	t := core.DefaultTiming()
	t.Heartbeat = time.Duration(s.Heartbeat)
	t.ElectionMin = time.Duration(s.ElectionMin)
	t.ElectionMax = time.Duration(s.ElectionMax)
	t.LeaseTerm = time.Duration(s.Lease)
	t.RenewEvery = time.Duration(s.Renew)
	t.ReplaceAfter = time.Duration(s.ReplaceAfter)
	t.KeepEntries = time.Duration(s.KeepEntries)
	t.KeepEntriesAfterLoss = time.Duration(s.KeepEntriesAfterLoss)
	t.StageSilence = time.Duration(s.StageSilence)
	t.TargetHeartbeat = time.Duration(s.TargetHeartbeat)
	return t
}

// Run serves until a planned stop is complete or something fails for good.
func (d *Daemon) Run() error {
	d.tomb.Go(d.start)
	err := d.tomb.Wait()
	d.cancel()
	d.closeAll()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the tomb after a planned stop.
var errStopped = errors.New("stopped as planned")

func (d *Daemon) start() error {
	d.log.Info("daemon starts", "name", d.settings.Name, "hall", d.settings.Hall, "roles", d.settings.Roles, "policy", d.settings.Policy.Relay().String())
	if err := clock.Err(); err != nil {
		d.log.Info("suspensions of this VM are not noticed", "error", err.Error())
	}
	d.tomb.Go(d.loop)
	d.tomb.Go(d.tickLoop)
	d.tomb.Go(d.metrics.traffic.loop)
	if d.folder != nil {
		d.tomb.Go(d.diskLoop)
		d.tomb.Go(d.hintsLoop)
	}
	d.tomb.Go(d.servePeers)
	if d.callerListener != nil && d.settings.HasRole(settings.RoleEntry) {
		d.tomb.Go(d.serveCallers)
		d.tomb.Go(d.outboxLoop)
	}
	if d.metricListener != nil {
		d.tomb.Go(d.serveMetrics)
	}
	if d.gateway != nil && d.settings.HasRole(settings.RoleEntry) {
		d.tomb.Go(d.gateway.upkeep)
	}
	return nil
}

// Stop asks for a planned stop: what is in progress ends first.
func (d *Daemon) Stop() {
	if d.gateway != nil {
		d.gateway.stop()
	}
	d.post(core.Stopping{})
}

// Go runs a part of an adapter as a part of the daemon: the daemon ends with its
// error, and dying is closed when it is to end.
func (d *Daemon) Go(part func(dying <-chan struct{}) error) {
	d.tomb.Go(func() error { return part(d.tomb.Dying()) })
}

// Serve serves HTTP on an address until the daemon ends.
func (d *Daemon) Serve(server *http.Server, address string) error {
	l, err := listenOn(address)
	if err != nil {
		return err
	}
	d.tomb.Go(func() error { return d.serveHTTP(server, l) })
	return nil
}

// Kill ends the process's work at once.
func (d *Daemon) Kill() { d.tomb.Kill(nil) }

// newConn draws an identity for a connection.
func (d *Daemon) newConn() core.ConnID { return core.ConnID(d.lastID.Add(1)) }

const (
	// shutdownTime bounds the wait for connections when the process ends.
	shutdownTime = 2 * time.Second
	// shutdownTimeOnPlatform is that where the grace time is used up by then: what
	// is left are looks at readiness and the directory.
	shutdownTimeOnPlatform = 100 * time.Millisecond
)

func (d *Daemon) serveHTTP(server *http.Server, l net.Listener) error {
	d.tomb.Go(func() error {
		<-d.tomb.Dying()
		limit := shutdownTime
		if d.platform != nil {
			limit = shutdownTimeOnPlatform
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			return server.Close()
		}
		d.outbox.drained(ctx)
		return nil
	})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
