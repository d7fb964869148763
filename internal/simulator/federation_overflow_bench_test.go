package simulator

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"curlewspool/internal/protocol"
)

// BenchmarkOverflow plays ten minutes in which west's load is a share of its
// 16 cores and east's is a third of its 32, with and without partners, and
// tells what share of west's and east's jobs were done within 45 s, and what the
// state services were asked a second (stand-in days, three seeds).
//
//	go test ./internal/simulator -run XXX -bench Overflow -benchtime 1x
func BenchmarkOverflow(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, load := range []float64{0.5, 0.8, 1.1, 1.5, 2.0} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%.1f/partners=%v", load, on), func(b *testing.B) {
				for range b.N {
					var in, all [2]int
					var asked, changed [2]float64
					lent := 0
					for seed := uint64(1); seed <= 3; seed++ {
						day := overflowDay(seed, load, on)
						for i, cluster := range day {
							x, n := inTime(cluster, 45)
							in[i], all[i] = in[i]+x, all[i]+n
							asked[i] += float64(cluster.State.requestLimit.Used) / 600 / 3
							changed[i] += float64(cluster.State.writeLimit.Used) / 600 / 3
							if len(cluster.Violations) > 0 {
								b.Fatal(cluster.Violations[0])
							}
						}
						lent += strings.Count(day[0].TraceText(), "starts wk-at.west.")
					}
					for i, name := range []string{"west", "east"} {
						b.ReportMetric(float64(in[i])/float64(max(1, all[i])), name+"_in_time")
						b.ReportMetric(asked[i], name+"_requests/s")
						b.ReportMetric(changed[i], name+"_changes/s")
					}
					b.ReportMetric(float64(lent)/3, "tasks_lent")
				}
			})
		}
	}
}

func overflowDay(seed uint64, load float64, on bool) [2]*Cluster {
	west, east := NewFederation(seed, 3)
	if !on {
		for _, cluster := range []*Cluster{west, east} {
			for _, name := range cluster.controllerNames {
				cluster.Controllers[name].settings.Federation = nil
			}
		}
	}
	addMachines(west, 4, 0)
	addMachines(east, 8, 0)
	arrive := func(cluster *Cluster, cores, load float64) {
		// Arrays of 12 tasks of a core for 10 s.
		for at, i := 8.0, 0; at < 540; i++ {
			cluster.Submit(at, NewSubmission(fmt.Sprintf("wk-%s-%d", cluster.Name, i), protocol.ShapeArray, 12, 1, 10, withDeadline(45)))
			at += west.random.ExpFloat64() * 120 / (cores * load)
		}
	}
	arrive(west, 16, load)
	arrive(east, 32, 1.0/3)
	west.Start()
	east.Start()
	west.Run(600)
	return [2]*Cluster{west, east}
}

// inTime counts a cluster's jobs that were submitted in time to be judged, and
// of them those whose users were told within the limit (and 3 s) that they are
// done.
func inTime(cluster *Cluster, limit float64) (in, all int) {
	began := map[string]float64{}
	for _, line := range strings.Split(cluster.TraceText(), "\n") {
		f := strings.Fields(line)
		var at float64
		if len(f) < 3 || !strings.HasPrefix(f[1], "wk-"+cluster.Name+"-") {
			continue
		}
		fmt.Sscan(f[0], &at)
		switch {
		case f[2] == "accepted" && at < 600-limit-3:
			began[f[1]] = at
			all++
		case len(f) == 4 && f[3] == string(protocol.JobDone) && began[f[1]] > 0 && at-began[f[1]] <= limit+3:
			in++
		}
	}
	return in, all
}
