// Package tracing turns the offloading events of the controllers of several clusters into traces,
// one for each remote lease. A trace's ID is derived from the ID of the remote lease, so that it is
// the same in every export. The controllers only store the events; only the operators' tool is linked
// with the tracing libraries.
package tracing

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sort"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"curlewspool/internal/federation"
)

// idGenerator generates the span IDs of one trace from the trace's ID, so that the same events
// always give the same spans. It implements sdk.IDGenerator.
type idGenerator struct {
	traceID  trace.TraceID
	lastSpan uint64
}

// newIDGenerator returns the generator for the trace of a remote lease. It derives the trace ID from
// the ID of the lease.
func newIDGenerator(leaseID string) *idGenerator {
	sum := sha256.Sum256([]byte(leaseID))
	generator := &idGenerator{}
	copy(generator.traceID[:], sum[:])
	return generator
}

// NewIDs returns the trace ID and the ID of the trace's first span.
func (g *idGenerator) NewIDs(context.Context) (trace.TraceID, trace.SpanID) {
	return g.traceID, g.nextSpanID()
}

// NewSpanID returns the ID of the trace's next span.
func (g *idGenerator) NewSpanID(context.Context, trace.TraceID) trace.SpanID { return g.nextSpanID() }

func (g *idGenerator) nextSpanID() (id trace.SpanID) {
	g.lastSpan++
	sum := sha256.Sum256(binary.BigEndian.AppendUint64(g.traceID[:], g.lastSpan))
	copy(id[:], sum[:])
	return id
}

// groupByLease groups events by remote lease, sorts each group by time, and also returns the sorted
// lease IDs. Two events of different controllers may be in the wrong order if the time between them is
// less than the skew of the controllers' clocks.
func groupByLease(events []federation.Event) (leaseIDs []string, byLease map[string][]federation.Event) {
	byLease = map[string][]federation.Event{}
	for _, event := range events {
		if len(byLease[event.Lease]) == 0 {
			leaseIDs = append(leaseIDs, event.Lease)
		}
		byLease[event.Lease] = append(byLease[event.Lease], event)
	}
	sort.Strings(leaseIDs)
	for _, steps := range byLease {
		sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
	}
	return leaseIDs, byLease
}

// Export writes a trace for each remote lease: one span for the whole lease, with a child span for each
// event. The span of an event starts at the time of the previous event and ends at its own. Export
// returns the number of leases.
func Export(ctx context.Context, events []federation.Event, exporter sdk.SpanExporter) (int, error) {
	leaseIDs, byLease := groupByLease(events)
	for _, leaseID := range leaseIDs {
		if err := exportLease(ctx, leaseID, byLease[leaseID], exporter); err != nil {
			return 0, err
		}
	}
	return len(leaseIDs), nil
}

// exportLease writes the trace of one remote lease. steps must not be empty.
func exportLease(ctx context.Context, leaseID string, steps []federation.Event, exporter sdk.SpanExporter) error {
	provider := sdk.NewTracerProvider(
		sdk.WithSyncer(exporter),
		sdk.WithIDGenerator(newIDGenerator(leaseID)),
		sdk.WithSampler(sdk.AlwaysSample()),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "curlewspool"))))
	tracer := provider.Tracer("curlewspool/federation")
	stepStart := timeOf(steps[0])
	leaseContext, leaseSpan := tracer.Start(ctx, "loan",
		trace.WithTimestamp(stepStart),
		trace.WithAttributes(attribute.String("loan", leaseID)))
	for _, step := range steps {
		_, span := tracer.Start(leaseContext, string(step.Step),
			trace.WithTimestamp(stepStart),
			trace.WithAttributes(
				attribute.String("cluster", step.Cluster),
				attribute.String("controller", step.Controller),
				attribute.String("why", step.Reason)))
		if step.Step == federation.StepRefused || step.Reason == federation.ReasonTermExpired {
			span.SetStatus(codes.Error, step.Reason)
		}
		stepStart = timeOf(step)
		span.End(trace.WithTimestamp(stepStart))
	}
	leaseSpan.End(trace.WithTimestamp(stepStart))
	return provider.ForceFlush(ctx)
}

// timeOf returns the wall-clock time of an event, with a precision of a microsecond.
func timeOf(event federation.Event) time.Time { return time.UnixMicro(int64(event.At * 1e6)) }
