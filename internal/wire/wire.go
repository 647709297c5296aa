// Package wire implements the protocol between spoolbank processes: drpc
// streams that carry CBOR. CBOR is encoded by reflection, so there is no
// generated code; docs/DESIGN.md compares it with Protocol Buffers.
package wire

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
)

// MessageLimit bounds the size of one message, in bytes.
const MessageLimit = 64 << 20

// Decoding limits bound the cost of malformed messages from a peer.
const (
	maxElements = 1 << 20
	maxNesting  = 32
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	options := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the CBOR encoding of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes CBOR data into v.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("wire: malformed message dropped: %w", err)
	}
	return nil
}

// Encoding is the drpc encoding of all messages.
type Encoding struct{}

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) { return Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error { return Unmarshal(buf, msg) }

// The drpc method names.
const (
	RPCLink    = "/spoolbank.Peer/Link"
	RPCOperate = "/spoolbank.Operator/Operate"
	RPCDump    = "/spoolbank.Operator/Dump"
)

// OperateRequest carries an operator's command.
type OperateRequest struct {
	Text     string          `cbor:"text"`
	Operator string          `cbor:"operator"`
	Number   uint64          `cbor:"number"`
	Expect   config.Revision `cbor:"expect"`
	// WaitMillis delays the reply until the change is in force, for at most so
	// many milliseconds. 0 means no wait.
	WaitMillis int `cbor:"wait_millis"`
}

// OperateReply answers an OperateRequest.
type OperateReply struct {
	Result core.Result `cbor:"result"`
	// Leader is the peer address of the VM to send the request to, if it is known.
	Leader string `cbor:"leader,omitempty"`
}

// DumpRequest requests the whole state of one process.
type DumpRequest struct{}

// DumpReply holds the state as JSON.
type DumpReply struct {
	JSON []byte `cbor:"json"`
}

// Server is the interface that a daemon serves to its peers and to operators.
type Server interface {
	// Link receives messages of one peer until the stream ends.
	Link(stream drpc.Stream) error
	Operate(ctx context.Context, request *OperateRequest) (*OperateReply, error)
	Dump(ctx context.Context, request *DumpRequest) (*DumpReply, error)
	// Tunnel carries a connection of another VM to a target until it ends.
	Tunnel(stream drpc.Stream) error
	// Backoff takes a backoff of a target that another VM has learned of by a tunnel.
	Backoff(ctx context.Context, notice *BackoffNotice) (*BackoffReply, error)
}

// Description is the drpc description of Server.
type Description struct{}

// NumMethods implements drpc.Description.
func (Description) NumMethods() int { return 5 }

// Method implements drpc.Description.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return RPCLink, Encoding{}, receiveLink, Server.Link, true
	case 1:
		return RPCOperate, Encoding{}, receiveOperate, Server.Operate, true
	case 2:
		return RPCDump, Encoding{}, receiveDump, Server.Dump, true
	case 3:
		return RPCTunnel, Encoding{}, receiveTunnel, Server.Tunnel, true
	case 4:
		return RPCBackoff, Encoding{}, receiveBackoff, Server.Backoff, true
	}
	return "", nil, nil, nil, false
}

func receiveLink(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
	return nil, srv.(Server).Link(in1.(drpc.Stream))
}

func receiveTunnel(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
	return nil, srv.(Server).Tunnel(in1.(drpc.Stream))
}

func receiveBackoff(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
	return srv.(Server).Backoff(ctx, in1.(*BackoffNotice))
}

func receiveOperate(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
	return srv.(Server).Operate(ctx, in1.(*OperateRequest))
}

func receiveDump(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
	return srv.(Server).Dump(ctx, in1.(*DumpRequest))
}

// Operate sends an operator's command to the daemon at the other end of conn.
func Operate(ctx context.Context, conn drpc.Conn, request OperateRequest) (OperateReply, error) {
	var reply OperateReply
	err := conn.Invoke(ctx, RPCOperate, Encoding{}, &request, &reply)
	return reply, err
}

// Dump requests the state of the daemon at the other end of conn.
func Dump(ctx context.Context, conn drpc.Conn) (DumpReply, error) {
	var reply DumpReply
	err := conn.Invoke(ctx, RPCDump, Encoding{}, &DumpRequest{}, &reply)
	return reply, err
}
