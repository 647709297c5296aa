package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/spoolbank/spoolbank/internal/core"
)

// metrics holds the OpenTelemetry instruments. docs/OPERATIONS.md lists their names.
type metrics struct {
	registry   *prometheus.Registry
	meter      metric.Meter
	steps      metric.Float64Histogram
	messages   metric.Int64Counter
	tokens     metric.Int64Counter
	answers    metric.Int64Counter
	silent     metric.Int64Counter
	clockSteps metric.Int64Counter
	// intakeClosed counts the connections to the peer port that were closed, by reason.
	intakeClosed metric.Int64Counter
	byEvent      map[string]metric.MeasurementOption
	traffic      *traffic
}

func newMetrics(d *Daemon) (*metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("spoolbank")
	m := &metrics{registry: registry, meter: meter, byEvent: make(map[string]metric.MeasurementOption)}
	if m.steps, err = meter.Float64Histogram("spoolbank.step.duration", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(1e-6, 1e-5, 1e-4, 1e-3, 1e-2, 1e-1)); err != nil {
		return nil, err
	}
	if m.messages, err = meter.Int64Counter("spoolbank.peer.messages"); err != nil {
		return nil, err
	}
	if m.tokens, err = meter.Int64Counter("spoolbank.tokens"); err != nil {
		return nil, err
	}
	if m.answers, err = meter.Int64Counter("spoolbank.answers"); err != nil {
		return nil, err
	}
	if m.traffic, err = newTraffic(d, meter); err != nil {
		return nil, err
	}
	if m.silent, err = meter.Int64Counter("spoolbank.connections.silent"); err != nil {
		return nil, err
	}
	if m.clockSteps, err = meter.Int64Counter("spoolbank.clock.steps"); err != nil {
		return nil, err
	}
	if m.intakeClosed, err = meter.Int64Counter("spoolbank.intake.closed"); err != nil {
		return nil, err
	}
	if err := d.intake.observe(meter); err != nil {
		return nil, err
	}
	if err := d.outbox.observe(meter); err != nil {
		return nil, err
	}
	return m, d.observe(meter)
}

// observe exports the Node's status at each scrape.
func (d *Daemon) observe(meter metric.Meter) error {
	var gauges []metric.Observable
	observers := make([]func(core.Status, metric.Observer), 0, 8)
	add := func(name string, value func(core.Status) int64) error {
		g, err := meter.Int64ObservableGauge(name)
		if err != nil {
			return err
		}
		gauges = append(gauges, g)
		observers = append(observers, func(s core.Status, o metric.Observer) { o.ObserveInt64(g, value(s)) })
		return nil
	}
	for name, value := range map[string]func(core.Status) int64{
		"spoolbank.config.revision":     func(s core.Status) int64 { return int64(s.EntryRevision) },
		"spoolbank.config.unapplied":    func(s core.Status) int64 { return int64(s.GrantsUnapplied) },
		"spoolbank.config.behind":       func(s core.Status) int64 { return int64(max(s.EntryNewest, s.EntryRevision) - s.EntryRevision) },
		"spoolbank.control.term":        func(s core.Status) int64 { return int64(s.Term) },
		"spoolbank.control.leads":       func(s core.Status) int64 { return boolToInt(s.HoldsLease) },
		"spoolbank.control.claims":      func(s core.Status) int64 { return int64(s.Claims) },
		"spoolbank.control.holders":     func(s core.Status) int64 { return int64(s.Holders) },
		"spoolbank.control.grants_held": func(s core.Status) int64 { return int64(s.GrantsHeld) },
		"spoolbank.entry.lease":         func(s core.Status) int64 { return boolToInt(s.HasLease) },
		"spoolbank.entry.streams":       func(s core.Status) int64 { return int64(s.Streams) },
		"spoolbank.entry.calls":         func(s core.Status) int64 { return int64(s.Calls) },
		"spoolbank.entry.queued":        func(s core.Status) int64 { return int64(s.Queued) },
		"spoolbank.plan.answers":        func(s core.Status) int64 { return int64(s.PlanAnswers) },
		"spoolbank.plan.rate":           func(s core.Status) int64 { return int64(s.PlanRate) },
		"spoolbank.invariant.violation": func(s core.Status) int64 { return int64(s.Violations) },
	} {
		if err := add(name, value); err != nil {
			return err
		}
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		var status core.Status
		if !d.inspectNode(func(n *core.Node) { status = n.Status() }) {
			return nil
		}
		for _, observe := range observers {
			observe(status, o)
		}
		return nil
	}, gauges...)
	return err
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// recordStep records the duration of a step. Only the loop may call it.
func (m *metrics) recordStep(event core.Event, took time.Duration) {
	name := fmt.Sprintf("%T", event)
	option, ok := m.byEvent[name]
	if !ok {
		option = metric.WithAttributeSet(attribute.NewSet(attribute.String("event", strings.TrimPrefix(name, "core."))))
		m.byEvent[name] = option
	}
	m.steps.Record(context.Background(), took.Seconds(), option)
	m.traffic.recordStep(event, took)
}

var (
	attrSent     = metric.WithAttributeSet(attribute.NewSet(attribute.String("way", "sent")))
	attrReceived = metric.WithAttributeSet(attribute.NewSet(attribute.String("way", "received")))
	attrDropped  = metric.WithAttributeSet(attribute.NewSet(attribute.String("way", "dropped")))
)

func (m *metrics) countSent()     { m.messages.Add(context.Background(), 1, attrSent) }
func (m *metrics) countReceived() { m.messages.Add(context.Background(), 1, attrReceived) }
func (m *metrics) countDropped()  { m.messages.Add(context.Background(), 1, attrDropped) }

func (m *metrics) countIntakeClosed(reason string) {
	m.intakeClosed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

func (m *metrics) countSilent(ctx context.Context, kind string) {
	m.silent.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// countAnswer counts tokens and outcomes of answers to callers.
func (m *metrics) countAnswer(effect core.Effect) {
	ctx := context.Background()
	switch e := effect.(type) {
	case core.Emit:
		m.tokens.Add(ctx, int64(len(e.Tokens)))
		if e.Finish != "" {
			m.answers.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", "whole")))
		}
	case core.Finish:
		m.answers.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", "whole")))
	case core.Refuse:
		m.answers.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", string(e.Refusal.Kind))))
	}
}

func (d *Daemon) serveMetrics() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	mux.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	return d.serveHTTP(&http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxScrapeHeadBytes}, d.metricListener)
}

// maxScrapeHeadBytes bounds the head of a request for metrics.
const maxScrapeHeadBytes = 16 << 10

func (m *metrics) clockStepped() { m.clockSteps.Add(context.Background(), 1) }
