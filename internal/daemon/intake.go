package daemon

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/spoolbank/spoolbank/internal/quota"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file bounds the memory of messages that have not arrived completely. wire/intake.go does so for
// the peer port, and relay.Holdings for the requests and answers of callers.

// The parts of a memory limit that the bodies of operators and the reports of targets may take while
// they arrive and are handled, and large bodies of callers while they arrive.
const (
	operatorParts = 8
	reportParts   = 32
	requestParts  = 8
)

// The classes of accounts.
const (
	classPeers     = "peers"
	classStrangers = "strangers"
	classOperators = "operators"
	classReports   = "reports"
	classRequests  = "requests"
)

// requestAllowanceBytes is the size up to which a caller's body counts in its request's reservation alone.
const requestAllowanceBytes = 64 << 10

const (
	// bodyStall is how long a body may pause before another one may take its memory.
	bodyStall = time.Second
	// bodyTimeout is how long a body may pause in any case.
	bodyTimeout = 10 * time.Second
	// bodyRoomTimeout is how long a body waits for room: as long as it takes to end one that has paused.
	bodyRoomTimeout = 200 * time.Millisecond
)

// intake holds the accounts of incomplete messages.
type intake struct {
	daemon                       *Daemon
	peers                        *wire.Intake
	operators, reports, requests *quota.Account
	// closed limits the log lines about connections that were closed.
	closed logLimiter
}

func newIntake(d *Daemon, memoryLimit int64) *intake {
	i := &intake{
		daemon:    d,
		operators: quota.New(quota.Terms{Share: memoryLimit / operatorParts, Stall: bodyStall}),
		reports:   quota.New(quota.Terms{Share: memoryLimit / reportParts, Stall: bodyStall}),
		requests:  quota.New(quota.Terms{Share: memoryLimit / requestParts, Stall: bodyStall}),
	}
	i.peers = wire.NewIntake(memoryLimit, i.recordClosed)
	return i
}

// recordClosed counts and logs a connection to the peer port that was closed.
func (i *intake) recordClosed(reason string, conn net.Conn, err error) {
	i.daemon.metrics.countIntakeClosed(reason)
	remote := conn.RemoteAddr().String()
	host, _, splitErr := net.SplitHostPort(remote)
	if splitErr != nil {
		host = remote
	}
	if allowed, withheld := i.closed.allow(host, time.Now()); allowed {
		held, strange := i.peers.Strangers().Usage().Held, i.peers.Strange()
		i.daemon.log.Info("peer connection closed", "reason", reason, "peer", remote, "error", err.Error(),
			"strangers", strange, "strangers_bytes", held, "peers_bytes", i.peers.Peers().Usage().Held, "withheld", withheld)
	}
}

// receiveBytes is the kernel's receive buffer for a connection of a caller, a target or an operator, where
// memory is limited: a body of 4 MB arrives within 1.3 s over a round trip of 20 ms.
const receiveBytes = 64 << 10

// limitBuffer limits the kernel's buffer for one direction of each connection. Accepted connections
// inherit the option from their listener.
func limitBuffer(l syscall.Conn, option, bytes int, log logr.Logger) {
	raw, err := l.SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, bytes) })
		err = errors.Join(err, failed)
	}
	if err != nil {
		log.Info("can't bound the kernel's socket buffers; they may hold more than is counted", "error", err.Error())
	}
}

// accounts returns the accounts by class.
func (i *intake) accounts() map[string]*quota.Account {
	return map[string]*quota.Account{
		classPeers: i.peers.Peers(), classStrangers: i.peers.Strangers(),
		classOperators: i.operators, classReports: i.reports, classRequests: i.requests,
	}
}

// observe exports the accounts at each scrape.
func (i *intake) observe(meter metric.Meter) error {
	held, err := meter.Int64ObservableGauge("spoolbank.intake.bytes", metric.WithUnit("By"))
	if err != nil {
		return err
	}
	share, err := meter.Int64ObservableGauge("spoolbank.intake.share", metric.WithUnit("By"))
	if err != nil {
		return err
	}
	refused, err := meter.Int64ObservableCounter("spoolbank.intake.refused")
	if err != nil {
		return err
	}
	strangers, err := meter.Int64ObservableGauge("spoolbank.intake.strangers")
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, to metric.Observer) error {
		for class, account := range i.accounts() {
			of := metric.WithAttributes(attribute.String("class", class))
			usage := account.Usage()
			to.ObserveInt64(held, usage.Held, of)
			to.ObserveInt64(share, usage.Share, of)
			to.ObserveInt64(refused, usage.Refused+usage.Revoked, of)
		}
		to.ObserveInt64(strangers, int64(i.peers.Strange()))
		return nil
	}, held, share, refused, strangers)
	return err
}
