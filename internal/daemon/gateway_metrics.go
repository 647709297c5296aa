package daemon

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// gatewayMetrics are the metrics of a gateway. docs/OPERATIONS.md lists the names.
type gatewayMetrics struct {
	answers  metric.Int64Counter
	duration metric.Float64Histogram
	first    metric.Float64Histogram
	dials    metric.Int64Counter
	failures metric.Int64Counter
	probes   metric.Int64Counter
	repaths  metric.Int64Counter
	orders   metric.Int64Counter
	// ended counts the incarnations of targets that this VM has learned were replaced.
	ended metric.Int64Counter
	// asked counts the engines whose liveness was checked, and unanswered those that did not
	// answer in time.
	asked      metric.Int64Counter
	unanswered metric.Int64Counter
	// connections counts the callers' connections.
	connections metric.Int64Counter
	// runsCrashed counts the runs whose target ended before they produced output, and quarantine
	// the items in quarantine.
	runsCrashed metric.Int64Counter
	quarantine  metric.Int64Gauge
	// targetEnds counts the targets with which requests without output broke off, by whether they
	// are known to have ended.
	targetEnds metric.Int64Counter
	// unused counts the unusable messages of other writers.
	unused metric.Int64Counter
	// unread counts the names in messages of targets that nothing reads.
	unread metric.Int64Counter
	// notices counts the answers whose notices announce that a target leaves, ask for a backoff or
	// name a limit.
	notices metric.Int64Counter
	// heldRequests counts the requests that were held back at sending, and backedOff is the number
	// of targets in backoff.
	heldRequests metric.Int64Counter
	// incompletes counts the answers that ended before they were whole, by cause.
	incompletes metric.Int64Counter
	// repeats counts the sendings beyond the first of a request, and what the budget denied, by
	// service and cause.
	repeats metric.Int64Counter
	// noAnswers counts the tries whose target sent bytes that are no answer.
	noAnswers metric.Int64Counter
	// reachChecks counts the checks of whether this VM reaches a service, and isolation is 1 for
	// each service that it does not reach.
	reachChecks metric.Int64Counter
	isolation   metric.Int64Gauge
	// tunnelsOpened counts the tunnels that this VM asked for, and tunnelsCarried those that others
	// asked of it, by outcome.
	tunnelsOpened, tunnelsCarried metric.Int64Counter
	backedOff                     metric.Int64Gauge
	// limit, permits, limitUsed and limitHeld are recorded for each target with a limit.
	limit, permits, limitUsed, limitHeld metric.Float64Gauge
	// limited are the targets for which these were last recorded.
	limited map[relay.TargetID]bool
}

// latencyBuckets are the bounds of latency histograms, in seconds, around the users'
// objectives of 0.15 to 0.6 s and deadlines of 2.5 to 20 s.
var latencyBuckets = []float64{.01, .02, .05, .1, .15, .2, .3, .5, .75, 1, 2, 5, 10, 20}

func newGatewayMetrics(m *metrics) (*gatewayMetrics, error) {
	g := &gatewayMetrics{}
	var err error
	histogram := func(name string) metric.Float64Histogram {
		h, failed := m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		if failed != nil {
			err = failed
		}
		return h
	}
	counter := func(name string) metric.Int64Counter {
		c, failed := m.meter.Int64Counter(name)
		if failed != nil {
			err = failed
		}
		return c
	}
	g.answers = counter("spoolbank.gateway.answers")
	g.duration = histogram("spoolbank.gateway.duration")
	g.first = histogram("spoolbank.gateway.first_event")
	g.dials = counter("spoolbank.target.connections")
	g.failures = counter("spoolbank.target.failures")
	g.probes = counter("spoolbank.target.probes")
	g.repaths = counter("spoolbank.target.repaths")
	g.orders = counter("spoolbank.target.orders")
	g.ended = counter("spoolbank.target.ended")
	g.asked = counter("spoolbank.target.overdue.asked")
	g.unanswered = counter("spoolbank.target.overdue.unanswered")
	g.connections = counter("spoolbank.callers.connections")
	g.unused = counter("spoolbank.target.messages.unusable")
	g.unread = counter("spoolbank.target.unread")
	g.heldRequests = counter("spoolbank.requests.held_back")
	g.notices = counter("spoolbank.target.notices")
	g.incompletes = counter("spoolbank.gateway.incomplete")
	g.repeats = counter("spoolbank.gateway.repeats")
	g.noAnswers = counter("spoolbank.target.no_answer")
	g.tunnelsOpened = counter("spoolbank.tunnels.opened")
	g.tunnelsCarried = counter("spoolbank.tunnels.carried")
	g.reachChecks = counter("spoolbank.service.reach_checks")
	g.runsCrashed = counter("spoolbank.requests.crashed")
	g.targetEnds = counter("spoolbank.target.broken_off")
	gauge := func(name string) metric.Int64Gauge {
		level, failed := m.meter.Int64Gauge(name)
		if failed != nil {
			err = failed
		}
		return level
	}
	g.quarantine = gauge("spoolbank.requests.quarantined")
	g.isolation = gauge("spoolbank.service.isolated")
	g.backedOff = gauge("spoolbank.target.backed_off")
	level := func(name string) metric.Float64Gauge {
		l, failed := m.meter.Float64Gauge(name)
		if failed != nil {
			err = failed
		}
		return l
	}
	g.limit = level("spoolbank.target.limit.per_second")
	g.permits = level("spoolbank.target.limit.permits")
	g.limitUsed = level("spoolbank.target.limit.used")
	g.limitHeld = level("spoolbank.target.limit.held_back")
	return g, err
}

