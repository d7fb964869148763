// Package tracing turns the steps of hand-overs, as controllers of several
// clusters tell them, into traces: one trace a loan, whoever asks and whenever,
// since its id comes from the loan's name. The controllers only keep the steps;
// the libraries for traces are linked into the operators' tool alone.
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

// idGenerator gives the ids of the span that is about to be started.
type idGenerator struct {
	traceID  trace.TraceID
	lastSpan uint64
}

func (g *idGenerator) NewIDs(context.Context) (trace.TraceID, trace.SpanID) {
	return g.traceID, g.nextSpanID()
}

func (g *idGenerator) NewSpanID(context.Context, trace.TraceID) trace.SpanID { return g.nextSpanID() }

func (g *idGenerator) nextSpanID() (s trace.SpanID) {
	g.lastSpan++
	h := sha256.Sum256(binary.BigEndian.AppendUint64(g.traceID[:], g.lastSpan))
	copy(s[:], h[:])
	return s
}

// GroupByLoan sorts events into loans, each in the order of time. The times of day of
// several machines may differ by the platform's skew.
func GroupByLoan(events []federation.Event) (names []string, by map[string][]federation.Event) {
	by = map[string][]federation.Event{}
	for _, e := range events {
		if len(by[e.Loan]) == 0 {
			names = append(names, e.Loan)
		}
		by[e.Loan] = append(by[e.Loan], e)
	}
	sort.Strings(names)
	for _, l := range by {
		sort.SliceStable(l, func(i, j int) bool { return l[i].At < l[j].At })
	}
	return names, by
}

// Export writes a trace for each loan: a span for the whole, and in it one for
// each step, from the step before. It returns how many loans there were.
func Export(ctx context.Context, events []federation.Event, to sdk.SpanExporter) (int, error) {
	names, by := GroupByLoan(events)
	for _, name := range names {
		list := by[name]
		h := sha256.Sum256([]byte(name))
		g := &idGenerator{}
		copy(g.traceID[:], h[:])
		p := sdk.NewTracerProvider(sdk.WithSyncer(to), sdk.WithIDGenerator(g), sdk.WithSampler(sdk.AlwaysSample()),
			sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "curlewspool"))))
		t := p.Tracer("curlewspool/federation")
		at := func(e federation.Event) time.Time { return time.UnixMicro(int64(e.At * 1e6)) }
		in, whole := t.Start(ctx, "loan", trace.WithTimestamp(at(list[0])), trace.WithAttributes(attribute.String("loan", name)))
		before := at(list[0])
		for _, e := range list {
			_, s := t.Start(in, string(e.Step), trace.WithTimestamp(before), trace.WithAttributes(attribute.String("cluster", e.Cluster),
				attribute.String("controller", e.Host), attribute.String("why", e.Reason)))
			if e.Step == "refused" || e.Reason == "its term ran out" {
				s.SetStatus(codes.Error, e.Reason)
			}
			before = at(e)
			s.End(trace.WithTimestamp(before))
		}
		whole.End(trace.WithTimestamp(before))
		if err := p.ForceFlush(ctx); err != nil {
			return 0, err
		}
	}
	return len(names), nil
}
