package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file carries a connection to a target by way of another VM.
//
// The VM that has a request for the target opens a stream to another VM and names the target. The
// other VM dials its address, replies with the outcome, and copies bytes both ways; of requests it
// knows only where one begins. Each tunnel has a connection of its own, so that its flow control is
// that of the request.
//
// A target sees the VM in between, and asks it to back off. So either VM passes on what it is asked
// for: the one that has the request with RPCBackoff, the other one as it refuses a tunnel. A tunnel
// ends where a request would begin in a backoff.
//
// Invariant: an end is reported as one only if the target has closed the connection. Anything
// else, such as a lost VM, looks like a reset: an answer without a length must not seem whole.

// RPCTunnel is the drpc method of a tunnel, and RPCBackoff that of a target's backoff.
const (
	RPCTunnel  = "/spoolbank.Peer/Tunnel"
	RPCBackoff = "/spoolbank.Peer/Backoff"
)

// tunnelBufferBytes is the size of a read on either side.
const tunnelBufferBytes = 16 << 10

// TunnelOutcome is the outcome of a request for a tunnel.
type TunnelOutcome int

// The outcomes.
const (
	// TunnelLost: the VM could not be reached, or did not reply in time.
	TunnelLost TunnelOutcome = iota
	// TunnelOpened: the target has accepted the connection.
	TunnelOpened
	// TunnelRefused: the target has not accepted it.
	TunnelRefused
	// TunnelIsolated: the VM reaches no target of the service either.
	TunnelIsolated
	// TunnelDeclined: the VM knows no such target, or has no room for a tunnel.
	TunnelDeclined
)

// String returns the outcome for logs and metrics.
func (o TunnelOutcome) String() string {
	return [...]string{"lost", "opened", "refused", "isolated", "declined"}[o]
}

// TunnelRequest asks for a tunnel to a target.
type TunnelRequest struct {
	Target relay.TargetID `cbor:"target"`
}

// TunnelReply answers a TunnelRequest.
type TunnelReply struct {
	Outcome TunnelOutcome `cbor:"outcome"`
	Reason  string        `cbor:"reason,omitempty"`
	// BackoffFor is set if the VM declines since the target has asked it to back off for so much longer.
	BackoffFor time.Duration `cbor:"backoff,omitempty"`
}

// BackoffNotice states that a target has asked for a backoff, with an answer that came by a tunnel of
// the receiver.
type BackoffNotice struct {
	Target relay.TargetID `cbor:"target"`
	// For is the time that is left of it.
	For time.Duration `cbor:"for"`
}

// BackoffReply answers a BackoffNotice.
type BackoffReply struct{}

// TunnelData is a part of what passes through a tunnel. End is set if the sender's side has closed
// the connection in order.
type TunnelData struct {
	_    struct{} `cbor:",toarray"`
	Data []byte   `cbor:"data"`
	End  bool     `cbor:"end"`
}

// TunnelError is the error of a tunnel that was not opened.
type TunnelError struct {
	Outcome TunnelOutcome
	VM      string
	// BackoffFor is the backoff for which the VM declined, 0 if there is none.
	BackoffFor time.Duration
	Err        error
}

