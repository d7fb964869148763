package dependency

import (
	"fmt"
	"testing"
)

// BenchmarkChain measures the records of a chain of jobs, each of which depends on the one before, as
// a controller applies them. The time per job should not grow.
func BenchmarkChain(b *testing.B) {
	for _, jobs := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			for range b.N {
				graph := NewGraph(func(string) bool { return true })
				var changed []string
				for i := 1; i <= jobs; i++ {
					id := fmt.Sprintf("wk-%d", i)
					graph.Update(id, []string{fmt.Sprintf("wk-%d", i-1)}, true, Urgency{PriorityLevel: 1})
					changed = append(changed, graph.Dependencies(id)...)
				}
				graph.WithUpstream(changed)
				graph.InheritedUrgency("wk-0")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(jobs), "ns/job")
		})
	}
}
