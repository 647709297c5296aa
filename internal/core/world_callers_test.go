package core_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/query"
)

// This file simulates callers and operators, and checks the answers that they receive.

// callerRequest is one caller's request and the answer to it.
type callerRequest struct {
	vm       core.VMName
	call     bool
	id       core.RequestID
	prompt   string
	after    int
	text     strings.Builder
	count    int
	finished bool
	refusal  *core.Refusal
	answer   *core.CallAnswer
	cut      bool
}

func (w *world) conn() core.ConnID {
	w.lastConn++
	return w.lastConn
}

// command sends an operator's statement to a VM.
func (w *world) command(name core.VMName, text, operator string, number uint64, expect config.Revision) core.ConnID {
	statement, err := query.Parse(text)
	require.NoError(w.t, err)
	conn := w.conn()
	if key := fmt.Sprintf("%s/%d", operator, number); !w.sent[key] || !statement.IsCommand() {
		w.sent[key] = true
		w.minRevisions[conn] = w.accepted
	}
	if v := w.vms[name]; v.node != nil {
		w.step(name, core.Operated{Conn: conn, Statement: statement, Operator: operator, Number: number, Digest: text, Expect: expect})
	}
	return conn
}

// answered records and checks an operator's result. Statements are linearizable:
// revisions order the accepted commands, a command that was sent after another one
// was accepted has a higher revision, and a query sees all commands accepted before it.
func (w *world) answered(a core.Answer) {
	w.results[a.Conn] = a.Result
	if minRevision, ok := w.minRevisions[a.Conn]; ok {
		switch a.Result.Kind {
		case core.ResultAccepted:
			require.Greater(w.t, a.Result.Revision, minRevision, "a command is ordered before one that was accepted when it was sent")
		case core.ResultTable:
			require.GreaterOrEqual(w.t, a.Result.Revision, minRevision, "a stale answer")
		}
	}
	if a.Result.Kind == core.ResultAccepted && a.Result.Revision > w.accepted {
		w.accepted = a.Result.Revision
		w.acceptedAt = w.now
		w.forgetAcks()
		w.acks = append(w.acks, acknowledged{revision: w.accepted, at: w.now})
	}
}

// must sends a command to the current leader, and retries until it is decided.
func (w *world) must(text string, number uint64) core.Result {
	var result core.Result
	w.until("command "+text, 30*time.Second, func() bool {
		for _, name := range w.names {
			if v := w.vms[name]; v.node == nil || v.suspended || !w.holdsLease(v) {
				continue
			}
			conn := w.command(name, text, "setup", number, 0)
			w.advance(200 * time.Millisecond)
			if r, ok := w.results[conn]; ok && r.Kind != core.ResultNotLeader && r.Kind != core.ResultInterrupted {
				result = r
				return true
			}
		}
		return false
	})
	return result
}

// setUp declares the objects that the tests use, and waits until chains are ready.
func (w *world) setUp() {
	statements := []string{
		"declare service sign class=0 repeatable=[\"GET /\"]",
		"declare target s1 address=s1 hall=hall service=sign slots=16",
		"declare target s2 address=s2 hall=hall service=sign slots=16",
		fmt.Sprintf("declare model m layers=%d versions=[v1]", worldLayers),
		fmt.Sprintf("declare pipeline p model=m version=v1 class=1 max_tokens=%d", worldTokens),
		fmt.Sprintf("declare organisation o key=%q weight=1", config.HashKey(worldKey)),
	}
	for _, name := range slices.Sorted(maps.Keys(w.engines)) {
		statements = append(statements, fmt.Sprintf("declare target %s address=%s hall=hall speed=100 memory=3 slots=64 fence=%v", name, name, name != "e2" && name != "e4"))
	}
	for i, s := range statements {
		r := w.must(s, uint64(i+1))
		require.Equal(w.t, core.ResultAccepted, r.Kind, "%s: %s", s, r.Message)
	}
	w.until("chains ready on all entry VMs", 60*time.Second, func() bool {
		for _, v := range w.vms {
			if len(v.node.Dump().Routes.Rows) < 4 {
				return false
			}
		}
		return true
	})
}

// stream requests an answer, or the rest of it after the given number of tokens.
func (w *world) stream(name core.VMName, id, prompt string, after int) *callerRequest {
	a := &callerRequest{vm: name, id: core.RequestID(id), prompt: prompt, after: after, count: after}
	conn := w.conn()
	w.requests[conn] = a
	v := w.vms[name]
	if v.node == nil {
		a.cut = true
		return a
	}
	w.step(name, core.StreamAsked{Conn: conn, ID: a.id, Key: worldKey, After: after, Request: core.StreamRequest{
		Pipeline: "p", Prompt: prompt, MaxTokens: worldTokens, Deadline: w.clock(v).Add(60 * time.Second), Returnable: true,
	}})
	return a
}

// call requests a call that may not be repeated.
func (w *world) call(name core.VMName, id string) *callerRequest {
	a := &callerRequest{vm: name, call: true, id: core.RequestID(id)}
	conn := w.conn()
	w.requests[conn] = a
	v := w.vms[name]
	if v.node == nil {
		a.cut = true
		return a
	}
	w.step(name, core.CallAsked{Conn: conn, ID: a.id, Returnable: true, Key: worldKey, Service: "sign", Method: "POST", Path: "/sign", Digest: id, Deadline: w.clock(v).Add(8 * time.Second)})
	return a
}

// lookUp requests a call that may be repeated.
func (w *world) lookUp(name core.VMName, id string) *callerRequest {
	a := &callerRequest{vm: name, call: true, id: core.RequestID(id)}
	conn := w.conn()
	w.requests[conn] = a
	w.step(name, core.CallAsked{Conn: conn, ID: a.id, Key: worldKey, Service: "sign", Method: "GET", Path: "/status", Deadline: w.clock(w.vms[name]).Add(8 * time.Second)})
	return a
}

func (w *world) deliver(effect core.Effect) {
	switch e := effect.(type) {
	case core.Emit:
		a := w.requests[e.Conn]
		require.LessOrEqual(w.t, e.From, a.count, "a gap in the answer")
		for i, token := range e.Tokens {
			if e.From+i < a.count {
				continue
			}
			a.text.WriteString(token.Text)
			a.count++
		}
		a.finished = e.Finish != ""
	case core.Refuse:
		refusal := e.Refusal
		w.requests[e.Conn].refusal = &refusal
	case core.Finish:
		answer := e.Answer
		w.requests[e.Conn].answer = &answer
	}
}

func (a *callerRequest) ended() bool {
	return a.finished || a.refusal != nil || a.answer != nil || a.cut
}
