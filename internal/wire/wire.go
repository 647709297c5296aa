// Package wire is the protocol between the processes of spoolbank: drpc
// streams that carry CBOR. CBOR is read by reflection, so that nothing has to
// be generated; docs/DESIGN.md weighs it against Protocol Buffers.
package wire

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
)

// MessageLimit bounds one message on the wire, in bytes.
const MessageLimit = 64 << 20

// The limits of what is decoded: a peer that speaks garbage costs no more.
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

// Marshal returns the encoding of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("wire: undecodable message, which is dropped: %w", err)
	}
	return nil
}

// Encoding is the drpc encoding of all messages.
type Encoding struct{}

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) { return Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error { return Unmarshal(buf, msg) }

// The names of the calls.
const (
	RPCLink    = "/spoolbank.Peer/Link"
	RPCOperate = "/spoolbank.Operator/Operate"
	RPCDump    = "/spoolbank.Operator/Dump"
)

// OperateRequest carries an operator's statement.
type OperateRequest struct {
	Text     string          `cbor:"text"`
	Operator string          `cbor:"operator"`
	Number   uint64          `cbor:"number"`
	Expect   config.Revision `cbor:"expect"`
	// WaitMillis asks for the answer only once the change is in force, or
	// after so many milliseconds. 0 asks for no wait.
	WaitMillis int `cbor:"wait_millis"`
}

// OperateReply answers an OperateRequest.
type OperateReply struct {
	Result core.Result `cbor:"result"`
	// Leader is the peers' address of the VM to ask instead, if it is known.
	Leader string `cbor:"leader,omitempty"`
}

// DumpRequest asks for the whole state of one process.
type DumpRequest struct{}

// DumpReply holds the state as JSON.
type DumpReply struct {
	JSON []byte `cbor:"json"`
}

// Server is what a daemon offers to its peers and to operators.
type Server interface {
	// Link takes messages of one peer until the stream ends.
	Link(stream drpc.Stream) error
	Operate(ctx context.Context, request *OperateRequest) (*OperateReply, error)
	Dump(ctx context.Context, request *DumpRequest) (*DumpReply, error)
}

// Description describes Server to drpc.
type Description struct{}

// NumMethods implements drpc.Description.
func (Description) NumMethods() int { return 3 }

// Method implements drpc.Description.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return RPCLink, Encoding{}, receiveLink, Server.Link, true
	case 1:
		return RPCOperate, Encoding{}, receiveOperate, Server.Operate, true
	case 2:
		return RPCDump, Encoding{}, receiveDump, Server.Dump, true
	}
	return "", nil, nil, nil, false
}

func receiveLink(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
	return nil, srv.(Server).Link(in1.(drpc.Stream))
}

func receiveOperate(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
	return srv.(Server).Operate(ctx, in1.(*OperateRequest))
}

func receiveDump(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
	return srv.(Server).Dump(ctx, in1.(*DumpRequest))
}

// Operate asks the daemon at the other end of conn.
func Operate(ctx context.Context, conn drpc.Conn, request OperateRequest) (OperateReply, error) {
	var reply OperateReply
	err := conn.Invoke(ctx, RPCOperate, Encoding{}, &request, &reply)
	return reply, err
}

// Dump asks the daemon at the other end of conn for its state.
func Dump(ctx context.Context, conn drpc.Conn) (DumpReply, error) {
	var reply DumpReply
	err := conn.Invoke(ctx, RPCDump, Encoding{}, &DumpRequest{}, &reply)
	return reply, err
}
