package target

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
)

// This file carries runs to engines: one long-lived request per engine, whose
// body has a line for each order and whose answer has a line for each reply, in
// any order. One request per token would cost more processor time than everything
// else that an entry VM does for the token.
//
// Lines are batched while the previous write is in progress, so that a burst
// takes few writes. A link that breaks fails all its open runs; the next run
// dials a new one. A run whose caller stops waiting stays open at the engine,
// and its late reply is dropped.

// RunLine is one order on a link, with its number.
type RunLine struct {
	Number uint64   `json:"number"`
	Order  RunOrder `json:"order"`
}

// ReplyLine is the reply to the RunLine with the same number.
type ReplyLine struct {
	Number uint64   `json:"number"`
	Reply  RunReply `json:"reply"`
}

// errLinkBroken is the error of the open runs of a broken link.
var errLinkBroken = errors.New("target: the link to the engine broke")

// runLinks holds one link for each engine's address.
type runLinks struct {
	mu        sync.Mutex
	client    *http.Client
	links     map[string]*runLink
	detection silenceDetection
}

func newRunLinks(client *http.Client, detection silenceDetection) *runLinks {
	return &runLinks{client: client, links: make(map[string]*runLink), detection: detection}
}

// runLink is the link to one engine.
type runLink struct {
	writer     *LineWriter
	body       io.Closer
	cancel     context.CancelFunc
	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan RunReply
	broken     bool
	linkMonitor
}

// Run sends an order and waits for its reply. If the link is found silent, the order is sent
// once more over a new one: an engine repeats its reply to an order that it has run already.
func (l *runLinks) Run(ctx context.Context, address string, order RunOrder) (RunReply, error) {
	sentAt := clock.Now()
	reply, err := l.runOnce(ctx, address, order)
	if errors.Is(err, errLinkSilent) && ctx.Err() == nil {
		order.TimeoutMillis = max(order.TimeoutMillis-clock.Since(sentAt).Milliseconds(), 1)
		return l.runOnce(ctx, address, order)
	}
	return reply, err
}

func (l *runLinks) runOnce(ctx context.Context, address string, order RunOrder) (RunReply, error) {
	link := l.link(address)
	number, reply, ok := link.register()
	if !ok {
		return RunReply{}, errLinkBroken
	}
	defer link.unregister(number)
	if err := link.writer.Write(RunLine{Number: number, Order: order}); err != nil {
		return RunReply{}, err
	}
	select {
	case r, ok := <-reply:
		if !ok {
			return RunReply{}, link.brokenErr()
		}
		return r, nil
	case <-ctx.Done():
		return RunReply{}, ctx.Err()
	}
}

// link returns the link to an address, and creates it if there is none or it is broken.
func (l *runLinks) link(address string) *runLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link, ok := l.links[address]; ok && !link.isBroken() {
		return link
	}
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	link := &runLink{writer: NewLineWriter(writer, nil), body: writer, cancel: cancel, pending: make(map[uint64]chan RunReply), linkMonitor: newLinkMonitor(address, l.detection)}
	l.links[address] = link
	go link.serve(ctx, l.client, address, reader)
	return link
}

func (l *runLink) isBroken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

func (l *runLink) register() (uint64, chan RunReply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return 0, nil, false
	}
	l.lastNumber++
	reply := make(chan RunReply, 1)
	l.pending[l.lastNumber] = reply
	l.recordSent(time.Now())
	return l.lastNumber, reply, true
}

func (l *runLink) unregister(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

// serve sends the request and reads replies until the link breaks.
func (l *runLink) serve(ctx context.Context, client *http.Client, address string, body io.ReadCloser) {
	defer l.breakLink()
	defer body.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathRuns, body)
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/jsonl")
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxReplyLineBytes)
	for lines.Scan() {
		var line ReplyLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return
		}
		l.deliver(line)
	}
}

// maxReplyLineBytes bounds one line of replies: a token and a few numbers.
const maxReplyLineBytes = 64 << 10

func (l *runLink) deliver(line ReplyLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = l.state.AckedAll(time.Now())
	if reply, ok := l.pending[line.Number]; ok {
		delete(l.pending, line.Number)
		reply <- line.Reply
	}
}

// breakLink fails the open runs and closes the link.
func (l *runLink) breakLink() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = true
	for number, reply := range l.pending {
		delete(l.pending, number)
		close(reply)
	}
	l.cancel()
	l.body.Close()
	l.writer.Close()
}

// LineWriter writes JSON lines. Lines that are added while a write is in
// progress are batched into the next write.
type LineWriter struct {
	flush  func() error
	mu     sync.Mutex
	wake   *sync.Cond
	buffer []byte
	err    error
	done   chan struct{}
}

// errWriterClosed is returned by a Write after Close.
var errWriterClosed = errors.New("target: the writer is closed")

// NewLineWriter returns a LineWriter that writes to w and then calls flush,
// which may be nil. Close stops its goroutine.
func NewLineWriter(w io.Writer, flush func() error) *LineWriter {
	l := &LineWriter{flush: flush, done: make(chan struct{})}
	l.wake = sync.NewCond(&l.mu)
	go l.run(w)
	return l
}

// Write adds a line. It returns the error of an earlier write that failed.
func (l *LineWriter) Write(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("target: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	l.buffer = append(append(l.buffer, text...), '\n')
	l.wake.Signal()
	return nil
}

// CloseAndWait closes the writer and waits until its goroutine has returned.
func (l *LineWriter) CloseAndWait() {
	l.Close()
	<-l.done
}

// Close closes the writer; lines that have not been written are dropped.
func (l *LineWriter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = errWriterClosed
	}
	l.wake.Signal()
}

func (l *LineWriter) run(w io.Writer) {
	defer close(l.done)
	var spare []byte
	for {
		batch, ok := l.next(spare)
		if !ok {
			return
		}
		_, err := w.Write(batch)
		if err == nil && l.flush != nil {
			err = l.flush()
		}
		if err != nil {
			l.fail(err)
			return
		}
		spare = batch[:0]
	}
}

// next waits for lines and returns them as one batch; spare becomes the next buffer.
func (l *LineWriter) next(spare []byte) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.buffer) == 0 && l.err == nil {
		l.wake.Wait()
	}
	if l.err != nil {
		return nil, false
	}
	batch := l.buffer
	l.buffer = spare
	return batch, true
}

func (l *LineWriter) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
}

// ServeRuns serves the engine's end of a link: it calls run for each order, each
// in a goroutine of its own, until the link ends.
func ServeRuns(w http.ResponseWriter, r *http.Request, run func(context.Context, RunOrder) RunReply) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusOK)
	if err := control.Flush(); err != nil {
		return
	}
	writer := NewLineWriter(w, control.Flush)
	ctx, cancel := context.WithCancel(r.Context())
	var open sync.WaitGroup
	defer func() {
		cancel()
		open.Wait()
		writer.CloseAndWait()
	}()
	lines := json.NewDecoder(bufio.NewReader(r.Body))
	for {
		var line RunLine
		if err := lines.Decode(&line); err != nil {
			return
		}
		if line.Number == probeNumber {
			_ = writer.Write(ReplyLine{}) // a link that has ended needs no reply
			continue
		}
		open.Go(func() {
			_ = writer.Write(ReplyLine{Number: line.Number, Reply: run(ctx, line.Order)})
		})
	}
}