// Error implements error.
func (e *TunnelError) Error() string {
	return fmt.Sprintf("tunnel by way of %s: %s: %v", e.VM, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *TunnelError) Unwrap() error { return e.Err }

// tunnelConn is one end of a tunnel as a connection.
type tunnelConn struct {
	net.Conn
	link *drpcconn.Conn
	// vm is the peer address of the VM in between.
	vm string
	// ended is set if the target has closed the connection in order.
	ended *atomic.Bool
}

// Read implements net.Conn.
func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.ended.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Close implements net.Conn.
func (c *tunnelConn) Close() error { return errors.Join(c.Conn.Close(), c.link.Close()) }

// TunnelVM returns the peer address of the VM by way of which the connection leads.
func (c *tunnelConn) TunnelVM() string { return c.vm }

// DialTunnel connects to a target by way of the VM with a peer address. Its error is a TunnelError.
func (k Credentials) DialTunnel(ctx context.Context, vm string, target relay.TargetID) (net.Conn, error) {
	link, err := k.Dial(ctx, vm)
	if err != nil {
		return nil, &TunnelError{VM: vm, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { link.Close() })
	stream, reply, err := openTunnel(link, target)
	if !stop() || err != nil {
		link.Close()
		return nil, &TunnelError{VM: vm, Err: errors.Join(err, context.Cause(ctx))}
	}
	if reply.Outcome != TunnelOpened {
		link.Close()
		return nil, &TunnelError{Outcome: reply.Outcome, VM: vm, BackoffFor: reply.BackoffFor, Err: errors.New(reply.Reason)}
	}
	near, far := net.Pipe()
	conn := &tunnelConn{Conn: near, link: link, vm: vm, ended: new(atomic.Bool)}
	go func() {
		CopyTunnel(stream, far, TunnelHooks{OnEnd: func() { conn.ended.Store(true) }})
		link.Close()
	}()
	return conn, nil
}

// SendBackoff passes a target's backoff on to the VM with a peer address.
func (k Credentials) SendBackoff(ctx context.Context, vm string, notice BackoffNotice) error {
	link, err := k.Dial(ctx, vm)
	if err != nil {
		return fmt.Errorf("backoff for %s: %w", vm, err)
	}
	defer link.Close()
	if err := link.Invoke(ctx, RPCBackoff, Encoding{}, &notice, &BackoffReply{}); err != nil {
		return fmt.Errorf("backoff for %s: %w", vm, err)
	}
	return nil
}

// openTunnel asks for a tunnel on a connection to another VM. The stream outlives the dial.
func openTunnel(link *drpcconn.Conn, target relay.TargetID) (drpc.Stream, TunnelReply, error) {
	stream, err := link.NewStream(context.Background(), RPCTunnel, Encoding{})
	if err != nil {
		return nil, TunnelReply{}, err
	}
	if err := stream.MsgSend(&TunnelRequest{Target: target}, Encoding{}); err != nil {
		return nil, TunnelReply{}, err
	}
	var reply TunnelReply
	err = stream.MsgRecv(&reply, Encoding{})
	return stream, reply, err
}

// TunnelHooks are what one side of a tunnel does with what passes through it. Either may be nil.
type TunnelHooks struct {
	// OnEnd is called if the other side has closed its connection in order.
	OnEnd func()
	// AdmitRequest reports whether a request may begin. It is called with the first bytes that are
	// written to the connection, and with the first ones after bytes were read from it.
	AdmitRequest func() bool
}

// CopyTunnel copies bytes between a stream and a connection until one of them ends, or a request is not
// admitted, and closes the connection. Where the connection can't be written to, what it has received is
// still sent: the answer may be whole although its request could not be.
func CopyTunnel(stream drpc.Stream, conn net.Conn, hooks TunnelHooks) {
	defer conn.Close()
	var answered atomic.Bool
	answered.Store(true)
	go func() {
		sendTunnel(stream, conn, &answered)
		_ = stream.CloseSend() // the other side may be gone
	}()
	writable := true
	for {
		var part TunnelData
		if err := stream.MsgRecv(&part, Encoding{}); err != nil {
			return
		}
		if part.End {
			if hooks.OnEnd != nil {
				hooks.OnEnd()
			}
			return
		}
		if answered.Swap(false) && hooks.AdmitRequest != nil && !hooks.AdmitRequest() {
			return
		}
		if writable {
			_, err := conn.Write(part.Data)
			writable = err == nil
		}
	}
}

// sendTunnel sends what a connection receives, until it ends, and sets answered with each part.
func sendTunnel(stream drpc.Stream, conn net.Conn, answered *atomic.Bool) {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			answered.Store(true)
			if stream.MsgSend(&TunnelData{Data: buffer[:n]}, Encoding{}) != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = stream.MsgSend(&TunnelData{End: true}, Encoding{}) // the other side may be gone
			return
		case err != nil:
			return
		}
	}
}