var attrServed = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", "served")))

func (g *gatewayMetrics) served(arrived time.Time) {
	g.answers.Add(context.Background(), 1, attrServed)
	g.duration.Record(context.Background(), clock.Since(arrived).Seconds())
}

func (g *gatewayMetrics) refused(kind relay.RefusalKind) {
	g.answers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", kind.String())))
}

var attrLeft = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", "caller left")))

func (g *gatewayMetrics) callerLeft() { g.answers.Add(context.Background(), 1, attrLeft) }

func (g *gatewayMetrics) incomplete(cause EndCause, begun bool) {
	g.incompletes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", string(cause)), attribute.Bool("begun", begun)))
}

func (g *gatewayMetrics) repeated(service string, cause RepeatCause, allowed bool) {
	g.repeats.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("cause", string(cause)), attribute.Bool("allowed", allowed)))
}

func (g *gatewayMetrics) sentNoAnswer(fault target.Fault) {
	g.noAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("fault", string(fault))))
}

func (g *gatewayMetrics) reachChecked(service string, reached bool) {
	g.reachChecks.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.Bool("reached", reached)))
}

func (g *gatewayMetrics) isolated(service string, isolated bool) {
	value := int64(0)
	if isolated {
		value = 1
	}
	g.isolation.Record(context.Background(), value, metric.WithAttributes(attribute.String("service", service)))
}

func (g *gatewayMetrics) tunneled(outcome wire.TunnelOutcome) {
	g.tunnelsOpened.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome.String())))
}

func (g *gatewayMetrics) tunnelCarried(outcome wire.TunnelOutcome) {
	g.tunnelsCarried.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome.String())))
}

func (g *gatewayMetrics) firstEvent(arrived time.Time) {
	g.first.Record(context.Background(), clock.Since(arrived).Seconds())
}

func (g *gatewayMetrics) dialled()      { g.dials.Add(context.Background(), 1) }
func (g *gatewayMetrics) targetFailed() { g.failures.Add(context.Background(), 1) }
func (g *gatewayMetrics) repathed(taken bool) {
	g.repaths.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("taken", taken)))
}

func (g *gatewayMetrics) livenessChecked(engines, silent int) {
	g.asked.Add(context.Background(), int64(engines))
	g.unanswered.Add(context.Background(), int64(silent))
}

func (g *gatewayMetrics) accepted(taken bool) {
	g.connections.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("taken", taken)))
}

func (g *gatewayMetrics) unusable(reason UnusableReason) {
	g.unused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}

func (g *gatewayMetrics) noticed(n relay.Notice) {
	if n.Leaving {
		g.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", "leaving")))
	}
	if !n.BackoffUntil.IsZero() {
		g.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", "backoff")))
	}
	if n.Limited {
		g.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", "limit")))
	}
}

func (g *gatewayMetrics) heldBack() { g.heldRequests.Add(context.Background(), 1) }

func (g *gatewayMetrics) targetsBackedOff(n int) { g.backedOff.Record(context.Background(), int64(n)) }

func (g *gatewayMetrics) targetsEnded(count int) { g.ended.Add(context.Background(), int64(count)) }

func (g *gatewayMetrics) crashed(runs int) { g.runsCrashed.Add(context.Background(), int64(runs)) }

func (g *gatewayMetrics) targetEndedUnder(ended bool) {
	g.targetEnds.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("ended", ended)))
}

func (g *gatewayMetrics) quarantined(requests int) {
	g.quarantine.Record(context.Background(), int64(requests))
}

func (g *gatewayMetrics) probed() { g.probes.Add(context.Background(), 1) }

func (g *gatewayMetrics) ordered(o core.OrderOutcome) {
	g.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", o.String())))
}

// limitsMeasured bounds the targets with limits that the metrics list individually.
const limitsMeasured = 64

// limits records the targets with limits. A target whose limit has ended is recorded with 0.
func (g *gatewayMetrics) limits(limited []relay.LimitedTarget) {
	expired := g.limited
	g.limited = make(map[relay.TargetID]bool)
	for _, l := range limited[:min(len(limited), limitsMeasured)] {
		of := metric.WithAttributes(attribute.String("target", string(l.Target)))
		g.limit.Record(context.Background(), l.PerSecond, of)
		g.permits.Record(context.Background(), float64(l.Left), of)
		g.limitUsed.Record(context.Background(), float64(l.Used), of)
		g.limitHeld.Record(context.Background(), float64(l.HeldBack), of)
		g.limited[l.Target] = true
		delete(expired, l.Target)
	}
	for id := range expired {
		of := metric.WithAttributes(attribute.String("target", string(id)))
		g.limit.Record(context.Background(), 0, of)
		g.permits.Record(context.Background(), 0, of)
	}
}
