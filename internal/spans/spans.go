// Package spans turns the steps of hand-overs, as controllers of several
// clusters tell them, into traces: one trace a loan, whoever asks and whenever,
// since its id comes from the loan's name. The controllers only keep the steps;
// the libraries for traces are linked into the operators' tool alone.
package spans

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

// ids gives the ids of the span that is about to be started.
type ids struct {
	trace trace.TraceID
	next  uint64
}

func (g *ids) NewIDs(context.Context) (trace.TraceID, trace.SpanID) { return g.trace, g.span() }

func (g *ids) NewSpanID(context.Context, trace.TraceID) trace.SpanID { return g.span() }

func (g *ids) span() (s trace.SpanID) {
	g.next++
	h := sha256.Sum256(binary.BigEndian.AppendUint64(g.trace[:], g.next))
	copy(s[:], h[:])
	return s
}

// Group sorts events into loans, each in the order of time. The times of day of
// several machines may differ by the platform's skew.
func Group(events []federation.Event) (names []string, by map[string][]federation.Event) {
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
	names, by := Group(events)
	for _, name := range names {
		list := by[name]
		h := sha256.Sum256([]byte(name))
		g := &ids{}
		copy(g.trace[:], h[:])
		p := sdk.NewTracerProvider(sdk.WithSyncer(to), sdk.WithIDGenerator(g), sdk.WithSampler(sdk.AlwaysSample()),
			sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "curlewspool"))))
		t := p.Tracer("curlewspool/federation")
		at := func(e federation.Event) time.Time { return time.UnixMicro(int64(e.At * 1e6)) }
		in, whole := t.Start(ctx, "loan", trace.WithTimestamp(at(list[0])), trace.WithAttributes(attribute.String("loan", name)))
		before := at(list[0])
		for _, e := range list {
			_, s := t.Start(in, e.What, trace.WithTimestamp(before), trace.WithAttributes(attribute.String("cluster", e.Cluster),
				attribute.String("controller", e.Host), attribute.String("why", e.Why)))
			if e.What == "refused" || e.Why == "its term ran out" {
				s.SetStatus(codes.Error, e.Why)
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
