package tracing

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"curlewspool/internal/federation"
)

// Steps told by two clusters, in any order, are one trace of the loan; told
// again they are the same one.
func TestExport(t *testing.T) {
	events := []federation.Event{
		{Lease: "wk-at.west.1.0.a", Cluster: "east", Controller: "n1", Step: "borrowed", At: 100.5},
		{Lease: "wk-at.west.1.0.b", Cluster: "west", Controller: "n0", Step: "lent", Reason: "would start here in 20 s, there in 6 s", At: 101},
		{Lease: "wk-at.west.1.0.a", Cluster: "west", Controller: "n0", Step: "lent", At: 100},
		{Lease: "wk-at.west.1.0.a", Cluster: "west", Controller: "n0", Step: "back", Reason: "its term ran out", At: 130},
	}
	var first string
	for range 2 {
		to := tracetest.NewInMemoryExporter()
		n, err := Export(context.Background(), events, to)
		if err != nil || n != 2 {
			t.Fatal(n, err)
		}
		spans := to.GetSpans()
		if len(spans) != 6 { // a whole and three steps, a whole and one step
			t.Fatalf("%d spans", len(spans))
		}
		names := ""
		for _, s := range spans[:4] {
			names += s.Name + " "
			if s.SpanContext.TraceID() != spans[0].SpanContext.TraceID() {
				t.Error("steps of one loan in two traces")
			}
		}
		if names != "lent borrowed back loan " {
			t.Errorf("steps %q", names)
		}
		if d := spans[3].EndTime.Sub(spans[3].StartTime).Seconds(); d != 30 {
			t.Errorf("the whole took %v s", d)
		}
		id := spans[0].SpanContext.TraceID().String()
		if first != "" && id != first {
			t.Error("told again it is another trace")
		}
		first = id
	}
}
