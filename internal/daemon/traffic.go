package daemon

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"storj.io/drpc"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// This file measures the cost of control for a process: the bytes of messages to and from other
// VMs by kind, and the time that the Node takes by event. Both are counted, and a summary is
// logged at an interval, so that a log alone shows which kind has grown.

const (
	// trafficLogInterval is the interval of the log line: a line costs some 0.1 ms, and the
	// cost of control changes over seconds.
	trafficLogInterval = 5 * time.Second
	// maxTrafficKinds bounds the kinds that a line names, the most expensive first.
	maxTrafficKinds = 6
	// slowStepTime is the duration from which a step of the Node gets its own log line. Leases
	// are renewed every 0.5 s and elections start after as much, so a few such steps delay
	// both.
	slowStepTime = 20 * time.Millisecond
)

// costTotal is a number of events and their total cost, in bytes or nanoseconds.
type costTotal struct {
	count int
	cost  int64
}

// traffic totals the cost of control since the last log line.
type traffic struct {
	daemon   *Daemon
	bytes    metric.Int64Counter
	mu       sync.Mutex
	sent     map[string]costTotal
	received map[string]costTotal
	steps    map[string]costTotal
}

func newTraffic(d *Daemon, meter metric.Meter) (*traffic, error) {
	bytes, err := meter.Int64Counter("spoolbank.peer.bytes", metric.WithUnit("By"))
	if err != nil {
		return nil, err
	}
	t := &traffic{daemon: d, bytes: bytes}
	t.reset()
	return t, nil
}

func (t *traffic) reset() {
	t.sent, t.received, t.steps = make(map[string]costTotal), make(map[string]costTotal), make(map[string]costTotal)
}

// addCost adds one event of a kind and its cost.
func addCost(to map[string]costTotal, kind string, cost int64) {
	next := to[kind]
	next.count++
	next.cost += cost
	to[kind] = next
}

// recordSent records a message to another VM.
func (t *traffic) recordSent(kind string, bytes int) {
	t.bytes.Add(context.Background(), int64(bytes), metric.WithAttributes(attribute.String("way", "sent"), attribute.String("kind", kind)))
	t.mu.Lock()
	defer t.mu.Unlock()
	addCost(t.sent, kind, int64(bytes))
}

// recordReceived records a message from another VM.
func (t *traffic) recordReceived(kind string, bytes int) {
	t.bytes.Add(context.Background(), int64(bytes), metric.WithAttributes(attribute.String("way", "received"), attribute.String("kind", kind)))
	t.mu.Lock()
	defer t.mu.Unlock()
	addCost(t.received, kind, int64(bytes))
}

// recordStep records a step of the Node, and logs a slow one.
func (t *traffic) recordStep(event core.Event, took time.Duration) {
	kind := stepKind(event)
	t.mu.Lock()
	addCost(t.steps, kind, int64(took))
	t.mu.Unlock()
	if took >= slowStepTime {
		t.daemon.log.Info("step is slow", "event", kind, "took_ms", took.Milliseconds())
	}
}

// stepKind returns the name of an event, or the kind of its message if it is one.
func stepKind(event core.Event) string {
	if r, ok := event.(core.Received); ok {
		return r.Envelope.Body.Kind()
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", event), "core.")
}

// loop logs the cost of control at an interval until the daemon ends.
func (t *traffic) loop() error {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.log()
		case <-t.daemon.tomb.Dying():
			return nil
		}
	}
}

func (t *traffic) log() {
	t.mu.Lock()
	sent, received, steps := t.sent, t.received, t.steps
	t.reset()
	t.mu.Unlock()
	incomplete := ""
	if t.daemon.gateway != nil {
		incomplete = t.daemon.gateway.incomplete.String()
	}
	t.daemon.log.Info("cost of control", "incomplete", incomplete, "sent_bytes", summarizeCosts(sent, 1), "received_bytes", summarizeCosts(received, 1), "steps_us", summarizeCosts(steps, int64(time.Microsecond)))
}

// summarizeCosts returns the total and the most expensive kinds, as KIND=COUNT/COST with the
// cost in a unit.
func summarizeCosts(totals map[string]costTotal, unit int64) string {
	kinds := make([]string, 0, len(totals))
	sum := costTotal{}
	for kind, t := range totals {
		kinds = append(kinds, kind)
		sum.count += t.count
		sum.cost += t.cost
	}
	sort.Slice(kinds, func(i, j int) bool { return totals[kinds[i]].cost > totals[kinds[j]].cost })
	parts := []string{fmt.Sprintf("all=%d/%d", sum.count, sum.cost/unit)}
	for _, kind := range kinds[:min(len(kinds), maxTrafficKinds)] {
		parts = append(parts, fmt.Sprintf("%s=%d/%d", kind, totals[kind].count, totals[kind].cost/unit))
	}
	return strings.Join(parts, " ")
}

// measuredEncoding is the encoding of messages on a link, and records their sizes.
type measuredEncoding struct {
	wire.Encoding
	record func(kind string, bytes int)
}

// Marshal implements drpc.Encoding.
func (c measuredEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := c.Encoding.Marshal(msg)
	if e, ok := msg.(*core.Envelope); ok && err == nil {
		c.record(e.Body.Kind(), len(data))
	}
	return data, err
}

// Unmarshal implements drpc.Encoding.
func (c measuredEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	err := c.Encoding.Unmarshal(data, msg)
	if e, ok := msg.(*core.Envelope); ok && err == nil {
		c.record(e.Body.Kind(), len(data))
	}
	return err
}
