// Package daemon runs a core.Node as a process: it turns input from sockets, timers and
// the disk into events, and executes the effects that the Node returns.
//
// The main files: loop steps the Node; disk stores the control state; peers serves
// other VMs and operators; callers and openai serve callers; effects
// dispatches the Node's effects; metrics exports counters and gauges; platform is the
// interface to a platform's adapter, gateway serves the adapter, and forward forwards
// its requests to targets.
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
	"syscall"
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
	// tickInterval is the interval between two core.Tick events.
	tickInterval = 20 * time.Millisecond
	// leasedTickInterval is the tick interval of an entry VM on a platform while it holds its
	// lease: its next timeout is some hundred ms away, and each tick wakes the process.
	leasedTickInterval = 100 * time.Millisecond
)

// eventQueueSize bounds the events queued for the loop.
const eventQueueSize = 8192

// Daemon is one running process.
type Daemon struct {
	settings    settings.Settings
	log         logr.Logger
	credentials wire.Credentials
	tomb        tomb.Tomb
	node        *core.Node
	self        core.ReplicaID
	events      chan core.Event
	// inspect carries functions that the loop runs on the Node between events.
	inspect chan func(*core.Node)
	disk    chan core.Effect
	hints   hints
	folder  *folder
	peers   *peers
	client  *target.Client
	callers *callers
	metrics *metrics
	outbox  *outbox
	intake  *intake
	// platform and gateway are set if an adapter runs this daemon.
	platform *Platform
	gateway  *Gateway
	// context is canceled when the daemon ends, which cancels all work in progress.
	context context.Context
	cancel  context.CancelFunc
	lastID  atomic.Uint64
	// lastSilentLog is when the last log line about a silent connection was written, or nil.
	lastSilentLog  atomic.Pointer[clock.Instant]
	pendingReplies sync.Map

	callerListener net.Listener
	peerListener   net.Listener
	metricListener net.Listener
}

// New opens the data folder and the listeners. Run starts serving.
func New(s settings.Settings, log logr.Logger) (*Daemon, error) { return newDaemon(s, log, nil) }

// NewOnPlatform returns a daemon run by an adapter, and the gateway through which
// the adapter passes in requests and events of the platform.
func NewOnPlatform(s settings.Settings, log logr.Logger, p Platform) (*Daemon, *Gateway, error) {
	d, err := newDaemon(s, log, &p)
	if err != nil {
		return nil, nil, err
	}
	return d, d.gateway, nil
}

const (
	// memoryTarget is the part of the memory limit that a process may use with all that has arrived for
	// it, and kernelShare the part of the limit that the kernel's buffers may take of it.
	memoryTarget = 0.8
	kernelShare  = 0.1
	// minHeapShare is the part of the limit that the heap always has.
	minHeapShare = 0.4
)

// heapLimit returns the limit of the Go runtime within a memory limit in bytes. The runtime counts
// neither the program file nor the kernel's buffers.
func heapLimit(memoryLimit int64) int64 {
	share := func(part float64) int64 { return int64(part * float64(memoryLimit)) }
	return max(share(memoryTarget-kernelShare)-programBytes, share(minHeapShare))
}

// setMemoryLimit makes the runtime collect garbage more often near the memory limit, so
// that the process is not killed for exceeding it.
func setMemoryLimit(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(heapLimit(int64(megabytes) << 20))
	}
}

func newDaemon(s settings.Settings, log logr.Logger, p *Platform) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log,
		events:   make(chan core.Event, eventQueueSize),
		inspect:  make(chan func(*core.Node)),
		disk:     make(chan core.Effect, eventQueueSize),
		hints:    newHints(),
		client:   target.NewClient(),
		platform: p,
		outbox:   newOutbox(s.Limits, log),
	}
	d.intake = newIntake(d, int64(s.Limits.MemoryMB)<<20)
	d.client = d.client.WithSilence(time.Duration(s.Timing.Silence), d.recordSilentConnection)
	setMemoryLimit(s.Limits.MemoryMB)
	d.context, d.cancel = context.WithCancel(context.Background())
	if err := d.loadCredentials(); err != nil {
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
	d.node = core.New(coreSettings, recovered, clock.SampleNow())
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

func (d *Daemon) loadCredentials() error {
	t := d.settings.TLS
	if t.PlainText {
		return nil
	}
	credentials, err := wire.LoadCredentials(t.Certificate, t.Key, t.Authority)
	d.credentials = credentials
	return err
}

// isVolatile reports whether this is a control VM that keeps its state in memory only.
func (d *Daemon) isVolatile() bool {
	return d.platform != nil && d.settings.HasRole(settings.RoleControl) && d.settings.Data == ""
}

func (d *Daemon) openState() (core.Recovered, error) {
	if !d.settings.HasRole(settings.RoleControl) || d.isVolatile() {
		d.folder = nil
		return core.Recovered{}, nil
	}
	f, recovered, err := openFolder(d.settings.Data)
	if err == nil && f.hintsErr != nil {
		d.log.Info("hints of targets are not all used", "error", f.hintsErr.Error())
	}
	d.folder = f
	return recovered, err
}

func (d *Daemon) listen() error {
	var err error
	l := d.settings.Listen
	// On a platform the adapter listens for callers.
	if d.platform == nil {
		d.callerListener, err = d.listenForHTTP(l.Callers)
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
	var repeats relay.BudgetTerms
	if d.platform != nil {
		decode, repeats = d.platform.Decode, d.platform.Router.Budget
	}
	return core.Settings{
		DecodeDocument:     decode,
		RepeatBudget:       repeats,
		Policy:             s.Policy.Relay(),
		Volatile:           d.isVolatile(),
		DelegatesBootstrap: d.platform != nil && d.platform.DelegatesBootstrap,
		Self:               self,
		Cluster:            cluster,
		Address:            core.EntryAddress{VM: self.VM, Hall: s.Hall, Callers: s.Listen.Callers, Peers: s.Listen.PeersForOthers()},
		Control:            s.HasRole(settings.RoleControl),
		Entry:              s.HasRole(settings.RoleEntry),
		ControlVMs:         controlVMs(s.Control),
		Voters:             s.Control.Voters,
		SnapshotEvery:      s.Control.SnapshotEvery,
		Timing:             coreTiming(s.Timing),
		Seed:               uint64(newIncarnation()),
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
	t.LeaseDuration = time.Duration(s.Lease)
	t.RenewInterval = time.Duration(s.Renew)
	t.ConfirmWithin = time.Duration(s.Confirm)
	t.ReplaceAfter = time.Duration(s.ReplaceAfter)
	t.KeepEntries = time.Duration(s.KeepEntries)
	t.KeepEntriesAfterLoss = time.Duration(s.KeepEntriesAfterLoss)
	t.StageTimeout = time.Duration(s.StageSilence)
	t.TargetHeartbeat = time.Duration(s.TargetHeartbeat)
	return t
}

// Run serves until a planned stop is complete or an unrecoverable error occurs.
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

// errStopped is the reason with which the tomb ends after a planned stop.
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
		d.tomb.Go(d.upkeepLoop)
	}
	if d.metricListener != nil {
		d.tomb.Go(d.serveMetrics)
	}
	if d.gateway != nil && d.settings.HasRole(settings.RoleEntry) {
		d.tomb.Go(d.gateway.upkeep)
	}
	return nil
}

// Stop starts a planned stop: requests in progress end first.
func (d *Daemon) Stop() {
	if d.gateway != nil {
		d.gateway.stop()
	}
	d.post(core.Stopping{})
}

// Go runs a function of an adapter as part of the daemon. The daemon ends when the function
// returns an error; dying is closed when the function is to return.
func (d *Daemon) Go(part func(dying <-chan struct{}) error) {
	d.tomb.Go(func() error { return part(d.tomb.Dying()) })
}

// Serve serves HTTP on an address until the daemon ends.
func (d *Daemon) Serve(server *http.Server, address string) error {
	l, err := d.listenForHTTP(address)
	if err != nil {
		return err
	}
	d.tomb.Go(func() error { return d.serveHTTP(server, l) })
	return nil
}

// listenForHTTP listens on an address. Where memory is limited, the kernel's receive buffers are too.
func (d *Daemon) listenForHTTP(address string) (net.Listener, error) {
	l, err := listenOn(address)
	if err != nil || l == nil {
		return nil, err
	}
	if tcp, ok := l.(*net.TCPListener); ok && d.settings.Limits.MemoryMB > 0 {
		limitBuffer(tcp, syscall.SO_RCVBUF, receiveBytes, d.log)
	}
	return l, nil
}

// Kill ends the daemon at once, without a planned stop.
func (d *Daemon) Kill() { d.tomb.Kill(nil) }

// newConnID returns a new connection ID.
func (d *Daemon) newConnID() core.ConnID { return core.ConnID(d.lastID.Add(1)) }

const (
	// shutdownTimeout bounds the wait for open connections when the process ends.
	shutdownTimeout = 2 * time.Second
	// platformShutdownTimeout is the bound on a platform, where the grace period is used up
	// by then: only readiness checks and directory requests remain.
	platformShutdownTimeout = 100 * time.Millisecond
)

func (d *Daemon) serveHTTP(server *http.Server, l net.Listener) error {
	d.tomb.Go(func() error {
		<-d.tomb.Dying()
		limit := shutdownTimeout
		if d.platform != nil {
			limit = platformShutdownTimeout
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			if d.gateway != nil {
				d.gateway.closed.Store(true)
			}
			return server.Close()
		}
		d.outbox.awaitDrained(ctx)
		return nil
	})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
